// Package dispatcher takes the requests of one service from admission to a slot at
// an endpoint. It connects the decision modules, which are independent of goroutines,
// with the goroutines of the waiting requests.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/inflight"
)

// Modules are the decision modules of one dispatcher.
type Modules struct {
	Scheduler carawayspread.Scheduler
	Router    carawayspread.Router
	Ejector   carawayspread.Ejector
	Budget    carawayspread.RetryBudget
	Limiter   func() carawayspread.Limiter // creates the limiter of one endpoint
}

// Dispatcher dispatches the requests of one service. It is safe for concurrent use.
type Dispatcher struct {
	modules Modules
	clock   carawayspread.Clock
	fleet   atomic.Pointer[fleet] // copy on write
	demand  demand
	window  inflight.Window
	entries atomic.Int64 // that share the endpoints; zero until SetEntryCount

	mu      sync.Mutex // serializes access to the scheduler
	waiters map[*carawayspread.Job]chan *carawayspread.Error
	running int           // jobs that Wait has admitted and that have not finished
	freed   chan struct{} // closed and replaced whenever a slot is released
}

// fleet holds the endpoints and their state; it is immutable.
type fleet struct {
	listed    []carawayspread.Endpoint
	endpoints map[carawayspread.EndpointID]carawayspread.Endpoint
	states    map[carawayspread.EndpointID]*endpointState
}

// endpointState counts the attempts of this entry at one endpoint and holds its last report.
type endpointState struct {
	limiter carawayspread.Limiter
	inUse   atomic.Int64

	mu   sync.Mutex                   // serializes the endpoint's reports to the router
	last carawayspread.EndpointReport // zero before the first report; guarded by mu
}

func (s *endpointState) full() bool { return s.inUse.Load() >= int64(s.limiter.Limit()) }

func (s *endpointState) acquire() bool {
	if !s.limiter.Acquire() {
		return false
	}
	s.inUse.Add(1)
	return true
}

func (s *endpointState) release(latency time.Duration, outcome carawayspread.Outcome) {
	s.inUse.Add(-1)
	s.limiter.Release(latency, outcome)
}

// New returns a dispatcher without endpoints.
func New(modules Modules, clock carawayspread.Clock) *Dispatcher {
	d := &Dispatcher{
		modules: modules,
		clock:   clock,
		waiters: map[*carawayspread.Job]chan *carawayspread.Error{},
		freed:   make(chan struct{}),
	}
	d.fleet.Store(&fleet{})
	return d
}

// Update replaces the endpoints of the service. Endpoints that remain keep their
// learned limits.
func (d *Dispatcher) Update(endpoints []carawayspread.Endpoint) {
	old := d.fleet.Load()
	next := &fleet{
		listed:    endpoints,
		endpoints: make(map[carawayspread.EndpointID]carawayspread.Endpoint, len(endpoints)),
		states:    make(map[carawayspread.EndpointID]*endpointState, len(endpoints)),
	}
	ids := make([]carawayspread.EndpointID, 0, len(endpoints))
	for _, endpoint := range endpoints {
		next.endpoints[endpoint.ID()] = endpoint
		next.states[endpoint.ID()] = old.states[endpoint.ID()]
		if next.states[endpoint.ID()] == nil {
			next.states[endpoint.ID()] = &endpointState{limiter: d.modules.Limiter()}
		}
		ids = append(ids, endpoint.ID())
	}
	d.fleet.Store(next)
	d.modules.Router.SetEndpoints(endpoints)
	d.modules.Ejector.SetEndpoints(ids)
	d.Tick()
}

// Budget returns the retry budget of the service.
func (d *Dispatcher) Budget() carawayspread.RetryBudget { return d.modules.Budget }

// SetEntryCount sets the number of entries that share the endpoints.
func (d *Dispatcher) SetEntryCount(entries int) { d.entries.Store(int64(entries)) }

