// Package planfollower executes the newest plan of a service at the engines of one sidecar.
//
// A sidecar reads the plan every few seconds and holds the lease of an engine only while it has
// orders for it: idle sidecars write nothing, whereas renewals of 325 leases would take a
// considerable share of the table's writes. A newer plan cancels the execution of an older one
// between two steps or during a wait; a change that an engine has started is awaited before the
// first step of the newer plan.
package planfollower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/controller/orders"
	"carawayspread/internal/controller/planstore"
)

const (
	// readEvery results in 65 reads per second with 325 sidecars. Plans are minutes apart.
	readEvery  = 5 * time.Second
	retryEvery = 500 * time.Millisecond
)

// Plans reads the newest plan.
type Plans interface {
	Read(ctx context.Context) (planstore.Plan, error)
}

// Engine sends orders to one engine.
type Engine interface {
	// Run acquires the authority over the engine and keeps it until ctx ends.
	Run(ctx context.Context) error
	// Do executes one order of a plan.
	Do(ctx context.Context, plan uint64, order carawayspread.Order) (carawayspread.EngineState, error)
}

// Follower executes the plans of one service at the engines of a sidecar.
type Follower struct {
	plans   Plans
	engines map[carawayspread.EndpointID]Engine // fixed
	clock   carawayspread.Clock
	log     log.Interface
	jitter  func() float64 // in [0, 1)
}

// New returns a follower of the plans. Orders to different engines are independent of one another.
func New(plans Plans, engines map[carawayspread.EndpointID]Engine, clock carawayspread.Clock, l log.Interface) *Follower {
	return &Follower{plans: plans, engines: engines, clock: clock, log: l, jitter: rand.Float64}
}

// Run executes the newest plan until ctx ends. It returns after running orders have ended.
func (f *Follower) Run(ctx context.Context) error {
	newest := uint64(0)
	stop := func() {}
	for {
		plan, err := f.plans.Read(ctx)
		if err == nil && plan.Number() > newest {
			newest = plan.Number()
			stop()
			stop = f.begin(ctx, plan)
		}
		delay := readEvery - time.Duration(f.jitter()*float64(readEvery)/2)
		select {
		case <-f.clock.After(delay):
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
	}
}

// begin starts the execution of a plan. stop cancels it and waits until it has ended.
func (f *Follower) begin(ctx context.Context, plan planstore.Plan) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	steps := map[carawayspread.EndpointID][]carawayspread.Order{}
	for _, step := range plan.Steps() {
		if _, ours := f.engines[step.Endpoint]; ours {
			steps[step.Endpoint] = append(steps[step.Endpoint], step.Order)
		}
	}
	var wg sync.WaitGroup
	for endpoint, list := range steps {
		wg.Go(func() { f.executeOrders(ctx, plan.Number(), endpoint, list) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// executeOrders executes the orders of one engine in sequence. A failed order is retried before the
// next one, since later orders may depend on it.
func (f *Follower) executeOrders(ctx context.Context, plan uint64, endpoint carawayspread.EndpointID, list []carawayspread.Order) {
	engine := f.engines[endpoint]
	session, end := context.WithCancel(ctx)
	var authority sync.WaitGroup
	authority.Go(func() {
		if err := engine.Run(session); err != nil && session.Err() == nil {
			f.log.WithField("endpoint", endpoint).WithError(err).Warn("no authority over the engine; the orders of this plan are not sent")
		}
	})
	defer authority.Wait()
	defer end()
	for _, order := range list {
		if !f.executeOrder(ctx, plan, endpoint, order) {
			return
		}
	}
}

// executeOrder retries the order until it is in effect, and reports whether it is. It returns false
// if the plan is outdated or ctx ended.
func (f *Follower) executeOrder(ctx context.Context, plan uint64, endpoint carawayspread.EndpointID, order carawayspread.Order) bool {
	entry := f.log.WithFields(log.Fields{
		"endpoint": endpoint, "plan": plan, "order": order.ID, "kind": order.Kind, "value": order.Value,
	})
	for ctx.Err() == nil {
		_, err := f.engines[endpoint].Do(ctx, plan, order)
		switch {
		case err == nil:
			entry.Info("order executed")
			return true
		case errors.Is(err, orders.ErrOutdated):
			entry.Info("order belongs to an outdated plan; not sent")
			return false
		case !errors.Is(err, orders.ErrNoAuthority):
			entry.WithError(err).Warn("order not in effect; retrying")
		}
		select {
		case <-f.clock.After(retryEvery):
		case <-ctx.Done():
		}
	}
	return false
}
