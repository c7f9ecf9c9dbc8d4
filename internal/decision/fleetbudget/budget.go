// Package fleetbudget bounds the retries of all processes together.
//
// When part of the endpoints fails, callers repeat their requests and every process retries
// its failed attempts. Without a common bound the remaining endpoints get a multiple of the
// load and fail in turn. Processes do not coordinate before a retry: each applies the ratio
// to the requests that it accepted itself and takes an equal share of the slack, so that the
// sum holds whichever processes are lost, and however often they start.
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

// Fleet returns the number of processes that share the slack, this one included. It is not known at first.
type Fleet func() (size int, known bool)

// Decision is what was known when a retry was asked for.
type Decision struct {
	Allowed    bool
	Spent      int     // retries paid by requests in the window, before this one
	Limit      float64 // retries that the requests of the window pay for
	Requests   int     // requests of this process in the window
	Slack      float64 // retries left of this process's share of the slack, before this one
	FleetSize  int     // processes that share the slack
	FleetKnown bool    // nothing of the slack is spent before
	Age        time.Duration
}

// Budget counts the requests and retries of one service. It is safe for concurrent use.
type Budget struct {
	clock  carawayspread.Clock
	limits Limits
	fleet  Fleet
	start  time.Time // of the process

	mu       sync.Mutex
	slack    slack
	last     int64 // number of the newest bucket
	requests [buckets + 1]int
	retries  [buckets + 1]int // that were paid by requests
}

// New returns an unspent budget of a process that started at that time.
func New(clock carawayspread.Clock, limits Limits, fleet Fleet, start time.Time) *Budget {
	return &Budget{clock: clock, limits: limits, fleet: fleet, start: start, slack: slack{credited: start}}
}

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Allow spends one retry, if one is left: of those that requests pay for, else of the slack.
func (b *Budget) Allow() Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, now := b.advance(), b.clock.Now()
	d := Decision{Age: now.Sub(b.start)}
	for n := range b.requests {
		d.Requests += b.requests[n]
		d.Spent += b.retries[n]
	}
	d.Limit = usedFraction * b.limits.Ratio * float64(d.Requests)
	if d.FleetSize, d.FleetKnown = b.fleet(); d.FleetKnown {
		d.Slack = b.slack.refill(now, usedFraction*b.limits.Slack/float64(max(1, d.FleetSize)), b.limits.Window)
	}
	switch {
	case float64(d.Spent+1) <= d.Limit:
		b.retries[i]++
		d.Allowed = true
	case d.FleetKnown:
		d.Allowed = b.slack.take()
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
