package placement

import (
	"time"

	"carawayspread"
)

// placePlain chooses the endpoint of a plain service with the lowest expected latency.
func (p *Placer) placePlain(now time.Time, pool *pool, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	var best *engine
	var bestFirst, bestCost, soon time.Duration
	for e := range rotated(pool.ordered, req.Fingerprint) {
		if !pool.eligible(now, e, req) {
			continue
		}
		mean := e.meanLatency
		if mean == 0 {
			mean = initialPlainLatency
		}
		slots := max(1, e.endpoint.Slots())
		running := p.load(now, e).running
		first := time.Duration(float64(mean) * queueFactor(e, running))
		cost := first + time.Duration(float64(mean)*float64(running)/(4*float64(slots)))
		cost += p.crossZoneCost(e, req)
		if best == nil || cost < bestCost {
			best, bestFirst, bestCost = e, first, cost
		}
		soon = max(soon, mean)
	}
	if best == nil {
		return carawayspread.Placement{}, noEndpoint()
	}
	if now.Add(bestFirst).After(req.Deadline) {
		return carawayspread.Placement{}, p.overloaded(bestFirst)
	}
	return carawayspread.Placement{Endpoint: best.endpoint, TimeToFirstEvent: bestFirst}, nil
}

// queueFactor returns the expected latency of an answer at an endpoint with so many running,
// relative to its latency without a queue.
//
// If the measured latency were not divided by it, the wait of an answer would count as service
// time, and once more for each request that waits: with a queue of a quarter of a second, 1.4 s
// would be expected, and requests with a shorter deadline would be refused though their answers
// would be in time.
func queueFactor(e *engine, running int) float64 {
	slots := max(1, e.endpoint.Slots())
	return 1 + float64(max(0, running-slots+1))/float64(slots)
}
