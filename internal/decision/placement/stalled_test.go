package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// A caller's prompt that stands in a long queue is not taken from it and begun again
// at the end of another one. Five prompts are sent, each takes far longer than was
// expected, and the engine answers one after the other: those that wait have not
// stalled. One that the engine holds while three later ones have their answers has,
// and so has each before an engine that shows nothing any more; an answer to a more
// urgent one that overtakes proves nothing.
func TestWaitIsNoStallWhileTheEngineGetsOn(t *testing.T) {
	const slow = 500 * time.Millisecond
	start := func(t *testing.T, n, urgent int) (*pausing, []carawayspread.AttemptTracker) {
		b := newPausing(0)
		var stays []carawayspread.AttemptTracker
		for i := range n {
			req := b.placing(100)
			req.Route.Priority = 1
			if i >= n-urgent {
				req.Route.Priority = 0
			}
			at, err := b.placer.Place(req)
			qt.Assert(t, err, qt.IsNil)
			at.Endpoint = endpointOf("reads", carawayspread.RolePrefill)
			stays = append(stays, b.placer.Sent(req, at))
		}
		return b, stays
	}
	t.Run("a long queue", func(t *testing.T) {
		b, stays := start(t, 5, 0)
		for _, stay := range stays[:4] {
			b.clock.Advance(slow)
			stay.Answered()
			stay.End(carawayspread.OutcomeServed)
			b.clock.Advance(slow)
			qt.Check(t, stays[4].Stalled(), qt.IsFalse)
		}
	})
	t.Run("a peer's queue", func(t *testing.T) {
		b, stays := start(t, 1, 0)
		for running := range 4 {
			b.placer.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("reads"), Running: 5 - running}})
			qt.Check(t, stays[0].Stalled(), qt.IsFalse)
			b.clock.Advance(slow)
		}
	})
	t.Run("passed over", func(t *testing.T) {
		_, stays := start(t, 4, 0)
		for i, stay := range stays[1:] {
			qt.Check(t, stays[0].Stalled(), qt.IsFalse, qt.Commentf("%d", i))
			stay.Answered()
		}
		qt.Check(t, stays[0].Stalled(), qt.IsTrue)
	})
	t.Run("overtaken by what is more urgent", func(t *testing.T) {
		_, stays := start(t, 4, 3)
		for _, stay := range stays[1:] {
			stay.Answered()
		}
		qt.Check(t, stays[0].Stalled(), qt.IsFalse)
	})
	t.Run("silent", func(t *testing.T) {
		b, stays := start(t, 2, 0)
		b.clock.Advance(slow)
		qt.Check(t, stays[1].Stalled(), qt.IsFalse)
		b.clock.Advance(slow)
		qt.Check(t, stays[1].Stalled(), qt.IsTrue)
	})
}
