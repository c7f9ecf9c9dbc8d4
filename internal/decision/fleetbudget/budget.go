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

// Decision is what was known when a retry was asked for.
type Decision struct {
	Allowed   bool
	Spent     int           // retries of this process in the window, before this one
	Limit     float64       // retries that this process may send in the window
	Requests  int           // requests of this process in the window
	FleetSize int           // processes that share the slack
	Age       time.Duration // of the process
}

// Budget counts the requests and retries of one service. It is safe for concurrent use.
type Budget struct {
	clock     carawayspread.Clock
	limits    Limits
	processes func() int // processes that share the slack; at least 1
	start     time.Time  // of the process

	mu       sync.Mutex
	last     int64 // number of the newest bucket
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// New returns an unspent budget of a process that started at that time.
func New(clock carawayspread.Clock, limits Limits, processes func() int, start time.Time) *Budget {
	return &Budget{clock: clock, limits: limits, processes: processes, start: start}
}

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Allow spends one retry, if one is left.
func (b *Budget) Allow() Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance()
	d := Decision{FleetSize: max(1, b.processes()), Age: b.clock.Now().Sub(b.start)}
	for n := range b.requests {
		d.Requests += b.requests[n]
		d.Spent += b.retries[n]
	}
	d.Limit = usedFraction * (b.limits.Ratio*float64(d.Requests) + b.limits.Slack/float64(d.FleetSize))
	if d.Allowed = float64(d.Spent+1) <= d.Limit; d.Allowed {
		b.retries[i]++
	}
	return d
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
