package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against giving up a prompt in a long queue and restarting it at the end of another one.
// Five prompts are sent, each takes far longer than expected, and the engine answers one after the
// other: those that wait have not stalled. An attempt has stalled when three later ones have their
// answers before it, or when the engine shows no progress any more. The answers of more urgent
// attempts that overtake do not count.
func TestQueuedAttemptIsNotStalledWhileEngineProgresses(t *testing.T) {
	const slow = 500 * time.Millisecond
	start := func(t *testing.T, n, urgent int) (*gapFixture, []carawayspread.AttemptTracker) {
		f := newGapFixture(0)
		var trackers []carawayspread.AttemptTracker
		for i := range n {
			req := f.request(100)
			req.Route.Priority = 1
			if i >= n-urgent {
				req.Route.Priority = 0
			}
			at, err := f.placer.Place(req)
			qt.Assert(t, err, qt.IsNil)
			at.Endpoint = endpointOf("reads", carawayspread.RolePrefill)
			trackers = append(trackers, f.placer.Sent(req, at))
		}
		return f, trackers
	}
	t.Run("a long queue", func(t *testing.T) {
		f, trackers := start(t, 5, 0)
		for _, tracker := range trackers[:4] {
			f.clock.Advance(slow)
			tracker.Answered()
			tracker.End(carawayspread.OutcomeServed)
			f.clock.Advance(slow)
			qt.Check(t, trackers[4].Stalled(), qt.IsFalse)
		}
	})
	t.Run("a peer's queue", func(t *testing.T) {
		f, trackers := start(t, 1, 0)
		for running := range 4 {
			f.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("reads"), Running: 5 - running}})
			qt.Check(t, trackers[0].Stalled(), qt.IsFalse)
			f.clock.Advance(slow)
		}
	})
	t.Run("overtaken", func(t *testing.T) {
		_, trackers := start(t, 4, 0)
		for i, tracker := range trackers[1:] {
			qt.Check(t, trackers[0].Stalled(), qt.IsFalse, qt.Commentf("%d", i))
			tracker.Answered()
		}
		qt.Check(t, trackers[0].Stalled(), qt.IsTrue)
	})
	t.Run("overtaken by more urgent attempts", func(t *testing.T) {
		_, trackers := start(t, 4, 3)
		for _, tracker := range trackers[1:] {
			tracker.Answered()
		}
		qt.Check(t, trackers[0].Stalled(), qt.IsFalse)
	})
	t.Run("silent", func(t *testing.T) {
		f, trackers := start(t, 2, 0)
		f.clock.Advance(slow)
		qt.Check(t, trackers[1].Stalled(), qt.IsFalse)
		f.clock.Advance(slow)
		qt.Check(t, trackers[1].Stalled(), qt.IsTrue)
	})
}
