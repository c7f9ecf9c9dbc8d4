// Package hedging decides when a request that may be repeated gets a second attempt while the first one
// runs, since it is slower than its route has been.
//
// The load it is meant for: a service of a few endpoints with spare room, of which one is slow or holds some
// requests, so that a small share of the requests takes many times as long as the others. It is not meant
// for a service that is full: there a second attempt takes the place of another request, so each of three
// signs of it ends hedging. An endpoint refused a request lately; the other endpoint is not expected to
// answer soon; or all requests are slow, in which case the expectation follows them.
package hedging

import (
	"sync"
	"time"

	"carawayspread"
)

const (
	// minObserved is how many answers of a route must have been seen: with fewer, one slow answer is the
	// quantile of 0.95.
	minObserved = 20
	// maxRoutes bounds the routes that are kept; further ones are not hedged.
	maxRoutes = 4096
	// maxSaved bounds the second attempts that are saved for when one endpoint becomes slow.
	maxSaved = 4
	// expectedQuantile of the attempts take as long as is expected, and an attempt is slow after lateFactor
	// times as long. A higher quantile would be one of slow attempts where an endpoint holds a few in a
	// hundred; without the factor what may be sent is spent on attempts that are about to be answered.
	expectedQuantile = 0.95
	lateFactor       = 1.5
	// refusalPause is how long a service counts as full after a refusal: some times what its requests take.
	refusalPause = 2 * time.Second
	// soonFactor is the expected time of the second attempt as a multiple of the route's median up to
	// which it counts as free.
	soonFactor = 1.5
)

// Hedging decides for one process. It is safe for concurrent use.
type Hedging struct {
	clock carawayspread.Clock
	share float64

	mu      sync.Mutex
	saved   float64 // second attempts that may be sent now
	routes  map[string]*distribution
	refused map[string]time.Time // by service
}

// New returns hedging of that share of the requests that may get a second attempt.
//
// Each process takes the share of its own requests, so all together take that of all requests. first is a
// random number in [0, 1), the second attempts that are saved at the start: of processes that each get a
// few requests, none would come to a whole one, and with it as many come to one as the share is of all.
func New(clock carawayspread.Clock, share, first float64) *Hedging {
	return &Hedging{clock: clock, share: share, saved: first, routes: map[string]*distribution{}, refused: map[string]time.Time{}}
}

// Begin counts a request of the route, and returns after which time it is slower than expected; ok is
// false if that is not known.
func (h *Hedging) Begin(route string) (after time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved = min(maxSaved, h.saved+h.share)
	d := h.routes[route]
	if d == nil || d.total < minObserved {
		return 0, false
	}
	return time.Duration(lateFactor * float64(d.quantile(expectedQuantile))), true
}

// Spend reports whether a second attempt may be sent to an endpoint of the service that is expected to
// answer within that time. If so it is counted.
func (h *Hedging) Spend(route, service string, expected time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routes[route]
	switch {
	case h.saved < 1 || d == nil:
		return false
	case h.clock.Now().Sub(h.refused[service]) < refusalPause:
		return false
	case float64(expected) > soonFactor*float64(d.quantile(0.5)):
		return false
	}
	h.saved--
	return true
}

// Return takes back a second attempt that was not sent.
func (h *Hedging) Return() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved = min(maxSaved, h.saved+1)
}

// Answered records how long an attempt took, or after which time it was given up for another one: it would
// have taken longer, and without it the slowest were forgotten.
func (h *Hedging) Answered(route string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routes[route]
	if d == nil {
		if len(h.routes) >= maxRoutes {
			return
		}
		d = &distribution{}
		h.routes[route] = d
	}
	d.add(took)
}

// Refused records that an endpoint of the service had no room.
func (h *Hedging) Refused(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[service] = h.clock.Now()
	if len(h.refused) > maxRoutes {
		clear(h.refused)
	}
}
