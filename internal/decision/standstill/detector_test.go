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
	for name, test := range map[string]struct {
		late    []time.Duration // of the latest timers
		pending time.Duration   // since the last one
		want    time.Duration
	}{
		"in time":              {[]time.Duration{0, 0, 0}, 30 * time.Millisecond, 30 * time.Millisecond},
		"the next is late":     {[]time.Duration{0, 0, 0}, Interval + 70*time.Millisecond, Interval + 70*time.Millisecond},
		"each is late":         {[]time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}, Interval, Interval + 400*time.Millisecond},
		"each, and the next":   {[]time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}, Interval + 200*time.Millisecond, Interval + 600*time.Millisecond},
		"one stood still":      {[]time.Duration{0, 5 * time.Second, 0}, Interval, Interval + 5*time.Second},
		"it was late long ago": {[]time.Duration{5 * time.Second, 0, 0, 0, 0}, Interval, Interval},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := New(clock)
			for _, late := range test.late {
				clock.Advance(Interval + late)
				d.Fired()
			}
			clock.Advance(test.pending)
			qt.Check(t, d.SignalLateness(), qt.Equals, test.want)
		})
	}
}
