// Package leastoutstanding sends each job to the endpoint with the fewest requests, by the last
// report and the attempts of this entry. It is a baseline that other routers are compared with: it
// examines every endpoint.
package leastoutstanding

import (
	"sync"

	"carawayspread"
)

// Router is a carawayspread.Router that chooses the endpoint with the fewest requests.
type Router struct {
	mu          sync.Mutex
	endpoints   []carawayspread.Endpoint
	reported    map[carawayspread.EndpointID]carawayspread.EndpointReport
	sinceReport map[carawayspread.EndpointID]int // own attempts started minus ended since the report
}

var _ = carawayspread.Routers.Register("leastOutstanding", func(carawayspread.Environment) carawayspread.Router {
	return New()
})

// New returns a router without endpoints.
func New() *Router {
	return &Router{
		reported:    map[carawayspread.EndpointID]carawayspread.EndpointReport{},
		sinceReport: map[carawayspread.EndpointID]int{},
	}
}

// SetEndpoints replaces the endpoints.
func (r *Router) SetEndpoints(endpoints []carawayspread.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpoints
}

// Reported stores the report.
func (r *Router) Reported(report carawayspread.EndpointReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported[report.Endpoint] = report
	r.sinceReport[report.Endpoint] = 0
}

// Pick returns the available endpoint with the fewest requests.
func (r *Router) Pick(_ *carawayspread.Job, availability func(carawayspread.EndpointID) carawayspread.Availability) carawayspread.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, least := carawayspread.Choice{}, 0
	for _, endpoint := range r.endpoints {
		report := r.reported[endpoint.ID()]
		if endpoint.Leaving() || report.Draining || report.Crashed {
			continue
		}
		switch availability(endpoint.ID()) {
		case carawayspread.AvailabilityBusy:
			choice.Wait = true
		case carawayspread.AvailabilityFree:
			outstanding := report.Running + report.Waiting + r.sinceReport[endpoint.ID()]
			if choice.Endpoint == "" || outstanding < least {
				choice.Endpoint, least = endpoint.ID(), outstanding
			}
		}
	}
	choice.Wait = choice.Wait && choice.Endpoint == ""
	return choice
}

// Sent counts an attempt of this entry.
func (r *Router) Sent(id carawayspread.EndpointID, _ *carawayspread.Job) { r.count(id, 1) }

// Ended removes an attempt from the count.
func (r *Router) Ended(id carawayspread.EndpointID, _ *carawayspread.Job, _ carawayspread.Outcome) {
	r.count(id, -1)
}

func (r *Router) count(id carawayspread.EndpointID, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sinceReport[id] += by
}
