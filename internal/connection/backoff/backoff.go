package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"carawayspread"
)

// Backoff waits between tries. It is immutable and safe for concurrent use.
type Backoff struct {
	clock carawayspread.Clock
	base  time.Duration // bound of the first wait; positive
	limit time.Duration // no bound exceeds it; at least base
	draw  func(bound time.Duration) time.Duration
}

// New returns waits below a bound that starts at base and doubles up to limit.
func New(clock carawayspread.Clock, base, limit time.Duration) *Backoff {
	return &Backoff{clock: clock, base: base, limit: limit, draw: rand.N[time.Duration]}
}

// Bound returns the longest wait after a try, counted from 1.
func (b *Backoff) Bound(try int) time.Duration {
	bound := b.base
	for range try - 1 {
		if bound >= b.limit {
			break
		}
		bound *= 2
	}
	return min(bound, b.limit)
}

// Draw returns the wait after a try, counted from 1.
func (b *Backoff) Draw(try int) time.Duration { return b.draw(b.Bound(try)) }

// Wait waits after a try, counted from 1; false when ctx ended before.
func (b *Backoff) Wait(ctx context.Context, try int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-b.clock.After(b.Draw(try)):
		return true
	}
}
