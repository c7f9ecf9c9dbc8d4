// Package retrybudget bounds retries to a fraction of the successful requests.
//
// When part of the fleet fails, every failed attempt is sent again. Without a bound the
// remaining endpoints get the load of all endpoints twice or more, fail in turn, and keep
// failing after the cause is gone.
//
// Each success credits a tenth of a retry, so that retries add at most a tenth to the load.
// One retry per second is credited by time, also without requests, so that a process with
// little traffic can retry at all. The balance is at most twenty retries, which covers the
// requests that were running at one crashed endpoint. A process starts without any: the one before
// it may have spent all, and a process that starts again and again would retry without a bound.
// It gets them once it is known that no other has started with them lately; see Reserve.
//
// Hedging, a second attempt before the first has failed, is not implemented: it adds load
// while decode already uses the whole fleet, and no measurement shows that it serves more
// requests in time.
package retrybudget

import (
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	// unit is one retry; balances and credits are in thousandths of a retry.
	unit       = 1000
	perSuccess = unit / 10
	perSecond  = unit
	maxBalance = 20 * unit
	// creditInterval is how often time is credited.
	creditInterval = 100 * time.Millisecond
)

// RestoreTime is how long time alone takes to restore a budget. A process that starts full once in so long
// retries no more than one that runs.
const RestoreTime = maxBalance / perSecond * time.Second

// Budget is a carawayspread.RetryBudget. It is safe for concurrent use.
type Budget struct {
	clock    carawayspread.Clock
	start    time.Time
	balance  atomic.Int64 // in [0, maxBalance], except briefly during concurrent updates
	credited atomic.Int64 // nanoseconds since start that have been credited
}

// New returns an empty budget.
func New(clock carawayspread.Clock) *Budget { return &Budget{clock: clock, start: clock.Now()} }

// Succeeded credits a fraction of a retry.
func (b *Budget) Succeeded() { b.credit(perSuccess) }

// Allow spends one retry.
func (b *Budget) Allow() bool {
	b.creditTime()
	if b.balance.Add(-unit) >= 0 {
		return true
	}
	b.balance.Add(unit)
	return false
}

func (b *Budget) credit(amount int64) {
	if over := b.balance.Add(amount) - maxBalance; over > 0 {
		b.balance.Add(-min(over, amount))
	}
}

func (b *Budget) creditTime() {
	elapsed, credited := int64(b.clock.Now().Sub(b.start)), b.credited.Load()
	if elapsed-credited < int64(creditInterval) || !b.credited.CompareAndSwap(credited, elapsed) {
		return
	}
	b.credit(int64(time.Duration(elapsed-credited).Seconds() * perSecond))
}
