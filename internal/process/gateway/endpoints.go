package gateway

import (
	"slices"

	"carawayspread"
)

// SetEndpoints replaces the endpoints of all services.
func (g *Gateway) SetEndpoints(endpoints []carawayspread.Endpoint) {
	endpoints = g.backpressure.ApplyList(endpoints)
	byService := map[string][]carawayspread.Endpoint{}
	if routing := g.routing.Load(); routing != nil {
		for name := range routing.Services() {
			byService[name] = nil
		}
	}
	for _, endpoint := range endpoints {
		byService[endpoint.Service()] = append(byService[endpoint.Service()], endpoint)
	}
	g.endpoints.Store(&byService)
	// Before the first request goes to an endpoint of another build.
	g.origins.SetEndpoints(endpoints)
	g.TellUntold()
	for service, list := range byService {
		g.placer.SetEndpoints(service, list)
	}
	g.updateMoves(endpoints)
}

// takesRequests reports whether the endpoint is still listed, and has not said that it leaves.
//
// A request may wait for its connection for nearly a second, and this process may be suspended meanwhile.
func (g *Gateway) takesRequests(to carawayspread.Endpoint) bool {
	listed := slices.ContainsFunc((*g.endpoints.Load())[to.Service()], func(e carawayspread.Endpoint) bool {
		return e.ID() == to.ID() && e.Address() == to.Address() && !e.Leaving()
	})
	return listed && !g.backpressure.Draining(to.ID())
}
