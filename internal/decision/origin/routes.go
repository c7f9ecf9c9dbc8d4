package origin

import (
	"maps"
	"time"

	"carawayspread"
)

// RouteID identifies a route across versions of the routes.
type RouteID struct{ Host, Prefix string }

// NewRouteID returns the identifier of the route.
func NewRouteID(route *carawayspread.Route) RouteID { return RouteID{route.Host, route.Prefix} }

// SetRoutes notes which routes lead to other services in the next version of the routes, before it is in force.
func (o *Origins) SetRoutes(before, next *carawayspread.Routing) {
	if before == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for id, at := range o.moved {
		if now.Sub(at) > retention {
			delete(o.moved, id)
		}
	}
	for route := range next.Routes() {
		if old, ok := before.Find(route.Host, route.Prefix); ok && !sameServices(old, route) {
			o.moved[NewRouteID(route)] = now
		}
	}
	for old := range before.Routes() { // where it was dropped, another one has its requests
		if route, ok := next.Find(old.Host, old.Prefix); ok && !sameServices(old, route) {
			o.moved[NewRouteID(route)] = now
		}
	}
}

// LedElsewhere reports whether a stream of the route may have begun at another service within the lifetime of a
// stream.
func (o *Origins) LedElsewhere(route *carawayspread.Route, lifetime time.Duration) bool {
	if len(services(route)) > 1 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasMoved(o.clock.Now(), NewRouteID(route), lifetime)
}

func (o *Origins) hasMoved(now time.Time, route RouteID, lifetime time.Duration) bool {
	at, ok := o.moved[route]
	if !ok {
		return false
	}
	for _, longest := range o.longest { // of any service: which the route led to is not kept
		lifetime = max(lifetime, longest)
	}
	return now.Sub(at) < lifetime
}

// services returns the services at which streams of the route may begin.
func services(route *carawayspread.Route) map[string]bool {
	set := map[string]bool{}
	for _, share := range route.Shares {
		if share.Weight > 0 {
			set[share.Service] = true
		}
	}
	if len(set) == 0 {
		set[route.Shares[0].Service] = true
	}
	return set
}

func sameServices(a, b *carawayspread.Route) bool {
	return a == b || maps.Equal(services(a), services(b))
}
