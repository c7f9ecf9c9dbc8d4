package rolepolicy

import (
	"cmp"
	"slices"
	"time"

	"carawayspread"
)

// fleet summarizes the engines of a service.
type fleet struct {
	engines     []carawayspread.RoleState // those that are not leaving
	split       split                     // engines that are changing count in their new role
	changing    int
	prefillRate float64 // tokens a second, median of the known rates; zero when none is known
	decodeRate  float64
}

func newFleet(engines []carawayspread.RoleState) fleet {
	f := fleet{engines: make([]carawayspread.RoleState, 0, len(engines))}
	prefill := make([]float64, 0, len(engines))
	decode := make([]float64, 0, len(engines))
	for _, engine := range engines {
		if engine.Leaving {
			continue
		}
		f.engines = append(f.engines, engine)
		*f.split.counter(engine.Role)++
		if engine.Changing {
			f.changing++
		}
		if engine.PrefillRate > 0 {
			prefill = append(prefill, engine.PrefillRate)
		}
		if engine.DecodeRate > 0 {
			decode = append(decode, engine.DecodeRate)
		}
	}
	f.prefillRate = median(prefill)
	f.decodeRate = median(decode)
	return f
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// picker selects the engines that may change, those with the least state to move first.
type picker struct {
	byRole         map[carawayspread.Role][]carawayspread.RoleState
	lastChange     map[carawayspread.EndpointID]time.Time
	unchangedSince time.Time // engines changed later than this keep their role
	sorted         map[carawayspread.Role]bool
}

func newPicker(f fleet, lastChange map[carawayspread.EndpointID]time.Time, unchangedSince time.Time) *picker {
	p := &picker{
		byRole:         map[carawayspread.Role][]carawayspread.RoleState{},
		lastChange:     lastChange,
		unchangedSince: unchangedSince,
		sorted:         map[carawayspread.Role]bool{},
	}
	for _, engine := range f.engines {
		if !engine.Changing {
			p.byRole[engine.Role] = append(p.byRole[engine.Role], engine)
		}
	}
	return p
}

// forStep returns the engines that a step would change.
func (p *picker) forStep(s step) []carawayspread.RoleState {
	return p.eligible(s.from, s.n)
}

// eligible returns up to n engines of a role that have kept it long enough.
func (p *picker) eligible(role carawayspread.Role, n int) []carawayspread.RoleState {
	if !p.sorted[role] {
		slices.SortFunc(p.byRole[role], leastToMove)
		p.sorted[role] = true
	}
	found := make([]carawayspread.RoleState, 0, n)
	for _, engine := range p.byRole[role] {
		if len(found) == n {
			break
		}
		if !p.lastChange[engine.Endpoint].After(p.unchangedSince) {
			found = append(found, engine)
		}
	}
	return found
}

func leastToMove(a, b carawayspread.RoleState) int {
	return cmp.Or(
		cmp.Compare(a.KVBytes, b.KVBytes),
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.Endpoint, b.Endpoint),
	)
}
