package hashrouter

import (
	"time"

	"carawayspread"
)

// maxFallbacks bounds the endpoints that are tried beyond the candidates.
const maxFallbacks = 16

// pick is the state of one call of Router.Pick.
type pick struct {
	snapshot     *snapshot
	job          *carawayspread.Job
	availability func(carawayspread.EndpointID) carawayspread.Availability
	now          time.Time
}

func (p *pick) check(e *endpoint) carawayspread.Availability {
	if e == nil {
		return carawayspread.AvailabilityExcluded
	}
	m := p.snapshot.byID[e.id]
	if m.leaving || !m.lost.IsZero() || e.unavailable(p.now) {
		return carawayspread.AvailabilityExcluded
	}
	if e.full(p.now) {
		return carawayspread.AvailabilityBusy
	}
	return p.availability(e.id)
}

// recentlyFailed reports whether the endpoint was lost or crashed recently.
func (p *pick) recentlyFailed(e *endpoint) bool {
	if e == nil {
		return false
	}
	crashed := e.crashed.Load()
	return !p.snapshot.byID[e.id].lost.IsZero() || crashed != 0 && p.now.UnixNano()-crashed < int64(lostTTL)
}

// cost combines load, distance and residency. An endpoint without the model must load it first,
// which takes seconds: it is chosen only when the other one lacks the model too.
func (p *pick) cost(zone string, e *endpoint) float64 {
	const absentModelCost = 10
	cost := e.load(p.now)
	if at := p.snapshot.byID[e.id].zone; zone != "" && at != zone {
		cost += crossZoneCost
	}
	if !e.holds(p.job.Model) {
		cost += absentModelCost
	}
	return cost
}

// fallback looks for an endpoint beyond the candidates, first among those that hold the model,
// then among all. It compares two available endpoints, so that the work of a lost endpoint is
// spread over the others.
func (p *pick) fallback(rings ...*ring) carawayspread.Choice {
	choice := carawayspread.Choice{OutsideAffinity: true}
	best := 0.0
	hash := mix(p.job.Fingerprint, p.job.Prefix)
	for n := range uint64(maxFallbacks) {
		e := rings[int(n)*len(rings)/maxFallbacks].successor(mix(hash, n))
		switch p.check(e) {
		case carawayspread.AvailabilityBusy:
			choice.Wait = true
		case carawayspread.AvailabilityFree:
			if choice.Endpoint == "" {
				choice.Endpoint, best = e.id, e.load(p.now)
				continue
			}
			if e.load(p.now) < best {
				choice.Endpoint = e.id
			}
			return normalized(choice)
		}
	}
	return normalized(choice)
}

func normalized(choice carawayspread.Choice) carawayspread.Choice {
	choice.Wait = choice.Wait && choice.Endpoint == ""
	return choice
}
