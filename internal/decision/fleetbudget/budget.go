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

// UsedFraction is the fraction of the allowance that is spent. The rest covers requests that are read later
// than they were sent.
const UsedFraction = 0.9

// savedFraction is the fraction of a share of the slack that can be saved, for failures that come together, and
// at least one retry. The rest comes by time, also to a process that has just started.
const savedFraction = 0.25

// Limits bound the retries of all processes together, as set by operators.
type Limits struct {
	Ratio float64 // retries per request
	Slack float64 // retries per window of all processes, regardless of requests
	// Claimed is the part of Slack that no process has a share of: it is claimed in the table by those that need
	// it.
	Claimed float64
	Window  time.Duration // the bounds hold in every time span of this length
}

// Fleet returns the number of processes that share the slack, this one included. It is not known at first.
type Fleet func() (size int, known bool)

// Decision is what was known when a retry was asked for.
type Decision struct {
	Allowed    bool
	Spent      int     // retries in the tightest span, before this one
	Limit      float64 // retries that are allowed in that span
	Requests   int     // requests of this process in the window
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

	mu      sync.Mutex
	history history
}

// New returns an unspent budget of a process that started at that time.
func New(clock carawayspread.Clock, limits Limits, fleet Fleet, start time.Time) *Budget {
	return &Budget{
		clock: clock, limits: limits, fleet: fleet, start: start,
		history: history{interval: max(1, limits.Window/buckets)},
	}
}

// CountRequest counts a request that was sent at some time after since, by the clock of the budget. It counts
// only in windows that hold all of that time: operators count it as it was sent.
func (b *Budget) CountRequest(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.addRequest(b.clock.Now(), since)
}

// Spend spends one retry. The retry is nil if none is left.
func (b *Budget) Spend() (*Retry, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	d := Decision{Age: now.Sub(b.start), Requests: b.history.recentRequests(now)}
	d.Spent, d.Limit = b.tightest(now, b.slack(&d))
	if float64(d.Spent+1) > d.Limit {
		return nil, d
	}
	d.Allowed = true
	return &Retry{budget: b, bucket: b.history.addRetry(now, 0)}, d
}

// slack is one process's share of the slack.
//
// A process that starts does not know what the one before it has spent, which counts for the rest of the
// window. So the share is a token bucket that is empty at the start: what comes later would have come to its
// predecessor as well. What can be saved and what comes within a window add up to the share, so that no series
// of starts spends more than the share in any window.
type slack struct {
	saved     float64 // retries that can be saved
	perWindow float64 // retries that come within a window
}

func (b *Budget) slack(d *Decision) slack {
	if d.FleetSize, d.FleetKnown = b.fleet(); !d.FleetKnown {
		return slack{}
	}
	share := UsedFraction * (b.limits.Slack - b.limits.Claimed) / float64(max(1, d.FleetSize))
	saved := min(share, max(1, savedFraction*share))
	return slack{saved, share - saved}
}

// tightest returns, for the span up to now in which the fewest retries are left, the retries that may have
// arrived in it and how many are allowed in it.
//
// The bound holds in a window if it holds in each span from the window's beginning to a retry. Operators count
// the requests of the window, of the one before it, or of the one half a window before it, whichever has most.
// All processes have to count the same ones, as else some would use the requests of one window and some those
// of another. Half of the requests of the window and half of those of the window half a window before it are
// at most the larger of both. The earlier window allows retries as soon as something fails, the window itself
// as soon as a process has started.
func (b *Budget) tightest(now time.Time, s slack) (spent int, limit float64) {
	h := &b.history
	last, retries := h.number(now), 0
	requests := h.upTo(last)
	for n := last + ahead; n > last; n-- {
		retries += h.retries(n)
	}
	for first := last; first >= last-buckets; first-- {
		retries += h.retries(first)
		// The window begins anywhere in its first bucket, so only buckets count that are in both windows then.
		counted := float64(requests.between(first+1, last)+requests.between(first+1-half, min(last, first-1+half))) / 2
		began, saved := h.end(first), s.saved
		if !began.Add(-h.interval).After(b.start) {
			began, saved = b.start, 0
		}
		allowed := UsedFraction*b.limits.Ratio*counted + saved + s.perWindow*float64(max(0, now.Sub(began)))/float64(b.limits.Window)
		if first == last || allowed-float64(retries) < limit-float64(spent) {
			spent, limit = retries, allowed
		}
	}
	return spent, limit
}
