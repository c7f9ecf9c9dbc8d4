// Package storetime bounds the current value of the monotonic clock of the platform's store, and
// thus the age of information that carries a value of that clock.
//
// What the store confirmed to one process reaches the others by messages that may be delayed, from
// senders that may have been suspended. An age stated by the sender, or counted from the receipt,
// is too short by that delay. A value of the store's clock is not: each process relates that clock
// to its own uptime by its own calls, and the time at which a call started bounds the error.
package storetime

import (
	"sync"
	"time"

	"carawayspread"
)

// driftDivisor is the reciprocal of the largest relative difference between the rates of two
// clocks: 1/50, or 2%.
const driftDivisor = 50

// observation is a value of the store's clock that was read after a known uptime.
type observation struct {
	requestedAt time.Duration // uptime when the request was sent
	storeTime   time.Duration // value of the store's clock
}

// latest returns the largest value that the store's clock may show at the uptime.
func (o observation) latest(uptime time.Duration) time.Duration {
	elapsed := uptime - o.requestedAt
	return o.storeTime + elapsed + elapsed/driftDivisor
}

// Clock bounds the store's clock for one process. It is safe for concurrent use.
type Clock struct {
	uptime carawayspread.Uptime

	mu       sync.Mutex
	tightest observation // has the lowest bound; zero if there is none
}

// New returns a clock without observations.
func New(uptime carawayspread.Uptime) *Clock { return &Clock{uptime: uptime} }

// Observe records a value of the store's clock that was read, or bounded by a peer, after the
// request for it was sent at the uptime requestedAt. Values that are not positive are ignored.
func (c *Clock) Observe(requestedAt, storeTime time.Duration) {
	if storeTime <= 0 {
		return
	}
	now := c.uptime.Uptime()
	next := observation{requestedAt, storeTime}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tightest.storeTime == 0 || next.latest(now) < c.tightest.latest(now) {
		c.tightest = next
	}
}

// Now returns the largest value that the store's clock may show; false if there is no observation.
func (c *Clock) Now() (time.Duration, bool) {
	now := c.uptime.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tightest.latest(now), c.tightest.storeTime > 0
}

// Age returns the longest time that may have passed since the store's clock showed storeTime; false
// if it is not known.
func (c *Clock) Age(storeTime time.Duration) (time.Duration, bool) {
	now, known := c.Now()
	return max(0, now-storeTime), known && storeTime > 0
}

// DriftAllowance returns the part of the bound that allows for drift since the best observation;
// false if there is none.
func (c *Clock) DriftAllowance() (time.Duration, bool) {
	now := c.uptime.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	return (now - c.tightest.requestedAt) / driftDivisor, c.tightest.storeTime > 0
}
