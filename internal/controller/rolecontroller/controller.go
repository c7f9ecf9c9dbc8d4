// Package rolecontroller changes the roles of engines as a policy requires, from one process at a
// time.
//
// Every process plans with its own view of the engines. A process that requires a change acquires a
// lease, sends the fencing token of the lease with each order, and lets the lease expire: orders
// are rare, and renewals would cost calls to the table all day. A successor waits for longer than
// the lease term, so that orders of two processes are never close together in time. The fencing
// token lets engines reject a process that was suspended in between.
package rolecontroller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/process/decisionlog"
)

const (
	// planEvery is the mean time between two runs of the policy; a role change takes about ten
	// times as long.
	planEvery = 300 * time.Millisecond
	// tryEvery is the delay after a failed attempt to acquire the lease.
	tryEvery = 3 * time.Second
	// term is how long the lease is valid, and margin is the validity that must remain when an
	// order is sent. The last order of one process and the first order of another are thus seven
	// seconds apart, more than twice the gap below which engines assume two concurrent holders.
	term   = 12 * time.Second
	margin = 8 * time.Second
	// callTimeout bounds one call to the lease or to an engine.
	callTimeout = time.Second
	// suspendFor bounds how long an engine is suspended for a change that its list entry never
	// shows.
	suspendFor = 12 * time.Second
)

// partition is the table partition of the lease.
const partition = "roles"

// Controller changes the roles of engines from one process. Run is called once.
type Controller struct {
	source  carawayspread.RoleSource
	policy  func() carawayspread.RolePolicy
	engines func(carawayspread.Endpoint) carawayspread.Engine
	lease   *lease.Lease
	clock   carawayspread.Clock
	log     *decisionlog.Log
	set     *metrics.Set

	policies map[string]carawayspread.RolePolicy // by service
	nextTry  time.Time                           // earliest time of the next attempt to acquire the lease
}

// New returns a controller of the engines that the source provides.
func New(source carawayspread.RoleSource, policy func() carawayspread.RolePolicy, table carawayspread.Table,
	engines func(carawayspread.Endpoint) carawayspread.Engine, clock carawayspread.Clock, l *decisionlog.Log, set *metrics.Set,
) *Controller {
	return &Controller{
		source: source, policy: policy, engines: engines, clock: clock, log: l, set: set,
		lease: lease.New(table, clock, partition, lease.WithTerm(term)), policies: map[string]carawayspread.RolePolicy{},
	}
}

// Run plans role changes and sends the orders for them until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(planEvery*9/10 + rand.N(planEvery/5)):
		}
		c.planAll(ctx)
	}
}

func (c *Controller) planAll(ctx context.Context) {
	for _, service := range c.source.Roles() {
		policy := c.policies[service.Service]
		if policy == nil {
			policy = c.policy()
			c.policies[service.Service] = policy
		}
		changes := policy.Plan(service.Engines, service.Demand)
		if len(changes) > 0 && c.ensureLease(ctx) {
			for _, change := range changes {
				c.sendOrder(ctx, service, change)
			}
		}
	}
}

// ensureLease acquires the lease if necessary and reports whether orders may be sent now.
func (c *Controller) ensureLease(ctx context.Context) bool {
	if c.lease.Valid(margin) {
		return true
	}
	now := c.clock.Now()
	if now.Before(c.nextTry) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.lease.Try(ctx)
	line := decisionlog.Start("orderLease").Int("fence", int64(c.lease.Epoch()))
	if err != nil {
		c.nextTry = now.Add(tryEvery)
		if !errors.Is(err, lease.ErrHeld) {
			c.log.Write(line.Text("error", err.Error()))
		}
		return false
	}
	c.log.Write(line.Text("outcome", "held"))
	return c.lease.Valid(margin)
}

// sendOrder sends one order. The outcome of an order without a response is unknown: the engine may
// execute it later, which its list entry then shows.
func (c *Controller) sendOrder(ctx context.Context, service carawayspread.ServiceRoles, change carawayspread.RoleChange) {
	endpoint, known := service.Endpoints[change.Endpoint]
	if !known || !c.lease.Valid(margin) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence := c.lease.Epoch()
	_, err := c.engines(endpoint).Order(ctx, carawayspread.Order{
		ID: uuid.NewString(), Kind: carawayspread.OrderSetRole, Value: string(change.To), Fence: fence,
	})
	c.set.GetOrCreateCounter(`gateway_role_orders_total{to="` + string(change.To) + `"}`).Inc()
	line := decisionlog.Start("role").Text("service", service.Service).Text("endpoint", string(change.Endpoint)).
		Text("from", string(change.From)).Text("to", string(change.To)).Int("fence", int64(fence))
	if refused, ok := carawayspread.AsError(err); ok && refused.NotRun() {
		c.log.Write(line.Text("outcome", "refused").Text("error", err.Error()))
		if refused.Code() == carawayspread.CodeStale {
			c.releaseLease(ctx)
		}
		return
	}
	c.source.Suspend(change.Endpoint, suspendFor)
	if err != nil {
		c.log.Write(line.Text("outcome", "unknown").Text("error", err.Error()))
		return
	}
	c.log.Write(line.Text("outcome", "ordered"))
}

// releaseLease releases the lease after an engine has rejected its fencing token as outdated.
//
// The token may be outdated although the lease appears valid; every further order would be rejected
// with the same token. The next tenure has a higher one.
func (c *Controller) releaseLease(ctx context.Context) {
	c.nextTry = c.clock.Now().Add(term)
	if err := c.lease.Release(ctx); err != nil {
		c.log.Write(decisionlog.Start("orderLease").Text("outcome", "given up").Text("error", err.Error()))
	}
}
