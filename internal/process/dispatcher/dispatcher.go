// Package dispatcher carries the requests of one service from admission to a place
// at an endpoint. It connects the decision modules, which know nothing of
// waiting goroutines, with the goroutines of the requests.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/inflight"
)

// Modules are the decisions of one lane.
type Modules struct {
	Scheduler carawayspread.Scheduler
	Router    carawayspread.Router
	Ejector   carawayspread.Ejector
	Budget    carawayspread.RetryBudget
	Limiter   func() carawayspread.Limiter // for each endpoint
}

// Dispatcher serves one service. It is safe for concurrent use.
type Dispatcher struct {
	modules Modules
	clock   carawayspread.Clock
	fleet   atomic.Pointer[fleet] // replaced as a whole
	demand  demand
	window  inflight.Window
	entries atomic.Int64 // that share the endpoints; zero until it is told

	mu      sync.Mutex // serialises the scheduler
	tickets map[*carawayspread.Job]chan *carawayspread.Error
	running int           // jobs that Wait let through and that have not finished
	freed   chan struct{} // closed and replaced whenever a place is returned
}

// fleet is what the lane knows of the endpoints; immutable.
type fleet struct {
	listed    []carawayspread.Endpoint
	endpoints map[carawayspread.EndpointID]carawayspread.Endpoint
	slots     map[carawayspread.EndpointID]*endpointState
}

// endpointState counts the attempts of this entry at one endpoint.
type endpointState struct {
	limiter carawayspread.Limiter
	taken   atomic.Int64

	mu   sync.Mutex                   // serialises what the router is told of the endpoint
	last carawayspread.EndpointReport // zero before the first report; guarded by mu
}

func (s *endpointState) full() bool { return s.taken.Load() >= int64(s.limiter.Limit()) }

func (s *endpointState) acquire() bool {
	if !s.limiter.Acquire() {
		return false
	}
	s.taken.Add(1)
	return true
}

func (s *endpointState) release(latency time.Duration, outcome carawayspread.Outcome) {
	s.taken.Add(-1)
	s.limiter.Release(latency, outcome)
}

// New returns a lane without endpoints.
func New(modules Modules, clock carawayspread.Clock) *Dispatcher {
	l := &Dispatcher{
		modules: modules,
		clock:   clock,
		tickets: map[*carawayspread.Job]chan *carawayspread.Error{},
		freed:   make(chan struct{}),
	}
	l.fleet.Store(&fleet{})
	return l
}

// Update replaces the endpoints of the service. Limits learnt for endpoints
// that stay are kept.
func (l *Dispatcher) Update(endpoints []carawayspread.Endpoint) {
	old := l.fleet.Load()
	next := &fleet{
		listed:    endpoints,
		endpoints: make(map[carawayspread.EndpointID]carawayspread.Endpoint, len(endpoints)),
		slots:     make(map[carawayspread.EndpointID]*endpointState, len(endpoints)),
	}
	ids := make([]carawayspread.EndpointID, 0, len(endpoints))
	for _, endpoint := range endpoints {
		next.endpoints[endpoint.ID()] = endpoint
		next.slots[endpoint.ID()] = old.slots[endpoint.ID()]
		if next.slots[endpoint.ID()] == nil {
			next.slots[endpoint.ID()] = &endpointState{limiter: l.modules.Limiter()}
		}
		ids = append(ids, endpoint.ID())
	}
	l.fleet.Store(next)
	l.modules.Router.SetEndpoints(endpoints)
	l.modules.Ejector.SetEndpoints(ids)
	l.Tick()
}

// Budget returns the retry budget of the service.
func (l *Dispatcher) Budget() carawayspread.RetryBudget { return l.modules.Budget }

// SetEntryCount tells how many entries send to the endpoints.
func (l *Dispatcher) SetEntryCount(entries int) { l.entries.Store(int64(entries)) }

// RefreshEndpoints tells the router that the list was read and is unchanged, by which it
// forgets endpoints that left the list long ago.
func (l *Dispatcher) RefreshEndpoints() { l.modules.Router.SetEndpoints(l.fleet.Load().listed) }

// RecordRefusal tells that an endpoint had no room for an attempt.
func (l *Dispatcher) RecordRefusal() { l.window.Refused() }

// Tick refuses what can no longer be served in time and takes in changed
// limits. It is to be called many times a second.
func (l *Dispatcher) Tick() {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modules.Scheduler.Capacity(capacity)
	l.expire()
	l.pump()
}

// capacity returns how many requests this entry may have at the endpoints: its
// window on the slots that reports tell, and no more than the limiters allow.
// An endpoint that was not heard of yet counts by its limiter.
func (l *Dispatcher) capacity() int {
	slots, limits := 0, 0
	known := l.fleet.Load()
	for id, slot := range known.slots {
		if known.endpoints[id].Leaving() {
			continue
		}
		limit := slot.limiter.Limit()
		limits += limit
		slots += slot.lastSlots(limit)
	}
	l.window.SetCapacity(slots, max(1, int(l.entries.Load())))
	return min(l.window.Size(), limits)
}

// Wait returns nil when the job may be sent now; Finish must follow. Otherwise
// it returns the refusal, which is not run.
func (l *Dispatcher) Wait(ctx context.Context, job *carawayspread.Job) error {
	l.demand.add(job)
	ready, err := l.offer(job)
	if err != nil {
		return err
	}
	select {
	case refusal := <-ready:
		return asError(refusal)
	case <-ctx.Done():
		return l.withdraw(ctx, job, ready)
	}
}

func (l *Dispatcher) offer(job *carawayspread.Job) (chan *carawayspread.Error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.modules.Scheduler.Offer(job); err != nil {
		return nil, err
	}
	ready := make(chan *carawayspread.Error, 1)
	l.tickets[job] = ready
	l.expire()
	l.pump()
	return ready, nil
}

func (l *Dispatcher) withdraw(ctx context.Context, job *carawayspread.Job, ready chan *carawayspread.Error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.modules.Scheduler.Cancel(job) {
		delete(l.tickets, job)
	} else if refusal := <-ready; refusal == nil {
		// The job was chosen in the same moment: its place goes back.
		l.finish(job, carawayspread.JobResult{})
	}
	return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the caller has gone or its deadline has passed while the request was queued",
		carawayspread.NotRun(), carawayspread.CausedBy(context.Cause(ctx)))
}

// Finish returns the place of a job that Wait let through, with the work that
// it took.
func (l *Dispatcher) Finish(job *carawayspread.Job, served carawayspread.JobResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finish(job, served)
}

func (l *Dispatcher) finish(job *carawayspread.Job, served carawayspread.JobResult) {
	if served.Took > 0 {
		l.window.Served(l.running)
	}
	l.running--
	l.modules.Scheduler.Done(job, served)
	l.expire()
	l.pump()
}

// pump lets jobs through while there is capacity. The caller holds mu.
func (l *Dispatcher) pump() {
	for {
		job := l.modules.Scheduler.Next()
		if job == nil {
			return
		}
		l.running++
		l.tickets[job] <- nil
		delete(l.tickets, job)
	}
}

// expire answers the jobs that the scheduler has given up. The caller holds mu.
func (l *Dispatcher) expire() {
	for _, refused := range l.modules.Scheduler.Expired() {
		if ready, ok := l.tickets[refused.Job]; ok {
			ready <- refused.Err
			delete(l.tickets, refused.Job)
		}
	}
}

// Queued returns the number of waiting jobs.
func (l *Dispatcher) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modules.Scheduler.Len()
}

func asError(e *carawayspread.Error) error {
	if e == nil {
		return nil
	}
	return e
}
