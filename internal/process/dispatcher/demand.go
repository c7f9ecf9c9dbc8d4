package dispatcher

import (
	"sync"
	"time"

	"carawayspread"
)

// silentAfter is how old a report may be of an engine whose role may change.
const silentAfter = time.Minute

// demand counts the work that callers bring, by class.
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

// Demand returns the work that this entry received since the last call, as
// tokens a second, times the number of entries: the platform's balancer gives
// each of them the same part.
func (l *Dispatcher) Demand(entries int) carawayspread.Demand {
	now := l.clock.Now()
	l.demand.mu.Lock()
	defer l.demand.mu.Unlock()
	seconds := now.Sub(l.demand.since).Seconds()
	result := carawayspread.Demand{MeasuredAt: now}
	if !l.demand.since.IsZero() && seconds > 0 {
		for _, of := range l.demand.classes {
			scaled := *of
			scaled.PrefillTokens *= float64(entries) / seconds
			scaled.DecodeTokens *= float64(entries) / seconds
			result.Classes = append(result.Classes, scaled)
		}
	}
	l.demand.since, l.demand.classes = now, nil
	return result
}

// Engines returns the engines of the service as their last reports show them.
func (l *Dispatcher) Engines() []carawayspread.RoleState {
	known := l.fleet.Load()
	now := l.clock.Now()
	engines := make([]carawayspread.RoleState, 0, len(known.slots))
	for id, slot := range known.slots {
		state := carawayspread.RoleState{Endpoint: id, Role: carawayspread.RoleBoth, Leaving: true}
		if seen := slot.lastReport(); !seen.MeasuredAt.IsZero() {
			state.Leaving = known.endpoints[id].Leaving() || seen.Draining || seen.Crashed || now.Sub(seen.MeasuredAt) > silentAfter
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
