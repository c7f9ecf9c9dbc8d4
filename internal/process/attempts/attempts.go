// Package attempts detects attempts that are delivered to a sidecar more than once.
//
// An attempt can be delivered twice: late, or by a client that repeats it on a new
// connection. An at-most-once request would then run twice, or run after its first
// delivery was refused and its caller was told "not run". Each attempt is therefore
// accepted only once, whatever became of the first delivery.
//
// Memory is bounded. A repeated delivery is only seconds old, since the lifetime of
// its connection is limited by the remaining time of the attempt. The IDs of the last
// two windows are kept, and new attempts are refused rather than IDs dropped within
// them. A restarted sidecar has no IDs, but no connection to the earlier process
// reaches it.
package attempts

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
)

const (
	// window is longer than a connection can delay an attempt that its sender has
	// abandoned.
	window = 2 * time.Minute
	// maxPerWindow limits one window: 400 requests per second at one sidecar, fifty times
	// the mean of 2,300 per second across 325 sidecars. Two full windows take about
	// 2 MB.
	maxPerWindow = 48_000
)

// Deduplicator detects repeated attempts. It is safe for concurrent use.
type Deduplicator struct {
	clock carawayspread.Clock

	mu        sync.Mutex
	rotatedAt time.Time           // start of the newest window
	newest    map[uint64]struct{} // hashes of attempt IDs, at most maxPerWindow
	earlier   map[uint64]struct{} // the window before
}

// New returns a Deduplicator without attempts.
func New(clock carawayspread.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, rotatedAt: clock.Now(), newest: map[uint64]struct{}{}}
}

// Accept records the attempt. It returns false if the attempt was recorded before or
// the current window is full.
func (a *Deduplicator) Accept(id string) bool {
	hash := xxhash.Sum64String(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(a.clock.Now())
	if _, known := a.newest[hash]; known {
		return false
	}
	if _, known := a.earlier[hash]; known {
		return false
	}
	if len(a.newest) >= maxPerWindow {
		return false
	}
	a.newest[hash] = struct{}{}
	return true
}

func (a *Deduplicator) rotate(now time.Time) {
	if now.Sub(a.rotatedAt) < window {
		return
	}
	a.earlier, a.newest, a.rotatedAt = a.newest, map[uint64]struct{}{}, now
}