// RefreshEndpoints passes the unchanged list to the router again, so that it drops
// endpoints that left the list long ago.
func (d *Dispatcher) RefreshEndpoints() { d.modules.Router.SetEndpoints(d.fleet.Load().listed) }

// RecordRefusal records that an endpoint refused an attempt because it was full.
func (d *Dispatcher) RecordRefusal() { d.window.Refused() }

// Tick applies changed limits and refuses jobs that can no longer be served in time.
// It must be called many times a second.
func (d *Dispatcher) Tick() {
	capacity := d.capacity()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.modules.Scheduler.Capacity(capacity)
	d.refuseExpired()
	d.dispatch()
}

// capacity returns how many requests this entry may have in flight: its window on
// the reported slots, but at most what the limiters allow. An endpoint without a
// report counts with its limit.
func (d *Dispatcher) capacity() int {
	slots, limits := 0, 0
	known := d.fleet.Load()
	for id, s := range known.states {
		if known.endpoints[id].Leaving() {
			continue
		}
		limit := s.limiter.Limit()
		limits += limit
		slots += s.lastSlots(limit)
	}
	d.window.SetCapacity(slots, max(1, int(d.entries.Load())))
	return min(d.window.Size(), limits)
}

// Wait blocks until the job may be sent and returns nil; Finish must follow.
// Otherwise it returns the refusal, which is marked as not run.
func (d *Dispatcher) Wait(ctx context.Context, job *carawayspread.Job) error {
	d.demand.add(job)
	ready, err := d.offer(job)
	if err != nil {
		return err
	}
	select {
	case refusal := <-ready:
		return asError(refusal)
	case <-ctx.Done():
		return d.withdraw(ctx, job, ready)
	}
}

func (d *Dispatcher) offer(job *carawayspread.Job) (chan *carawayspread.Error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.modules.Scheduler.Offer(job); err != nil {
		return nil, err
	}
	ready := make(chan *carawayspread.Error, 1)
	d.waiters[job] = ready
	d.refuseExpired()
	d.dispatch()
	return ready, nil
}

func (d *Dispatcher) withdraw(ctx context.Context, job *carawayspread.Job, ready chan *carawayspread.Error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.modules.Scheduler.Cancel(job) {
		delete(d.waiters, job)
	} else if refusal := <-ready; refusal == nil {
		// The job was admitted concurrently: return its capacity.
		d.finish(job, carawayspread.JobResult{})
	}
	return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the caller has gone or its deadline has passed while the request was queued",
		carawayspread.NotRun(), carawayspread.CausedBy(context.Cause(ctx)))
}

// Finish returns the capacity of a job that Wait admitted, with the work that it
// took.
func (d *Dispatcher) Finish(job *carawayspread.Job, result carawayspread.JobResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(job, result)
}

func (d *Dispatcher) finish(job *carawayspread.Job, result carawayspread.JobResult) {
	if result.Took > 0 {
		d.window.Served(d.running)
	}
	d.running--
	d.modules.Scheduler.Done(job, result)
	d.refuseExpired()
	d.dispatch()
}

// dispatch admits jobs while there is capacity. The caller holds mu.
func (d *Dispatcher) dispatch() {
	for {
		job := d.modules.Scheduler.Next()
		if job == nil {
			return
		}
		d.running++
		d.waiters[job] <- nil
		delete(d.waiters, job)
	}
}

// refuseExpired refuses the jobs that the scheduler has expired. The caller holds mu.
func (d *Dispatcher) refuseExpired() {
	for _, refused := range d.modules.Scheduler.Expired() {
		if ready, ok := d.waiters[refused.Job]; ok {
			ready <- refused.Err
			delete(d.waiters, refused.Job)
		}
	}
}

// Queued returns the number of queued jobs.
func (d *Dispatcher) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.modules.Scheduler.Len()
}

func asError(e *carawayspread.Error) error {
	if e == nil {
		return nil
	}
	return e
}
