// Package rolecontroller has engines change their roles where a policy wants it, from
// one process at a time.
//
// Every process plans by what it knows itself. The one that wants a change takes
// a lease, whose number it gives with each order, and lets it lapse: orders are
// rare, and a lease that is kept up would cost calls to the store all day. A
// successor waits for longer than the lease lasts, so that orders of two
// processes are never close together; the number lets engines refuse a process
// that was suspended in between.
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
	// planEvery is the time between two looks: some ten of them in what a change
	// takes.
	planEvery = 300 * time.Millisecond
	// tryEvery is the pause after a lease that was not to be had.
	tryEvery = 3 * time.Second
	// term is how long the lease lasts, and margin what must be left of it before
	// an order is sent: between the last order of a process and the first of
	// another are seven seconds, more than twice what engines take for two holders
	// at one time.
	term   = 12 * time.Second
	margin = 8 * time.Second
	// callTimeout bounds one call to the store or to an engine.
	callTimeout = time.Second
	// awayFor bounds how long an engine is out of use for a change that its
	// entry never shows.
	awayFor = 12 * time.Second
)

// partition is where the lease is kept.
const partition = "roles"

// Controller is one process's side. Run is called once.
type Controller struct {
	source  carawayspread.RoleSource
	policy  func() carawayspread.RolePolicy
	engines func(carawayspread.Endpoint) carawayspread.Engine
	lease   *lease.Lease
	clock   carawayspread.Clock
	log     *decisionlog.Log
	set     *metrics.Set

	policies map[string]carawayspread.RolePolicy // by service
	notUntil time.Time                           // when the lease is tried next
}

// New returns a keeper of the engines that the source knows.
func New(source carawayspread.RoleSource, policy func() carawayspread.RolePolicy, table carawayspread.Table,
	engines func(carawayspread.Endpoint) carawayspread.Engine, clock carawayspread.Clock, l *decisionlog.Log, set *metrics.Set,
) *Controller {
	return &Controller{
		source: source, policy: policy, engines: engines, clock: clock, log: l, set: set,
		lease: lease.New(table, clock, partition, lease.WithTerm(term)), policies: map[string]carawayspread.RolePolicy{},
	}
}

// Run plans until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.clock.After(planEvery*9/10 + rand.N(planEvery/5)):
		}
		k.look(ctx)
	}
}

func (k *Controller) look(ctx context.Context) {
	for _, service := range k.source.Roles() {
		policy := k.policies[service.Service]
		if policy == nil {
			policy = k.policy()
			k.policies[service.Service] = policy
		}
		changes := policy.Plan(service.Engines, service.Demand)
		if len(changes) > 0 && k.holds(ctx) {
			for _, change := range changes {
				k.give(ctx, service, change)
			}
		}
	}
}

// holds reports whether orders may be given now, and takes the lease for it.
func (k *Controller) holds(ctx context.Context) bool {
	if k.lease.Valid(margin) {
		return true
	}
	now := k.clock.Now()
	if now.Before(k.notUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.lease.Try(ctx)
	line := decisionlog.Start("orderLease").Int("fence", int64(k.lease.Epoch()))
	if err != nil {
		k.notUntil = now.Add(tryEvery)
		if !errors.Is(err, lease.ErrHeld) {
			k.log.Write(line.Text("error", err.Error()))
		}
		return false
	}
	k.log.Write(line.Text("outcome", "held"))
	return k.lease.Valid(margin)
}

// give sends one order. What becomes of one without an answer is not known: it
// may be carried out later. The engine's entry shows it.
func (k *Controller) give(ctx context.Context, service carawayspread.ServiceRoles, change carawayspread.RoleChange) {
	endpoint, known := service.Endpoints[change.Endpoint]
	if !known || !k.lease.Valid(margin) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence := k.lease.Epoch()
	_, err := k.engines(endpoint).Order(ctx, carawayspread.Order{
		ID: uuid.NewString(), Kind: carawayspread.OrderSetRole, Value: string(change.To), Fence: fence,
	})
	k.set.GetOrCreateCounter(`gateway_role_orders_total{to="` + string(change.To) + `"}`).Inc()
	line := decisionlog.Start("role").Text("service", service.Service).Text("endpoint", string(change.Endpoint)).
		Text("from", string(change.From)).Text("to", string(change.To)).Int("fence", int64(fence))
	if refused, ok := carawayspread.AsError(err); ok && refused.NotRun() {
		k.log.Write(line.Text("outcome", "refused").Text("error", err.Error()))
		if refused.Code() == carawayspread.CodeStale {
			k.giveUp(ctx)
		}
		return
	}
	k.source.Suspend(change.Endpoint, awayFor)
	if err != nil {
		k.log.Write(line.Text("outcome", "unknown").Text("error", err.Error()))
		return
	}
	k.log.Write(line.Text("outcome", "ordered"))
}

// giveUp drops a lease whose number an engine has seen a higher one than.
//
// Failure: the number is behind, though the lease seems to hold. Symptom: every
// order is refused, again and again, under the same number. The next holding has
// a higher one.
func (k *Controller) giveUp(ctx context.Context) {
	k.notUntil = k.clock.Now().Add(term)
	if err := k.lease.Release(ctx); err != nil {
		k.log.Write(decisionlog.Start("orderLease").Text("outcome", "given up").Text("error", err.Error()))
	}
}
