// Package attempts remembers which attempts reached a sidecar.
//
// Failure: an attempt is delivered twice, late or by a client that repeats it
// on a new connection. Symptom: a request that must not run twice does, or it
// runs after its first delivery was refused and its caller was told "not run".
// So an attempt counts as arrived whatever became of it, and is taken once.
//
// The memory is bounded. An attempt that the network delivers again is only
// seconds old, since the connection that carries it is bounded by the time left
// of the attempt; the bound keeps the last two windows and refuses new work
// rather than forget within them. A sidecar that starts anew remembers nothing,
// and no connection of its predecessor reaches it.
package attempts

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

const (
	// window is longer than a connection can hold back an attempt whose sender
	// has given it up.
	window = 2 * time.Minute
	// limit bounds one window: 400 requests a second at one sidecar, fifty
	// times the mean of 2,300 a second before 325 sidecars. Two full windows
	// take about 2 MB.
	limit = 48_000
)

// Deduplicator remembers attempts. It is safe for concurrent use.
type Deduplicator struct {
	clock carawayspread.Clock

	mu      sync.Mutex
	turned  time.Time           // when the newest window began
	newest  map[uint64]struct{} // hashes of ids, at most limit
	earlier map[uint64]struct{} // the window before
}

// New returns an empty memory.
func New(clock carawayspread.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, turned: clock.Now(), newest: map[uint64]struct{}{}}
}

// Accept remembers the attempt; false when it arrived before, or when the
// memory is full.
func (a *Deduplicator) Accept(id string) bool {
	hash := xxhash.Sum64String(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(a.clock.Now())
	if _, known := a.newest[hash]; known {
		return false
	}
	if _, known := a.earlier[hash]; known {
		return false
	}
	if len(a.newest) >= limit {
		return false
	}
	a.newest[hash] = struct{}{}
	return true
}

func (a *Deduplicator) turn(now time.Time) {
	if now.Sub(a.turned) < window {
		return
	}
	a.earlier, a.newest, a.turned = a.newest, map[uint64]struct{}{}, now
}
