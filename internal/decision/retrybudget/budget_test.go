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
	qt.Check(t, retries <= int((starts*lifetime).Seconds()), qt.IsTrue, qt.Commentf("%d", retries))
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
