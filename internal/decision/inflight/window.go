// Package inflight bounds what one entry has at the endpoints of a service at
// once, so that its queue forms in the entry, where it can be ordered and
// refused, and not before the endpoints.
//
// Load pattern: tens of entries share the slots of a fleet; the balancer gives
// one of them more than the others, or new ones join.
//
// Without it an entry either sends everything it has, and the endpoints refuse
// most of it, or keeps to an equal part, and what the other entries leave
// stays idle.
//
// The window starts at the equal part of the slots with a quarter more, which
// keeps a short queue before each endpoint. It grows by a fifth of a request
// for each answer that came while it was full, and shrinks by two fifths for
// each attempt that an endpoint refused as full: with one refusal for two
// answers it stays. It never falls below the equal part: an endpoint may be full
// because a prefix is hot while others are idle, and without this floor the
// tests of prefixes and of a hot caller lose a tenth of their answers.
//
// With nothing new the window stays.
package inflight

import "sync"

const (
	// headroom keeps about a quarter of the slots' number waiting at the
	// endpoints, so that none idles while the next request is on its way.
	headroom = 1.25
	grow     = 0.2
	shrink   = 0.4
)

// Window is the bound of one entry for one service. It is safe for concurrent
// use.
type Window struct {
	mu      sync.Mutex
	slots   int
	entries int
	size    float64 // from the equal part to all; zero before the first Fleet
}

// SetCapacity tells the slots of all endpoints and the number of entries before them.
func (w *Window) SetCapacity(slots, entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slots == w.slots && entries == w.entries {
		return
	}
	scale := 1.0
	if w.slots > 0 && w.size > 0 {
		scale = w.size / w.fairShare()
	}
	w.slots, w.entries = slots, entries
	w.set(scale * w.fairShare())
}

// Served tells that an answer came while so many requests were running.
func (w *Window) Served(running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running >= int(w.size) {
		w.set(w.size + grow)
	}
}

// Refused tells that an endpoint had no room for an attempt.
func (w *Window) Refused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set(w.size - shrink)
}

// Size returns the number of requests that may be at the endpoints at once.
func (w *Window) Size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size)
}

// fairShare is the equal fairShare of an entry.
func (w *Window) fairShare() float64 {
	return max(1, headroom*float64(w.slots)/float64(max(1, w.entries)))
}

func (w *Window) set(size float64) {
	w.size = min(max(w.fairShare(), size), max(1, headroom*float64(w.slots)))
}
