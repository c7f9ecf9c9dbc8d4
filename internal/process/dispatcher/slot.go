package dispatcher

import (
	"context"
	"time"

	"carawayspread"
)

const (
	// acquirePollInterval is the longest time between two tries to acquire a slot; a
	// slot that another request releases is noticed at once.
	acquirePollInterval = 20 * time.Millisecond
	// noEndpointRetry is the Retry-After if no endpoint is available. Within that time
	// the instance list and the reports are refreshed.
	noEndpointRetry = 2 * time.Second
	// maxPickAttempts limits how often a slot may be lost to another request between Pick
	// and acquire.
	maxPickAttempts = 4
)

// Slot is one concurrency slot at an endpoint. Release must be called once.
type Slot struct {
	dispatcher *Dispatcher
	state      *endpointState
	job        *carawayspread.Job
	endpoint   carawayspread.Endpoint
	acquiredAt time.Time
	// outsideAffinity marks that the endpoint may have no record of the job's earlier
	// attempts.
	outsideAffinity bool
}

// Endpoint returns the endpoint of the slot.
func (s *Slot) Endpoint() carawayspread.Endpoint { return s.endpoint }

// OutsideAffinity reports whether none of the job's own endpoints is available.
func (s *Slot) OutsideAffinity() bool { return s.outsideAffinity }

// AcquiredAt returns when the slot was acquired.
func (s *Slot) AcquiredAt() time.Time { return s.acquiredAt }

// Release releases the slot with the measured latency: the mean inter-token latency of
// an engine's answer, or the total time of a plain service's. Zero means no
// measurement.
func (s *Slot) Release(latency time.Duration, outcome carawayspread.Outcome) {
	id := s.endpoint.ID()
	s.state.release(latency, outcome)
	s.dispatcher.modules.Router.Ended(id, s.job, outcome)
	s.dispatcher.modules.Ejector.Observe(id, latency, outcome)
	if outcome == carawayspread.OutcomeServed {
		s.dispatcher.modules.Budget.Succeeded()
	}
	s.dispatcher.notifyFreed()
}

func (d *Dispatcher) notifyFreed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.freed)
	d.freed = make(chan struct{})
}

func (d *Dispatcher) freedSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freed
}

// Acquire acquires a slot at an endpoint that is not in tried. While endpoints are only
// busy, it waits until deadline. Its error is marked as not run.
func (d *Dispatcher) Acquire(ctx context.Context, job *carawayspread.Job, tried map[carawayspread.EndpointID]bool, deadline time.Time) (*Slot, error) {
	for {
		freed := d.freedSignal()
		slot, wait := d.tryAcquire(job, tried)
		if slot != nil {
			return slot, nil
		}
		if !wait || !d.clock.Now().Before(deadline) {
			return nil, carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
				carawayspread.NotRun(), carawayspread.RetryAfter(noEndpointRetry))
		}
		select {
		case <-freed:
		case <-d.clock.After(acquirePollInterval):
		case <-ctx.Done():
			return nil, carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the caller has gone or its deadline has passed",
				carawayspread.NotRun(), carawayspread.CausedBy(context.Cause(ctx)))
		}
	}
}

// tryAcquire lets the router pick an endpoint and acquires a slot there. The second result
// reports whether a slot may become free.
func (d *Dispatcher) tryAcquire(job *carawayspread.Job, tried map[carawayspread.EndpointID]bool) (*Slot, bool) {
	known := d.fleet.Load()
	for range maxPickAttempts {
		choice := d.modules.Router.Pick(job, func(id carawayspread.EndpointID) carawayspread.Availability {
			return d.availability(known, tried, id)
		})
		s, ok := known.states[choice.Endpoint]
		if !ok {
			return nil, choice.Wait
		}
		if !s.acquire() {
			continue // another request acquired the slot in between
		}
		d.modules.Router.Sent(choice.Endpoint, job)
		d.modules.Ejector.Sent(choice.Endpoint)
		return &Slot{
			dispatcher: d, state: s, job: job, endpoint: known.endpoints[choice.Endpoint],
			outsideAffinity: choice.OutsideAffinity, acquiredAt: d.clock.Now(),
		}, false
	}
	return nil, true
}

func (d *Dispatcher) availability(known *fleet, tried map[carawayspread.EndpointID]bool, id carawayspread.EndpointID) carawayspread.Availability {
	s, ok := known.states[id]
	switch {
	case !ok || tried[id] || !d.modules.Ejector.Allowed(id):
		return carawayspread.AvailabilityExcluded
	case s.full():
		return carawayspread.AvailabilityBusy
	default:
		return carawayspread.AvailabilityFree
	}
}
