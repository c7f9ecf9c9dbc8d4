package lane

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
)

// Place is a place at an endpoint; Leave must be called once.
type Place struct {
	lane     *Lane
	limiter  carawayspread.Limiter
	job      *carawayspread.Job
	endpoint carawayspread.Endpoint
	taken    time.Time
}

// Endpoint returns where the place is.
func (p *Place) Endpoint() carawayspread.Endpoint { return p.endpoint }

// Taken returns when the place was taken.
func (p *Place) Taken() time.Time { return p.taken }

// Leave returns the place with the latency to the first byte that was measured.
func (p *Place) Leave(latency time.Duration, outcome carawayspread.Outcome) {
	id := p.endpoint.ID()
	p.limiter.Release(latency, outcome)
	p.lane.modules.Router.Ended(id, p.job, outcome)
	p.lane.modules.Ejector.Observe(id, latency, outcome)
	if outcome == carawayspread.OutcomeServed {
		p.lane.modules.Budget.Succeeded()
	}
	p.lane.free()
}

func (l *Lane) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.freed)
	l.freed = make(chan struct{})
}

func (l *Lane) freedSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freed
}

// Place finds a place at an endpoint that tried does not name, waiting until
// latest. Its error is not run.
func (l *Lane) Place(ctx context.Context, job *carawayspread.Job, tried map[carawayspread.EndpointID]bool, latest time.Time) (*Place, error) {
	for {
		freed := l.freedSignal()
		if place := l.tryPlace(job, tried); place != nil {
			return place, nil
		}
		if !l.clock.Now().Before(latest) || !l.hope(tried) {
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

// tryPlace asks the router until an endpoint has a free place or none is left.
func (l *Lane) tryPlace(job *carawayspread.Job, tried map[carawayspread.EndpointID]bool) *Place {
	known := l.fleet.Load()
	full := map[carawayspread.EndpointID]bool{}
	exclude := func(id carawayspread.EndpointID) bool {
		return tried[id] || full[id] || !l.modules.Ejector.Allowed(id)
	}
	for range known.endpoints {
		id, ok := l.modules.Router.Pick(job, exclude)
		if !ok {
			return nil
		}
		limiter, ok := known.limiters[id]
		if ok && limiter.Acquire() {
			l.modules.Router.Sent(id, job)
			return &Place{lane: l, limiter: limiter, job: job, endpoint: known.endpoints[id], taken: l.clock.Now()}
		}
		full[id] = true
	}
	return nil
}

// hope reports whether an endpoint that was not tried may take work later.
func (l *Lane) hope(tried map[carawayspread.EndpointID]bool) bool {
	for id, endpoint := range l.fleet.Load().endpoints {
		if !tried[id] && !endpoint.Leaving() {
			return true
		}
	}
	return false
}
