package dispatcher

import (
	"sync"
	"time"

	"carawayspread"
)

// staleReportAfter is the maximum age of the last report of an engine whose role may
// change. An engine with an older report counts as leaving.
const staleReportAfter = time.Minute

// demand counts the tokens of arriving requests, by class.
type demand struct {
	mu      sync.Mutex
	since   time.Time
	classes map[string]*carawayspread.ClassDemand // tokens since then
}

func (d *demand) add(job *carawayspread.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.classes == nil {
		d.classes = map[string]*carawayspread.ClassDemand{}
	}
	of := d.classes[job.Class.Name()]
	if of == nil {
		of = &carawayspread.ClassDemand{}
		d.classes[job.Class.Name()] = of
	}
	of.Class = job.Class
	of.PrefillTokens += float64(job.Cost.Prefill)
	of.DecodeTokens += float64(job.Cost.Decode)
}

// Demand returns the work that this entry has received since the last call in tokens
// per second, multiplied by the number of entries, as the platform's load balancer
// gives each entry an equal share.
func (d *Dispatcher) Demand(entries int) carawayspread.Demand {
	now := d.clock.Now()
	d.demand.mu.Lock()
	defer d.demand.mu.Unlock()
	seconds := now.Sub(d.demand.since).Seconds()
	result := carawayspread.Demand{MeasuredAt: now}
	if !d.demand.since.IsZero() && seconds > 0 {
		for _, of := range d.demand.classes {
			scaled := *of
			scaled.PrefillTokens *= float64(entries) / seconds
			scaled.DecodeTokens *= float64(entries) / seconds
			result.Classes = append(result.Classes, scaled)
		}
	}
	d.demand.since, d.demand.classes = now, nil
	return result
}

// Engines returns the engines of the service with the state of their last reports.
func (d *Dispatcher) Engines() []carawayspread.RoleState {
	known := d.fleet.Load()
	now := d.clock.Now()
	engines := make([]carawayspread.RoleState, 0, len(known.states))
	for id, s := range known.states {
		state := carawayspread.RoleState{Endpoint: id, Role: carawayspread.RoleBoth, Leaving: true}
		if seen := s.lastReport(); !seen.MeasuredAt.IsZero() {
			state.Leaving = known.endpoints[id].Leaving() || seen.Draining || seen.Crashed || now.Sub(seen.MeasuredAt) > staleReportAfter
			state.Running = seen.Running
			state.PrefillRate, state.DecodeRate = seen.PrefillRate, seen.DecodeRate
			if seen.Role != "" {
				state.Role = seen.Role
			}
		}
		engines = append(engines, state)
	}
	return engines
}
