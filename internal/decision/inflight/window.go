// Package inflight bounds the requests that one entry has in flight at the endpoints of a service,
// so that its queue forms in the entry, where it can be ordered and refused, instead of at the
// endpoints.
//
// It is designed for tens of entries that share the slots of a fleet, when the load balancer gives
// one of them more than the others, or new ones join. Without it an entry either sends everything
// it has, and the endpoints refuse most of it, or keeps to an equal share, and what the other
// entries leave stays idle.
//
// The window starts at the equal share of the slots plus a quarter, which keeps a short queue at
// each endpoint. It grows by 0.2 requests for each answer that arrives while it is full, and
// shrinks by 0.4 for each attempt that an endpoint refuses as full: with one refusal for two
// answers it stays the same. It never falls below the equal share: an endpoint may be full because
// a prefix is hot while others are idle, and without this floor the tests of prefixes and of a hot
// caller lose a tenth of their answers.
//
// Without new answers or refusals the window stays the same.
package inflight

import "sync"

const (
	// headroom keeps requests for about a quarter of the slots waiting at the endpoints, so that
	// none is idle while the next request is on its way.
	headroom = 1.25
	grow     = 0.2
	shrink   = 0.4
)

// Window is the bound of one entry for one service. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	slots   int
	entries int
	size    float64 // from the equal share to the whole fleet; zero before the first SetCapacity
}

// SetCapacity sets the slots of all endpoints and the number of entries that share them.
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

// Served records that an answer arrived while the given number of requests were running.
func (w *Window) Served(running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running >= int(w.size) {
		w.set(w.size + grow)
	}
}

// Refused records that an endpoint had no room for an attempt.
func (w *Window) Refused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set(w.size - shrink)
}

// Size returns the number of requests that may be in flight at the endpoints.
func (w *Window) Size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size)
}

// fairShare returns the equal share of an entry, headroom included.
func (w *Window) fairShare() float64 {
	return max(1, headroom*float64(w.slots)/float64(max(1, w.entries)))
}

func (w *Window) set(size float64) {
	w.size = min(max(w.fairShare(), size), max(1, headroom*float64(w.slots)))
}
