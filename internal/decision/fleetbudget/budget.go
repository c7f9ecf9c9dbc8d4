// Package fleetbudget bounds the retries of all processes together.
//
// When part of the endpoints fails, callers repeat their requests and every process retries
// its failed attempts. Without a common bound the remaining endpoints get a multiple of the
// load and fail in turn. Processes do not coordinate before a retry: each applies the ratio
// to the requests that it accepted itself and adds an equal share of the slack, so that the
// sum holds whichever processes are lost.
package fleetbudget

import (
	"sync"
	"time"

	"carawayspread"
)

const (
	// usedFraction is the fraction of the allowance that is spent: requests that are
	// counted here may not have reached their service yet when they are counted there.
	usedFraction = 0.8
	buckets      = 20 // per window
)

// Limits bound the retries of all processes together, as set by operators.
type Limits struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries per window of all processes, regardless of requests
	Window time.Duration // the bounds hold in every time span of this length
}

// Budget counts the requests and retries of one service. It is safe for concurrent use.
type Budget struct {
	clock     carawayspread.Clock
	limits    Limits
	processes func() int // processes that share the slack; at least 1

	mu       sync.Mutex
	last     int64 // number of the newest bucket
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// New returns an unspent budget.
func New(clock carawayspread.Clock, limits Limits, processes func() int) *Budget {
	return &Budget{clock: clock, limits: limits, processes: processes}
}

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Allow spends one retry; false if none is left.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance()
	requests, retries := 0, 0
	for n := range b.requests {
		requests += b.requests[n]
		retries += b.retries[n]
	}
	allowed := usedFraction * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(1, b.processes())))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[i]++
	return true
}

// advance clears the buckets that have left the window and returns the index of the newest.
func (b *Budget) advance() int {
	now := b.clock.Now().UnixNano() / int64(max(1, b.limits.Window/buckets))
	for n := max(b.last+1, now-buckets); n <= now; n++ {
		b.requests[n%(buckets+1)], b.retries[n%(buckets+1)] = 0, 0
	}
	b.last = max(b.last, now)
	return int(b.last % (buckets + 1))
}
