package fleetbudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// Guards against more retries than all processes together may send, however requests and
// retries are spread over them: in every time span of the window's length, the retries of
// all processes are at most the ratio of their requests plus the slack.
func TestAllProcessesTogetherKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newClock(t)
		processes := rapid.IntRange(1, 8).Draw(t, "processes")
		budgets := make([]*Budget, processes)
		for i := range budgets {
			budgets[i] = New(clock, limits, func() (int, bool) { return processes, true }, clock.Now().Add(-limits.Window))
		}
		type event struct {
			at                time.Time
			requests, retries int
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			e := event{at: clock.Now()}
			b := budgets[rapid.IntRange(0, processes-1).Draw(t, "who")]
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				b.CountRequest(clock.Now())
				e.requests++
			}
			for range rapid.IntRange(0, 60).Draw(t, "wanted") {
				if arrived, ok := sendRetry(b); ok {
					arrived()
					e.retries++
				}
			}
			events = append(events, e)
			clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		for i, first := range events {
			requests, retries := 0, 0
			for _, before := range events[:i] {
				if first.at.Sub(before.at) <= limits.Window {
					requests += before.requests
				}
			}
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= limits.Window {
					break
				}
				requests += e.requests
				retries += e.retries
			}
			if limit := limits.Ratio*float64(requests) + limits.Slack; float64(retries) > limit {
				t.Fatalf("%d retries within a window, allowed are %.1f", retries, limit)
			}
		}
	})
}

// Guards against a budget that stays spent after the window is over, and against one of which a process that
// always has something to retry gets a part only.
func TestBudgetIsRestored(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	b := New(clock, limits, func() (int, bool) { return 1, true }, clock.Now().Add(-limits.Window))
	spend := func() (n int) {
		for arrived, ok := sendRetry(b); ok; arrived, ok = sendRetry(b) {
			arrived()
			n++
		}
		return n
	}
	first := spend()
	qt.Check(t, first, qt.Equals, int(savedFraction*UsedFraction*limits.Slack))
	qt.Check(t, spend(), qt.Equals, 0)
	inAWindow := first
	for range buckets {
		clock.Advance(limits.Window / buckets)
		inAWindow += spend()
	}
	whole := int(UsedFraction * limits.Slack)
	qt.Check(t, inAWindow == whole || inAWindow == whole-1, qt.IsTrue, qt.Commentf("%d of %d, but for rounding", inAWindow, whole))
	clock.Advance(2 * limits.Window)
	qt.Check(t, spend(), qt.Equals, first)
	later := 0
	for range 3 * buckets {
		clock.Advance(limits.Window / buckets)
		later += spend()
	}
	qt.Check(t, later >= int(2*UsedFraction*limits.Slack), qt.IsTrue, qt.Commentf("%d in three windows", later))
}

// Guards against retries that are forgotten while they wait for a connection, or are held up by a cut.
func TestRetryCountsUntilItHasArrived(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	b := New(clock, Limits{Ratio: 1, Window: limits.Window}, func() (int, bool) { return 1, true }, clock.Now())
	passTime := func(d time.Duration) {
		for range int(d / step) {
			clock.Advance(step)
			b.CountRequest(clock.Now())
		}
	}
	passTime(2 * limits.Window)
	var sent []*Retry
	for r, d := b.Spend(); d.Allowed; r, d = b.Spend() {
		r.ArrivesWithin(2 * time.Second)
		sent = append(sent, r)
	}
	qt.Check(t, len(sent) > 10, qt.IsTrue, qt.Commentf("%d", len(sent)))
	passTime(time.Second)
	_, d := b.Spend()
	qt.Check(t, d.Allowed, qt.IsFalse)
	for _, r := range sent {
		r.ArrivesWithin(0)
	}
	passTime(time.Second)
	_, d = b.Spend()
	qt.Check(t, d.Allowed, qt.IsTrue)
}

// Guards against failures that reach callers of a service with little traffic, because a process that has
// started retries nothing for a whole window.
func TestRetryIsSentSoonAfterAStart(t *testing.T) {
	const processes, soon = 5, 3 * time.Second
	for name, c := range map[string]struct {
		requests   int
		fleetKnown bool
	}{
		"no other request":       {0, true},
		"the fleet is not known": {15, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			b := New(clock, limits, func() (int, bool) { return processes, c.fleetKnown }, clock.Now())
			for range c.requests {
				clock.Advance(soon / 20)
				b.CountRequest(clock.Now())
			}
			clock.Advance(soon - time.Duration(c.requests)*soon/20)
			_, ok := sendRetry(b)
			qt.Check(t, ok, qt.IsTrue)
		})
	}
}
