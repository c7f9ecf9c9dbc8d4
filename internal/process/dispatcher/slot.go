package dispatcher

import (
	"context"
	"time"

	"carawayspread"
)

const (
	// placeRetry is the longest time between two looks for a place; a place
	// that another request returns is seen at once.
	placeRetry = 20 * time.Millisecond
	// noEndpointRetry is when a caller may come back who met no endpoint: the
	// time in which the instance list and the reports are renewed.
	noEndpointRetry = 2 * time.Second
	// pickAttempts bounds how often a place is lost to another request between
	// the pick and its taking.
	pickAttempts = 4
)

// Slot is a place at an endpoint; Leave must be called once.
type Slot struct {
	lane     *Dispatcher
	slot     *endpointState
	job      *carawayspread.Job
	endpoint carawayspread.Endpoint
	taken    time.Time
	// displaced says that the job may meet an endpoint that knows nothing of
	// its earlier attempts.
	displaced bool
}

// Endpoint returns where the place is.
func (p *Slot) Endpoint() carawayspread.Endpoint { return p.endpoint }

// OutsideAffinity reports whether none of the job's own endpoints is available.
func (p *Slot) OutsideAffinity() bool { return p.displaced }

// AcquiredAt returns when the place was taken.
func (p *Slot) AcquiredAt() time.Time { return p.taken }

// Release returns the place with the latency that was measured: the mean gap
// between tokens of an engine's answer, the whole time of a plain service's,
// zero for none.
func (p *Slot) Release(latency time.Duration, outcome carawayspread.Outcome) {
	id := p.endpoint.ID()
	p.slot.release(latency, outcome)
	p.lane.modules.Router.Ended(id, p.job, outcome)
	p.lane.modules.Ejector.Observe(id, latency, outcome)
	if outcome == carawayspread.OutcomeServed {
		p.lane.modules.Budget.Succeeded()
	}
	p.lane.free()
}

func (l *Dispatcher) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.freed)
	l.freed = make(chan struct{})
}

func (l *Dispatcher) freedSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freed
}

// Acquire finds a place at an endpoint that tried does not name, waiting until
// latest while its endpoints are only busy. Its error is not run.
func (l *Dispatcher) Acquire(ctx context.Context, job *carawayspread.Job, tried map[carawayspread.EndpointID]bool, latest time.Time) (*Slot, error) {
	for {
		freed := l.freedSignal()
		place, wait := l.tryPlace(job, tried)
		if place != nil {
			return place, nil
		}
		if !wait || !l.clock.Now().Before(latest) {
			return nil, carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
				carawayspread.NotRun(), carawayspread.RetryAfter(noEndpointRetry))
		}
		select {
		case <-freed:
		case <-l.clock.After(placeRetry):
		case <-ctx.Done():
			return nil, carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the caller has gone or its deadline has passed",
				carawayspread.NotRun(), carawayspread.CausedBy(context.Cause(ctx)))
		}
	}
}

// tryPlace asks the router for an endpoint and takes a place there. The second
// result says that a place may come free.
func (l *Dispatcher) tryPlace(job *carawayspread.Job, tried map[carawayspread.EndpointID]bool) (*Slot, bool) {
	known := l.fleet.Load()
	for range pickAttempts {
		choice := l.modules.Router.Pick(job, func(id carawayspread.EndpointID) carawayspread.Availability {
			return l.standing(known, tried, id)
		})
		slot, ok := known.slots[choice.Endpoint]
		if !ok {
			return nil, choice.Wait
		}
		if !slot.acquire() {
			continue // another request took the place in between
		}
		l.modules.Router.Sent(choice.Endpoint, job)
		l.modules.Ejector.Sent(choice.Endpoint)
		return &Slot{
			lane: l, slot: slot, job: job, endpoint: known.endpoints[choice.Endpoint],
			displaced: choice.OutsideAffinity, taken: l.clock.Now(),
		}, false
	}
	return nil, true
}

func (l *Dispatcher) standing(known *fleet, tried map[carawayspread.EndpointID]bool, id carawayspread.EndpointID) carawayspread.Availability {
	slot, ok := known.slots[id]
	switch {
	case !ok || tried[id] || !l.modules.Ejector.Allowed(id):
		return carawayspread.AvailabilityExcluded
	case slot.full():
		return carawayspread.AvailabilityBusy
	default:
		return carawayspread.AvailabilityFree
	}
}
