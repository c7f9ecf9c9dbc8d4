package gateway

import (
	"context"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/request/readahead"
)

// Option sets an optional part of a Gateway.
type Option func(*Gateway)

// WithRetryBudget sets how many attempts may be sent beyond the first ones, and the fleet that shares the
// budget.
func WithRetryBudget(budget fleetbudget.Limits, fleet fleetbudget.Fleet) Option {
	return func(g *Gateway) { g.retryBudget, g.fleet = budget, fleet }
}

// WithRetryClaims sets the function that claims a retry which the share of this process does not allow.
func WithRetryClaims(claim func(ctx context.Context, service string) bool) Option {
	return func(g *Gateway) { g.claimRetry = claim }
}

// WithRetryClock sets the clock of the retry budget, which has to count time in which the machine is suspended,
// and the function that returns the earliest time at which a request that is read now may have been sent.
func WithRetryClock(clock carawayspread.Clock, waitingSince func() time.Time) Option {
	return func(g *Gateway) { g.retryClock, g.waitingSince, g.start = clock, waitingSince, clock.Now() }
}

// WithListAge sets the function that returns the age of the list of endpoints.
func WithListAge(age func() time.Duration) Option { return func(g *Gateway) { g.listAge = age } }

// WithListVersion sets the function that returns the version of the list of endpoints.
func WithListVersion(version func() uint64) Option {
	return func(g *Gateway) { g.listVersion = version }
}

// WithReconnect sets the function that reports whether an answer asks its caller to use another connection.
func WithReconnect(f func() bool) Option { return func(g *Gateway) { g.reconnect = f } }

// WithMemory sets the memory of the process, in bytes, which bounds what it holds of answers.
func WithMemory(bytes int64) Option {
	return func(g *Gateway) {
		g.maxAllHeld = min(defaultHeldBytes, int64(heldShare*float64(bytes)))
		g.readAhead = readahead.NewBudget(int64(readAheadShare * float64(bytes)))
	}
}
