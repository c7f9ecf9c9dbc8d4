package runmoves

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// An engine is slow for a while, and its long answers are given up at their time limit although others would have
// ended them; or answers move that would have ended in time, or to an engine that is as slow.
func TestLateRunMovesToAFasterEngine(t *testing.T) {
	const limit = 8 * time.Second
	for name, test := range map[string]struct {
		gap      time.Duration // between two events
		events   int
		expected int           // tokens
		other    time.Duration // gap at the other engine; zero if unknown
		due      bool
		accepts  bool
	}{
		"slow, a faster one":                 {150 * time.Millisecond, 10, 900, 60 * time.Millisecond, true, true},
		"slow, the other is too":             {150 * time.Millisecond, 10, 900, 120 * time.Millisecond, true, false},
		"slow, nothing known of another":     {150 * time.Millisecond, 10, 900, 0, true, false},
		"slow, but ends in time":             {150 * time.Millisecond, 10, 600, 60 * time.Millisecond, false, true},
		"fast":                               {80 * time.Millisecond, 10, 900, 40 * time.Millisecond, false, true},
		"its pace has not shown":             {700 * time.Millisecond, 5, 900, 60 * time.Millisecond, false, true},
		"longer than expected, it may go on": {150 * time.Millisecond, 50, 300, 60 * time.Millisecond, true, true},
		"no time is left":                    {700 * time.Millisecond, 11, 900, 60 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			m := New(clock, notice)
			s := start(1000, true)
			s.ExpectedTokens, s.Deadline = test.expected, clock.Now().Add(limit)
			run := m.Began(s)
			due := false
			for range test.events - 1 {
				clock.Advance(test.gap)
				due = run.Event()
			}
			qt.Check(t, due, qt.Equals, test.due)
			qt.Check(t, run.Accepts(test.other), qt.Equals, test.accepts)
			qt.Check(t, len(m.Take()) == 1, qt.Equals, test.due)
		})
	}
}

// A run that has ended, or has found no faster engine four times, is not looked at again.
func TestLateRunIsGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := New(clock, notice)
	s := start(1000, true)
	s.ExpectedTokens, s.Deadline = 900, clock.Now().Add(time.Minute)
	run := m.Began(s)
	taken := 0
	for range 100 {
		clock.Advance(time.Second)
		run.Event()
		for _, r := range m.Take() {
			taken++
			m.Release(r, StepWait)
		}
	}
	qt.Check(t, taken, qt.Equals, 1+maxLateWaits)
	run.End()
	qt.Check(t, m.late, qt.HasLen, 0)
}
