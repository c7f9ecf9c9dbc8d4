// Package retrybudget bounds retries to a fraction of the successful requests.
//
// When part of the fleet fails, every failed attempt is sent again. Without a bound the
// remaining endpoints get the load of all endpoints twice or more, fail in turn, and keep
// failing after the cause is gone.
//
// Each success credits a tenth of a retry, so that retries add at most a tenth to the load.
// One retry per second is credited by time, also without requests, so that a process with
// little traffic can retry at all. The balance is at most twenty retries, which covers the
// requests that were running at one crashed endpoint.
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
)

// Budget is a carawayspread.RetryBudget. It is safe for concurrent use.
type Budget struct {
	clock    carawayspread.Clock
	balance  atomic.Int64 // in [0, maxBalance], except briefly during concurrent updates
	credited atomic.Int64 // Unix nanoseconds up to which time has been credited
}

// New returns a full budget.
func New(clock carawayspread.Clock) *Budget {
	b := &Budget{clock: clock}
	b.balance.Store(maxBalance)
	b.credited.Store(clock.Now().UnixNano())
	return b
}

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
	now, credited := b.clock.Now().UnixNano(), b.credited.Load()
	if now-credited < int64(time.Second) || !b.credited.CompareAndSwap(credited, now) {
		return
	}
	b.credit(int64(time.Duration(now-credited).Seconds() * perSecond))
}
