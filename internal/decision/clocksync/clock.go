// Package clocksync synchronizes the time of day among peers whose wall clocks differ.
//
// The wall clocks of some instances jump by seconds, and back. Each process measures the
// offset between its wall clock and the monotonic clock of the platform's store; the median
// of these offsets does not follow a minority that jumps.
package clocksync

import (
	"slices"
	"sync"
	"time"

	"carawayspread"
)

// offsetTTL is how long the offset of a peer counts without being reported again.
const offsetTTL = 5 * time.Second

// report is the epoch that a peer reported, and when it arrived.
type report struct {
	epoch time.Duration
	at    time.Time
}

// Clock is one process's view of the synchronized time. It is safe for concurrent use.
type Clock struct {
	clock carawayspread.Clock
	store func() (time.Duration, bool) // time of the store's monotonic clock; false if not known

	mu    sync.Mutex
	peers map[uint64]report
}

// New returns a clock that uses the wall clock of clock and the store's monotonic clock.
func New(clock carawayspread.Clock, store func() (time.Duration, bool)) *Clock {
	return &Clock{clock: clock, store: store, peers: map[uint64]report{}}
}

// Epoch returns the time from the start of 1970 to the zero of the store's clock, by this
// process's wall clock alone; false if the store's clock is not known.
func (c *Clock) Epoch() (time.Duration, bool) {
	store, known := c.store()
	return time.Duration(c.clock.Now().UnixNano()) - store, known
}

// ObservePeer records the epoch that a peer reports; zero, for none, is ignored.
func (c *Clock) ObservePeer(peer uint64, epoch time.Duration) {
	if epoch == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = report{epoch: epoch, at: c.clock.Now()}
}

// Now returns the synchronized time since the start of 1970; false if the store's clock is
// not known.
func (c *Clock) Now() (time.Duration, bool) {
	own, known := c.Epoch()
	if !known {
		return 0, false
	}
	store, _ := c.store()
	return store + c.median(own), true
}

// median returns the median of the own epoch and those of the peers, and drops expired ones.
func (c *Clock) median(own time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	epochs := []time.Duration{own}
	for peer, s := range c.peers {
		if now.Sub(s.at) > offsetTTL {
			delete(c.peers, peer)
			continue
		}
		epochs = append(epochs, s.epoch)
	}
	slices.Sort(epochs)
	return epochs[len(epochs)/2]
}
