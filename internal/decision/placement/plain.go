package placement

import (
	"time"

	"carawayspread"
)

// placePlain chooses the endpoint of a plain service that answers first.
func (p *Placer) placePlain(now time.Time, pool *pool, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	var best *engine
	var bestFirst, bestCost, soon time.Duration
	for e := range from(pool.ordered, req.Fingerprint) {
		if !pool.open(now, e, req) {
			continue
		}
		mean := e.mean
		if mean == 0 {
			mean = plainStart
		}
		slots := max(1, e.endpoint.Slots())
		running := p.load(now, e).running
		first := time.Duration(float64(mean) * queued(e, running))
		cost := first + mean*time.Duration(running)/time.Duration(4*slots)
		cost += p.crossing(e, req)
		if best == nil || cost < bestCost {
			best, bestFirst, bestCost = e, first, cost
		}
		soon = max(soon, mean)
	}
	if best == nil {
		return carawayspread.Placement{}, nowhere()
	}
	if now.Add(bestFirst).After(req.Deadline) {
		return carawayspread.Placement{}, p.tooLate(bestFirst)
	}
	return carawayspread.Placement{Endpoint: best.endpoint, TimeToFirstEvent: bestFirst}, nil
}

// queued returns how many times its own time an answer takes at an endpoint with so
// many before it.
//
// Failure: what an answer waited is taken for the time that it needs, and counted once
// more for each that waits. Symptom: with a queue of a quarter of a second 1.4 s are
// expected, and whoever may wait for less is refused though the answer would be in time.
func queued(e *engine, running int) float64 {
	slots := max(1, e.endpoint.Slots())
	return 1 + float64(max(0, running-slots+1))/float64(slots)
}
