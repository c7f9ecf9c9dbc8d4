package enginespeed_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/decision/enginespeed"
)

var alone = enginespeed.Prior{Ratio: 1, Weight: 1}

// What several processes have measured counts once, however often it is passed on: counted again with
// each message, the first measurements would outweigh all that follow.
func TestSharedEvidenceCountsOnce(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	processes := make([]enginespeed.Estimate, 8)
	for i, measured := range []float64{3, 3, 1, 1, 1, 1, 1, 1} {
		processes[i].Observe(now, measured, 1, enginespeed.Prior{Ratio: 1, Weight: 1})
	}
	for i := range 400 {
		from, to := i%8, (i*5+i/8+1)%8
		if from != to {
			processes[to].Receive(now, processes[from].Share(now))
		}
	}
	sum := 0.0
	for i := range processes {
		sum += 2 * processes[i].Share(now).Weight
		got := processes[i].Lasting(enginespeed.Prior{Ratio: 1, Weight: 1e-9})
		qt.Check(t, math.Abs(got-math.Pow(3, 0.25)) < 0.1, qt.IsTrue, qt.Commentf("%.2f", got))
	}
	qt.Check(t, math.Abs(sum-8) < 1e-6, qt.IsTrue, qt.Commentf("%.3f of 8 measurements", sum))
}

// An engine that works three times slower for six seconds is avoided for half a minute if that counts as
// its speed; one that is always three times slower, and measured from its start, must be known for it.
func TestPassingSlownessIsToldFromASlowEngine(t *testing.T) {
	for name, c := range map[string]struct {
		slow    func(second float64) bool
		lasting float64
		passing bool
	}{
		"for a while": {slow: func(s float64) bool { return s >= 20 }, lasting: 1, passing: true},
		"always":      {slow: func(float64) bool { return true }, lasting: 3, passing: false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var e enginespeed.Estimate
			for n := range 26 * 8 {
				ratio := 1.0
				if c.slow(float64(n) / 8) {
					ratio = 3
				}
				e.Observe(clock.Now(), ratio, 1, alone)
				clock.Advance(125 * time.Millisecond)
			}
			t.Logf("lasting %.2f, passing %.2f", e.Lasting(alone), e.Passing(clock.Now()))
			qt.Check(t, math.Abs(e.Lasting(alone)/c.lasting-1) < 0.25, qt.IsTrue)
			qt.Check(t, e.Passing(clock.Now()) > 1.8, qt.Equals, c.passing)
			clock.Advance(3 * time.Second)
			qt.Check(t, math.Abs(e.Lasting(alone)/c.lasting-1) < 0.25, qt.IsTrue)
			qt.Check(t, e.Passing(clock.Now()), qt.Equals, 1.0)
		})
	}
}

// A malformed message of a peer must not make an engine look endlessly fast or slow.
func TestEvidenceOutOfBoundsIsIgnored(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	for _, share := range []carawayspread.SpeedShare{{Ratio: math.NaN(), Weight: 1}, {Ratio: 5, Weight: 1}, {Ratio: 1, Weight: math.NaN()}, {Ratio: 1, Weight: -1}} {
		var e enginespeed.Estimate
		e.Receive(now, share)
		e.ReceiveSlowness(now, carawayspread.PassingSlowness(share))
		if share.Weight > 0 {
			qt.Check(t, e.Known(), qt.IsFalse, qt.Commentf("%v", share))
		}
		qt.Check(t, e.Lasting(alone), qt.Equals, 1.0)
	}
}
