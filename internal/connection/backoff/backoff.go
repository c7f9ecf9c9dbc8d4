package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"carawayspread"
)

// Backoff waits between attempts. It is immutable and safe for concurrent use.
type Backoff struct {
	clock carawayspread.Clock
	base  time.Duration // bound of the first wait; positive
	limit time.Duration // largest bound; at least base
	draw  func(bound time.Duration) time.Duration
}

// New returns a Backoff whose waits are below a bound that starts at base and doubles up to limit.
func New(clock carawayspread.Clock, base, limit time.Duration) *Backoff {
	return &Backoff{clock: clock, base: base, limit: limit, draw: rand.N[time.Duration]}
}

// Bound returns the longest wait after an attempt, counted from 1.
func (b *Backoff) Bound(attempt int) time.Duration {
	bound := b.base
	for range attempt - 1 {
		if bound >= b.limit {
			break
		}
		bound *= 2
	}
	return min(bound, b.limit)
}

// Draw returns a random wait after an attempt, counted from 1.
func (b *Backoff) Draw(attempt int) time.Duration { return b.draw(b.Bound(attempt)) }

// Wait waits after an attempt, counted from 1; false if ctx ended first.
func (b *Backoff) Wait(ctx context.Context, attempt int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-b.clock.After(b.Draw(attempt)):
		return true
	}
}
