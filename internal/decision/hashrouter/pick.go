package hashrouter

import (
	"time"

	"carawayspread"
)

// maxDisplaced bounds the endpoints that are tried beyond the candidates.
const maxDisplaced = 16

// pick is one choice in progress.
type pick struct {
	snapshot *snapshot
	job      *carawayspread.Job
	standing func(carawayspread.EndpointID) carawayspread.Availability
	now      time.Time
}

func (p *pick) ask(e *endpoint) carawayspread.Availability {
	if e == nil {
		return carawayspread.AvailabilityExcluded
	}
	m := p.snapshot.byID[e.id]
	if m.leaving || !m.lost.IsZero() || e.down(p.now) {
		return carawayspread.AvailabilityExcluded
	}
	if e.full(p.now) {
		return carawayspread.AvailabilityBusy
	}
	return p.standing(e.id)
}

// troubled reports whether the endpoint was lost or crashed lately.
func (p *pick) troubled(e *endpoint) bool {
	if e == nil {
		return false
	}
	crashed := e.crashed.Load()
	return !p.snapshot.byID[e.id].lost.IsZero() || crashed != 0 && p.now.UnixNano()-crashed < int64(lostLife)
}

// cost weighs load, distance and residency. An endpoint without the model must
// load it first, which takes seconds: it is chosen only when the other one
// lacks the model too.
func (p *pick) cost(zone string, e *endpoint) float64 {
	const absent = 10
	cost := e.load(p.now)
	if at := p.snapshot.byID[e.id].zone; zone != "" && at != zone {
		cost += otherZone
	}
	if !e.holds(p.job.Model) {
		cost += absent
	}
	return cost
}

// displaced looks for an endpoint beyond the candidates, first where the model
// is resident, then anywhere. It compares two available endpoints, so that the
// work of a lost one is spread over the others.
func (p *pick) displaced(rings ...*ring) carawayspread.Choice {
	choice := carawayspread.Choice{OutsideAffinity: true}
	best := 0.0
	hash := mix(p.job.Fingerprint, p.job.Prefix)
	for n := range uint64(maxDisplaced) {
		e := rings[int(n)*len(rings)/maxDisplaced].after(mix(hash, n))
		switch p.ask(e) {
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
			return settled(choice)
		}
	}
	return settled(choice)
}

func settled(choice carawayspread.Choice) carawayspread.Choice {
	choice.Wait = choice.Wait && choice.Endpoint == ""
	return choice
}
