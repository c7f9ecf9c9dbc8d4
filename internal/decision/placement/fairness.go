package placement

import (
	"time"

	"carawayspread"
	"carawayspread/internal/decision/sizeshares"
)

// overtakingOwed is how many admissions a size must be owed for its next request to go before others.
const overtakingOwed = 1.0

const (
	// overrunLearningRate is the weight of one answer in the overrun of a route.
	overrunLearningRate = 0.05
	// maxOverrun bounds the overrun of one answer.
	maxOverrun = 8
)

// admissions is what is known of the admissions of one route.
type admissions struct {
	shares *sizeshares.Shares
	// overrun is the mean time to the first event relative to the expected one, at least 1.
	overrun float64
}

// weightedTokens returns the work of a request in prompt tokens; an output token counts as ten.
func weightedTokens(p *carawayspread.Prompt) float64 {
	return float64(p.Tokens) + 10*float64(sequenceTokens(p)-p.Tokens)
}

func (p *Placer) admissionsOf(route string) *admissions {
	a := p.admissions[route]
	if a == nil {
		a = &admissions{shares: sizeshares.New(), overrun: 1}
		p.admissions[route] = a
	}
	return a
}

// arrive counts the request where its caller sends it for the first time.
func (p *Placer) arrive(req carawayspread.PlacementRequest) {
	if !req.Repeated && !req.Admitted && !req.TargetMissed && req.PrefilledBy == "" {
		p.admissionsOf(req.Route.Name).shares.Arrived(weightedTokens(req.Prompt))
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

// extraTolerance returns how much longer than usual a request may be expected to take whose size is
// owed so many admissions. With a whole one that is until its caller leaves, if the answer is as late
// as others of the route: an answer after the target is still worth something.
func (a *admissions) extraTolerance(now time.Time, req carawayspread.PlacementRequest, usual time.Duration, owed float64) time.Duration {
	longest := time.Duration(float64(untilCallerLeaves(now, req)) / a.overrun)
	part := (min(overtakingOwed, owed) - sizeshares.InitiallyOwed) / (overtakingOwed - sizeshares.InitiallyOwed)
	return time.Duration(max(0, part) * float64(max(0, longest-usual)))
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
	placer   *Placer
	of       *admissions
	class    int
	taken    float64       // of what the class was owed
	expected time.Duration // time to the first event
	ended    bool
}

// countAdmission counts an admitted request, unless an earlier placement of it counts already.
func (p *Placer) countAdmission(req carawayspread.PlacementRequest, class int, expected time.Duration) carawayspread.AdmissionTracker {
	if req.Admission != nil {
		return req.Admission
	}
	of := p.admissionsOf(req.Route.Name)
	return &admission{placer: p, of: of, class: class, taken: of.shares.Admitted(class), expected: expected}
}

// End implements carawayspread.AdmissionTracker.
func (a *admission) End(served bool, waited time.Duration) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if !served {
		a.of.shares.Unserved(a.class, a.taken)
	}
	if waited > 0 && a.expected > 0 {
		overrun := min(maxOverrun, float64(waited)/float64(a.expected))
		a.of.overrun = max(1, a.of.overrun+overrunLearningRate*(overrun-a.of.overrun))
	}
}
