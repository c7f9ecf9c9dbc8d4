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
