package placement

import (
	"cmp"
	"slices"
	"time"

	"carawayspread"
)

const (
	// mostAside bounds what a peer may say of an engine that changes its role.
	mostAside = 30 * time.Second
	// goneFor is how long an endpoint is out of use whose place another has taken:
	// the list shows it by then, as entries lapse after some heartbeats.
	//
	// Failure: an engine has started anew under another identifier, or has another
	// role, and its old entry is still listed. Symptom: the entry looks idle and
	// gets request after request; each is refused, and the retries that all
	// processes share are used up.
	goneFor = 4 * time.Second
	// leavingFor is how long an endpoint is out of use of which a peer says that it
	// leaves: the list is there by then.
	//
	// Failure: the list takes seconds to reach hundreds of processes, one after the
	// other. Symptom: those that it reaches last send requests to an endpoint that has
	// been leaving for as long.
	leavingFor = 10 * time.Second
	// unreachableFor is how long one that takes no connection is out of use, by
	// this process alone, whose own way to it may be cut.
	//
	// Failure: more engines stop together than may be ejected at a time. Symptom:
	// the rest of them look idle, and each request tries them first. Half a second
	// costs one attempt in some ten, and little where the engine is back at once.
	unreachableFor = 500 * time.Millisecond
	// readPerToken is the time that a reader takes for a token of a prompt of
	// usual length, attention included.
	readPerToken = 12500 * time.Nanosecond
)

var _ carawayspread.RoleSource = (*Placer)(nil)

// Roles implements carawayspread.RoleSource.
func (p *Placer) Roles() []carawayspread.ServiceRoles {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	var all []carawayspread.ServiceRoles
	for name, pool := range p.pools {
		if s, ok := p.roles(now, pool); ok {
			s.Service = name
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b carawayspread.ServiceRoles) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

func (p *Placer) roles(now time.Time, pool *pool) (carawayspread.ServiceRoles, bool) {
	s := carawayspread.ServiceRoles{Endpoints: make(map[carawayspread.EndpointID]carawayspread.Endpoint, len(pool.ordered))}
	readers := 0
	for _, e := range pool.ordered {
		id := e.endpoint.ID()
		running := p.load(now, e).running
		state := carawayspread.RoleState{
			Endpoint: id, Role: e.endpoint.Role(), Changing: e.aside.After(now),
			Leaving: e.endpoint.Leaving() || !pool.ejector.Allowed(id), Running: running,
			PrefillDelaysDecode: !e.reads() && !pool.readsBeside(e, running),
		}
		if e.reads() {
			readers++
			state.PrefillRate = float64(time.Second) / (float64(readPerToken) * e.pace)
		}
		s.Engines = append(s.Engines, state)
		s.Endpoints[id] = e.endpoint
	}
	since := now.Sub(pool.asked)
	arrived := pool.arrived
	pool.arrived, pool.asked = 0, now
	if readers == 0 || since <= 0 {
		return s, false
	}
	s.Demand = carawayspread.Demand{MeasuredAt: now, Classes: []carawayspread.ClassDemand{{
		PrefillTokens: float64(arrived) / since.Seconds(),
	}}}
	return s, true
}

// MarkStale implements carawayspread.Placer.
func (p *Placer) MarkStale(id carawayspread.EndpointID) { p.Suspend(id, goneFor) }

// Suspend implements carawayspread.RoleSource.
func (p *Placer) Suspend(id carawayspread.EndpointID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if e := pool.engines[id]; e != nil {
			e.aside = later(e.aside, p.env.Clock.Now().Add(d))
			p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.own, Tokens: e.tokens, SuspendedFor: d})
		}
	}
}
