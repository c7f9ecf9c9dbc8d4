package retrybudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// Guards against an entry that crashes again and again and retries without a bound, as each start fills its
// budget.
func TestStartsDoNotRefillTheBudget(t *testing.T) {
	const starts, lifetime = 30, 500 * time.Millisecond
	clock := clockwork.NewFakeClock()
	retries := 0
	for range starts {
		b := New(clock)
		clock.Advance(lifetime)
		for b.Allow() {
			retries++
		}
	}
	const allowed = maxBalance/unit + int(starts*lifetime/time.Second)*perSecond/unit
	qt.Check(t, retries <= allowed, qt.IsTrue, qt.Commentf("%d of %d", retries, allowed))
}

// Guards against failures that reach callers of an entry with little traffic for long after its start.
func TestRetryIsAllowedSoonAfterAStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock)
	for range 5 {
		b.Succeeded()
	}
	clock.Advance(time.Second / 2)
	qt.Check(t, b.Allow(), qt.IsTrue)
	qt.Check(t, b.Allow(), qt.IsFalse)
}

// Guards against a reserve that misses the budgets of services which are configured later, or earlier.
func TestReserveFillsAllBudgets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var r Reserve
	before := r.Budget(clock)
	qt.Check(t, before.Allow(), qt.IsFalse)
	r.Grant()
	for _, b := range []*Budget{before, r.Budget(clock)} {
		n := 0
		for b.Allow() {
			n++
		}
		qt.Check(t, n, qt.Equals, maxBalance/unit)
	}
}
