package placement

import (
	"cmp"
	"slices"
	"time"

	"carawayspread"
)

const (
	// maxPeerSuspension bounds how long a load update of a peer may keep an engine out of use.
	maxPeerSuspension = 30 * time.Second
	// staleSuspension is how long an endpoint is out of use after another one has taken its place;
	// by then the endpoint list shows the change, as entries expire after some heartbeats.
	//
	// The old entry of an engine that restarted under another identifier, or has another role, is
	// still listed and looks idle. It would get request after request; each is refused, and the
	// retry budget that all processes share is used up.
	staleSuspension = 4 * time.Second
	// leavingSuspension is how long an endpoint is out of use that a peer reports as leaving; by
	// then the endpoint list has arrived.
	//
	// The list takes seconds to reach hundreds of processes, one after the other. Those that it
	// reaches last would send requests to an endpoint that has been leaving for as long.
	leavingSuspension = 10 * time.Second
	// unreachableSuspension is how long an endpoint that accepts no connection is out of use. Only
	// this process avoids it, since the fault may be in its own network path.
	//
	// When more engines stop together than may be ejected at a time, the rest of them look idle,
	// and each request would try them first. Half a second costs about one attempt in ten, and
	// little if the engine is back at once.
	unreachableSuspension = 500 * time.Millisecond
	// nominalTimePerToken is the nominal prefill time of a token of a prompt of usual length,
	// attention included.
	nominalTimePerToken = 12500 * time.Nanosecond
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
	prefillEngines := 0
	for _, e := range pool.ordered {
		id := e.endpoint.ID()
		running := p.load(now, e).running
		state := carawayspread.RoleState{
			Endpoint: id, Role: e.endpoint.Role(), Changing: e.suspendedUntil.After(now),
			Leaving: e.endpoint.Leaving() || !pool.ejector.Allowed(id), Running: running,
			PrefillDelaysDecode: !e.prefillOnly() && !pool.toleratesPrefill(e, running),
		}
		if e.prefillOnly() {
			prefillEngines++
			state.PrefillRate = float64(time.Second) / (float64(nominalTimePerToken) * e.slowdown)
		}
		s.Engines = append(s.Engines, state)
		s.Endpoints[id] = e.endpoint
	}
	since := now.Sub(pool.demandSince)
	arrived := pool.arrivedTokens
	pool.arrivedTokens, pool.demandSince = 0, now
	if prefillEngines == 0 || since <= 0 {
		return s, false
	}
	s.Demand = carawayspread.Demand{MeasuredAt: now, Classes: []carawayspread.ClassDemand{{
		PrefillTokens: float64(arrived) / since.Seconds(),
	}}}
	return s, true
}

// MarkStale implements carawayspread.Placer.
func (p *Placer) MarkStale(id carawayspread.EndpointID) { p.Suspend(id, staleSuspension) }

// Suspend implements carawayspread.RoleSource.
func (p *Placer) Suspend(id carawayspread.EndpointID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if e := pool.engines[id]; e != nil {
			e.suspendedUntil = later(e.suspendedUntil, p.env.Clock.Now().Add(d))
			p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.ownAttempts, Tokens: e.ownTokens, SuspendedFor: d})
		}
	}
}
