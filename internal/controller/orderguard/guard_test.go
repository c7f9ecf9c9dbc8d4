package orderguard

import (
	"context"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// instantClock advances by the duration of each wait instead of waiting.
type instantClock struct{ now time.Time }

func (c *instantClock) Now() time.Time { return c.now }

func (c *instantClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// A paused predecessor keeps its listener, so its successor must not acquire the guard, however
// long it waits and even if nothing in the predecessor references the listener any more. It
// acquires the guard as soon as the listener is closed, as after a kill.
func TestGuardIsExclusive(t *testing.T) {
	clock := &instantClock{now: time.Unix(0, 0)}
	first, err := Acquire(context.Background(), "127.0.0.1:0", clock)
	qt.Assert(t, err, qt.IsNil)
	address, listener := first.Address(), first.listener
	runtime.GC()
	waits := 0
	hooked := &hookedClock{Clock: clock, after: func() {
		if waits++; waits == 3 {
			qt.Check(t, listener.Close(), qt.IsNil)
		}
	}}
	second, err := Acquire(context.Background(), address, hooked)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, waits, qt.Equals, 3)
	qt.Check(t, second.listener.Close(), qt.IsNil)
}

// hookedClock calls after before each wait.
type hookedClock struct {
	carawayspread.Clock
	after func()
}

func (h *hookedClock) After(d time.Duration) <-chan time.Time {
	h.after()
	return h.Clock.After(d)
}

// suspendedEngine is an engine that is suspended for an hour at its third probe.
type suspendedEngine struct {
	carawayspread.Engine
	clock     *instantClock
	probes    int
	resumedAt time.Time
}

func (s *suspendedEngine) State(context.Context) (carawayspread.EngineState, error) {
	if s.probes++; s.probes == 3 {
		s.clock.now = s.clock.now.Add(time.Hour)
		s.resumedAt = s.clock.now
	}
	return carawayspread.EngineState{}, nil
}

// The predecessor was killed with an order in the engine's socket buffers, and the engine is
// suspended during the successor's settle wait. The wait may end only after the engine has run for
// the whole wait since it resumed; otherwise the old order takes effect after the first new one.
func TestSettleCountsOnlyWhileTheEngineRuns(t *testing.T) {
	tests := map[string]struct{ maxReadDelay time.Duration }{"short": {time.Second}, "long": {3 * time.Second}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &instantClock{now: time.Unix(0, 0)}
			engine := &suspendedEngine{clock: clock}
			guard := &Guard{clock: clock, maxReadDelay: test.maxReadDelay}
			qt.Assert(t, guard.Settle(context.Background(), engine), qt.IsNil)
			qt.Assert(t, engine.probes > 3, qt.IsTrue)
			qt.Check(t, clock.now.Sub(engine.resumedAt) >= 2*test.maxReadDelay, qt.IsTrue)
		})
	}
}

func TestGuardRejectsInvalidAddresses(t *testing.T) {
	tests := map[string]string{"not loopback": "192.0.2.1:70", "name": "localhost:70", "empty": ""}
	for name, address := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Acquire(context.Background(), address, &instantClock{})
			qt.Check(t, err, qt.ErrorMatches, ".*not a loopback address.*")
		})
	}
}
