// Package storetime bounds what the steady clock of the platform's store shows now,
// and so how old a statement is that bears a reading of it.
//
// Load pattern: what the store confirmed to one process reaches the others by
// messages that may be delayed, from senders that may have been suspended. An age
// that a sender states, or that counts from the receipt, is short by that delay. A
// reading of the store's clock is not: each process relates that clock to its own
// uptime by calls of its own, whose beginning bounds the error.
package storetime

import (
	"sync"
	"time"

	"carawayspread"
)

// driftPart is the part by which the rates of two clocks may differ: 2%.
const driftPart = 50

// observation is a reading of the store's clock that was taken after a moment.
type observation struct {
	asked time.Duration // uptime
	stamp time.Duration // the store's clock
}

// latest returns the latest that the store's clock may show at the uptime.
func (o observation) latest(uptime time.Duration) time.Duration {
	passed := uptime - o.asked
	return o.stamp + passed + passed/driftPart
}

// Clock bounds the store's clock for one process. It is safe for concurrent use.
type Clock struct {
	uptime carawayspread.Uptime

	mu   sync.Mutex
	best observation // zero where there is none
}

// New returns a clock that knows nothing yet.
func New(uptime carawayspread.Uptime) *Clock { return &Clock{uptime: uptime} }

// Observe takes a reading that was taken, or bounded by a peer, after the question
// for it was asked at that uptime.
func (c *Clock) Observe(asked, stamp time.Duration) {
	if stamp <= 0 {
		return
	}
	now := c.uptime.Uptime()
	next := observation{asked, stamp}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.best.stamp == 0 || next.latest(now) < c.best.latest(now) {
		c.best = next
	}
}

// Now returns the latest that the store's clock may show; false where nothing
// relates it to this process.
func (c *Clock) Now() (time.Duration, bool) {
	now := c.uptime.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.best.latest(now), c.best.stamp > 0
}

// Age returns the longest time that may have passed since the store's clock showed
// the stamp; false where that cannot be said.
func (c *Clock) Age(stamp time.Duration) (time.Duration, bool) {
	now, known := c.Now()
	return max(0, now-stamp), known && stamp > 0
}

// DriftAllowance returns how much of the bound is there for drift since the last good
// reading; false where there was none.
func (c *Clock) DriftAllowance() (time.Duration, bool) {
	now := c.uptime.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	return (now - c.best.asked) / driftPart, c.best.stamp > 0
}
