// Package truetime agrees on the time of day with peers whose clocks differ.
//
// Load pattern: the time of day of some machines jumps by seconds, and back. All
// processes relate their own to the steady clock of the platform's store; the median
// of what they find does not follow a minority that jumps.
package truetime

import (
	"slices"
	"sync"
	"time"

	"carawayspread"
)

// heardFor is how long a silent peer's statement counts.
const heardFor = 5 * time.Second

type statement struct {
	epoch time.Duration
	at    time.Time
}

// Clock is one process's view. It is safe for concurrent use.
type Clock struct {
	clock carawayspread.Clock
	store func() (time.Duration, bool) // what the store's clock shows

	mu    sync.Mutex
	peers map[uint64]statement
}

// New returns a clock on the time of day of clock and on the store's steady clock.
func New(clock carawayspread.Clock, store func() (time.Duration, bool)) *Clock {
	return &Clock{clock: clock, store: store, peers: map[uint64]statement{}}
}

// Epoch returns the time from the start of 1970, by this process alone, to the
// moment at which the store's clock showed zero; false where it cannot be said.
func (c *Clock) Epoch() (time.Duration, bool) {
	store, known := c.store()
	return time.Duration(c.clock.Now().UnixNano()) - store, known
}

// Heard takes the epoch of a peer; zero for none.
func (c *Clock) Heard(peer uint64, epoch time.Duration) {
	if epoch == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = statement{epoch: epoch, at: c.clock.Now()}
}

// Now returns the agreed time since the start of 1970; false where the store's clock
// is not known.
func (c *Clock) Now() (time.Duration, bool) {
	own, known := c.Epoch()
	if !known {
		return 0, false
	}
	store, _ := c.store()
	return store + c.median(own), true
}

func (c *Clock) median(own time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	epochs := []time.Duration{own}
	for peer, s := range c.peers {
		if now.Sub(s.at) > heardFor {
			delete(c.peers, peer)
			continue
		}
		epochs = append(epochs, s.epoch)
	}
	slices.Sort(epochs)
	return epochs[len(epochs)/2]
}
