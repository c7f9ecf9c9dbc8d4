package standstill

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// Guards against requests that are taken for just sent although they waited while the process stood still.
func TestRequestsThatWaitedThroughAStandstill(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := New(clock)
	run := func(span time.Duration) {
		for range int(span / Interval) {
			clock.Advance(Interval)
			d.Fired()
		}
	}
	check := func(want time.Time) {
		t.Helper()
		qt.Check(t, d.WaitingSince(), qt.Equals, want)
	}
	run(time.Second)
	check(clock.Now())
	clock.Advance(2 * Interval) // a late timer
	check(clock.Now())
	d.Fired()

	began := clock.Now()
	clock.Advance(8 * time.Second)
	check(began) // before the timer fires
	d.Fired()
	run(3 * time.Second)
	check(began)
	clock.Advance(time.Second) // stands still once more before it has read all
	d.Fired()
	check(began)
	run(4 * time.Second)
	check(clock.Now())

	began = clock.Now()
	clock.Advance(minStandstill)
	d.Fired()
	check(began)
	run(minCatchUp)
	check(clock.Now())
}

// Guards against a process that is behind and takes a signal that it notices for one that has just come.
func TestSignalIsNoticedLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := New(clock)
	qt.Check(t, d.SignalLateness(), qt.Equals, time.Duration(0))
	run := func(times int) {
		for range times {
			clock.Advance(Interval)
			d.Yield()
		}
	}
	run(20)
	qt.Check(t, d.SignalLateness(), qt.Equals, 2*Interval)
	clock.Advance(5 * time.Second) // stands still, or others run all the while
	d.Fired()
	qt.Check(t, d.SignalLateness(), qt.Equals, 2*Interval+5*time.Second)
	run(1)
	qt.Check(t, d.SignalLateness(), qt.Equals, 2*Interval+5*time.Second)
	run(2)
	qt.Check(t, d.SignalLateness(), qt.Equals, 2*Interval)
}
