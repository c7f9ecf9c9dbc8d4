package placement

import (
	"time"

	"carawayspread"
	"carawayspread/internal/decision/sizeshares"
)

// overtakingOwed is how many admissions a size must be owed for its next request to go before others.
const overtakingOwed = 1

// weightedTokens returns the work of a request in prompt tokens; an output token counts as ten.
func weightedTokens(p *carawayspread.Prompt) float64 {
	return float64(p.Tokens) + 10*float64(sequenceTokens(p)-p.Tokens)
}

func (p *Placer) sharesOf(route string) *sizeshares.Shares {
	shares := p.shares[route]
	if shares == nil {
		shares = sizeshares.New()
		p.shares[route] = shares
	}
	return shares
}

// arrive counts the request where its caller sends it for the first time.
func (p *Placer) arrive(req carawayspread.PlacementRequest) {
	if !req.Repeated && !req.Admitted && !req.TargetMissed && req.PrefilledBy == "" {
		p.sharesOf(req.Route.Name).Arrived(weightedTokens(req.Prompt))
	}
}

// untilCallerLeaves returns how long the caller still waits for the first event.
func untilCallerLeaves(now time.Time, req carawayspread.PlacementRequest) time.Duration {
	left := req.Deadline.Sub(now)
	if req.Route.Patience > 0 {
		left = min(left, req.Arrived.Add(req.Route.Patience).Sub(now))
	}
	return left
}

// overtake judges a request again that was refused though its size is owed an admission: as one that
// is among the most urgent, and as late as its caller waits for it.
//
// The largest requests of a route take longer than what its target leaves beside any queue, and in a
// queue by urgency they wait until their callers have left. A longer tolerance alone has them admitted
// and not answered. Their turn at an engine bounds how seldom they are served, whatever the load, and
// what is owed bounds how often others wait for them.
func (p *Placer) overtake(now time.Time, pool *pool, engines []*engine, req carawayspread.PlacementRequest, prefixHashes []uint64) (carawayspread.Placement, bool) {
	urgent := *req.Route
	urgent.Priority = 0
	req.Route = &urgent
	best, ok := p.best(now, pool, engines, req, prefixHashes)
	if !ok {
		return carawayspread.Placement{}, false
	}
	at := p.placementOf(now, pool, best, req)
	at.Allowed = untilCallerLeaves(now, req)
	at.Urgent = true
	return at, at.TimeToFirstEvent <= at.Allowed
}

// admission is an admitted request until its end.
type admission struct {
	placer *Placer
	shares *sizeshares.Shares
	class  int
	taken  float64 // of what the class was owed
	ended  bool
}

// countAdmission counts an admitted request, unless an earlier placement of it counts already.
func (p *Placer) countAdmission(req carawayspread.PlacementRequest, class int) carawayspread.AdmissionTracker {
	if req.Admission != nil {
		return req.Admission
	}
	shares := p.sharesOf(req.Route.Name)
	return &admission{placer: p, shares: shares, class: class, taken: shares.Admitted(class)}
}

// End implements carawayspread.AdmissionTracker.
func (a *admission) End(served bool) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if !a.ended && !served {
		a.shares.Unserved(a.class, a.taken)
	}
	a.ended = true
}
