// Package roundrobin sends jobs to the endpoints in turn. It is a baseline that other routers are
// compared with.
package roundrobin

import (
	"sync/atomic"

	"carawayspread"
)

// Router is a carawayspread.Router that uses the endpoints in turn.
type Router struct {
	endpoints atomic.Pointer[[]carawayspread.Endpoint]
	turn      atomic.Uint64
}

var _ = carawayspread.Routers.Register("roundRobin", func(env carawayspread.Environment) carawayspread.Router {
	return New(env)
})

// New returns a router without endpoints that starts at a random position.
func New(env carawayspread.Environment) *Router {
	r := &Router{}
	r.endpoints.Store(&[]carawayspread.Endpoint{})
	r.turn.Store(uint64(env.Rand.Uint32()))
	return r
}

// SetEndpoints replaces the endpoints.
func (r *Router) SetEndpoints(endpoints []carawayspread.Endpoint) {
	r.endpoints.Store(&endpoints)
}

// Reported does nothing.
func (r *Router) Reported(carawayspread.EndpointReport) {}

// Pick returns the next available endpoint.
func (r *Router) Pick(_ *carawayspread.Job, availability func(carawayspread.EndpointID) carawayspread.Availability) carawayspread.Choice {
	endpoints := *r.endpoints.Load()
	wait := false
	for range endpoints {
		next := endpoints[r.turn.Add(1)%uint64(len(endpoints))]
		if next.Leaving() {
			continue
		}
		switch availability(next.ID()) {
		case carawayspread.AvailabilityFree:
			return carawayspread.Choice{Endpoint: next.ID()}
		case carawayspread.AvailabilityBusy:
			wait = true
		}
	}
	return carawayspread.Choice{Wait: wait}
}

// Sent does nothing.
func (r *Router) Sent(carawayspread.EndpointID, *carawayspread.Job) {}

// Ended does nothing.
func (r *Router) Ended(carawayspread.EndpointID, *carawayspread.Job, carawayspread.Outcome) {}
