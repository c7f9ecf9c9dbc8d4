// Package follower has the engines beside a sidecar carry out the plan of
// their service.
//
// The sidecar reads the plan every few seconds and gives each engine its own
// orders, one at a time, under the sidecar's lease. A step that fails is tried
// again with the same id at the next reading; a newer plan replaces it.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/process/orders"
	"carawayspread/internal/process/planstore"
)

// interval is the time between two readings of a plan. 325 sidecars read 65
// times a second, 3% of the platform's reads.
const interval = 5 * time.Second

// Follower gives the engines of one sidecar their orders.
type Follower struct {
	stores  map[string]*planstore.Store // by service
	engines map[carawayspread.EndpointID]*engine
	clock   carawayspread.Clock
	log     log.Interface
}

type engine struct {
	service string
	orders  *orders.Orders
	done    string     // id of the last order that was carried out
	busy    sync.Mutex // held while an order runs
}

// New returns a follower without engines.
func New(table carawayspread.Table, clock carawayspread.Clock, l log.Interface, services ...string) *Follower {
	f := &Follower{
		stores:  map[string]*planstore.Store{},
		engines: map[carawayspread.EndpointID]*engine{},
		clock:   clock,
		log:     l,
	}
	for _, service := range services {
		f.stores[service] = planstore.New(table, service)
	}
	return f
}

// Add puts an engine of a service under the follower. It is called before Run.
func (f *Follower) Add(id carawayspread.EndpointID, service string, o *orders.Orders) {
	f.engines[id] = &engine{service: service, orders: o}
}

// Run carries out plans until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, e := range f.engines {
		running.Go(func() { f.hold(ctx, e) })
	}
	for {
		for service, store := range f.stores {
			f.follow(ctx, &running, service, store)
		}
		select {
		case <-f.clock.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Follower) hold(ctx context.Context, e *engine) {
	if err := e.orders.Run(ctx); err != nil && ctx.Err() == nil {
		f.log.WithError(err).Warn("no authority over an engine")
	}
}

func (f *Follower) follow(ctx context.Context, running *sync.WaitGroup, service string, store *planstore.Store) {
	plan, err := store.Read(ctx)
	if err != nil {
		return // the last orders stay in force while the table is down
	}
	for _, step := range plan.Steps() {
		e, ours := f.engines[step.Endpoint]
		if !ours || e.service != service || !e.busy.TryLock() {
			continue
		}
		running.Go(func() {
			defer e.busy.Unlock()
			f.carryOut(ctx, e, plan.Number(), step)
		})
	}
}

func (f *Follower) carryOut(ctx context.Context, e *engine, plan uint64, step planstore.Step) {
	if e.done == step.Order.ID {
		return
	}
	event := f.log.WithField("endpoint", step.Endpoint).WithField("plan", plan).WithField("order", step.Order.ID)
	if _, err := e.orders.Do(ctx, plan, step.Order); err != nil {
		event.WithError(err).Warn("order not carried out")
		return
	}
	e.done = step.Order.ID
	event.WithField("kind", step.Order.Kind).WithField("value", step.Order.Value).Info("order carried out")
}
