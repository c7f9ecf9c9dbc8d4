package backpressure

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

func alone() (uint64, []uint64) { return 1, []uint64{1} }

func limit(rate float64) carawayspread.Feedback {
	return carawayspread.Feedback{Limited: true, Rate: rate}
}

var none carawayspread.Feedback

func withholds(b *Backpressure, id carawayspread.EndpointID) bool { return b.Withheld(nil)[id] }

// Answers overtake each other, and refusals may come from before the part that names
// rates: a limit ends by an answer to a request that was sent after it was last named.
func TestLimitEndsByALaterAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	before := clock.Now()
	clock.Advance(time.Millisecond)
	changed, tell := b.Answered("w", before, limit(2))
	qt.Check(t, changed && tell, qt.IsTrue)
	changed, tell = b.Answered("w", before, limit(2))
	qt.Check(t, !changed && tell, qt.IsTrue, qt.Commentf("peers are told each time"))

	changed, tell = b.Answered("w", before, none)
	qt.Check(t, changed || tell, qt.IsFalse)
	changed, tell = b.Refused("w", none)
	qt.Check(t, changed || tell, qt.IsFalse)
	qt.Check(t, withholds(b, "w"), qt.IsTrue)

	clock.Advance(time.Millisecond)
	after := clock.Now()
	changed, tell = b.Answered("w", after, none)
	qt.Check(t, changed && tell, qt.IsTrue)
	qt.Check(t, withholds(b, "w"), qt.IsFalse)
	changed, tell = b.Answered("w", after, none)
	qt.Check(t, !changed && tell, qt.IsTrue, qt.Commentf("told again, as messages are lost"))
	clock.Advance(endTold)
	_, tell = b.Answered("w", clock.Now(), none)
	qt.Check(t, tell, qt.IsFalse)
}

func TestPeersAreBelieved(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	qt.Check(t, b.Heard("w", none), qt.IsFalse)
	qt.Check(t, b.Heard("w", limit(1)), qt.IsTrue)
	qt.Check(t, b.Heard("w", limit(1)), qt.IsFalse)
	qt.Check(t, withholds(b, "w"), qt.IsTrue)
	qt.Check(t, b.Take("w"), qt.IsFalse)
	qt.Check(t, b.Take("v"), qt.IsTrue)
	clock.Advance(time.Second)
	qt.Check(t, withholds(b, "w"), qt.IsFalse)
	qt.Check(t, b.Take("w"), qt.IsTrue)
	qt.Check(t, withholds(b, "w"), qt.IsTrue)
	qt.Check(t, b.Heard("w", none), qt.IsTrue)
	qt.Check(t, withholds(b, "w"), qt.IsFalse)
}

// An entry is gone while the store is down and comes back: what its endpoint said holds.
// Endpoints that are gone for good cost nothing for ever.
func TestListDoesNotForgetFeedback(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	other := carawayspread.NewEndpoint("v", "s", "z", "10.0.0.1:1", false)
	b.Heard("w", limit(0))
	b.Listed([]carawayspread.Endpoint{other})
	qt.Check(t, withholds(b, "w"), qt.IsTrue)
	clock.Advance(memory + 1)
	b.Listed([]carawayspread.Endpoint{other})
	qt.Check(t, b.states, qt.HasLen, 0)
	qt.Check(t, b.active.Load(), qt.IsFalse)
}

// The endpoints that a request has met already are not changed by what is withheld.
func TestWithheldLeavesTheSetAlone(t *testing.T) {
	b := New(clockwork.NewFakeClock(), alone)
	met := map[carawayspread.EndpointID]bool{"v": true}
	b.Heard("w", limit(1))
	qt.Check(t, b.Withheld(met), qt.DeepEquals, map[carawayspread.EndpointID]bool{"v": true, "w": true})
	qt.Check(t, met, qt.DeepEquals, map[carawayspread.EndpointID]bool{"v": true})
}

// A pause is asked of one process, by a refusal: a success that carries the same header
// speaks to the caller, and a peer's pause is the peer's.
func TestPauseIsOfTheProcessThatWasRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	pause := carawayspread.Feedback{RetryAfter: time.Second}
	b.Answered("w", clock.Now(), pause)
	b.Heard("w", pause)
	qt.Check(t, withholds(b, "w"), qt.IsFalse)
	changed, tell := b.Refused("w", pause)
	qt.Check(t, changed && !tell, qt.IsTrue)
	clock.Advance(500 * time.Millisecond)
	changed, _ = b.Refused("w", carawayspread.Feedback{RetryAfter: 100 * time.Millisecond})
	qt.Check(t, changed, qt.IsFalse)
	clock.Advance(499 * time.Millisecond)
	qt.Check(t, withholds(b, "w") && !b.Take("w"), qt.IsTrue)
	clock.Advance(time.Millisecond)
	qt.Check(t, !withholds(b, "w") && b.Take("w"), qt.IsTrue)
	clock.Advance(endTold)
	b.Listed(nil)
	qt.Check(t, b.states, qt.HasLen, 0)
}

// The first endpoint that opens again is named, and none that never will.
func TestOpensNamesTheFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	var all []carawayspread.Endpoint
	for _, id := range []carawayspread.EndpointID{"free", "leaves", "closed", "slow"} {
		all = append(all, carawayspread.NewEndpoint(id, "s", "z", "10.0.0.1:1", false))
	}
	qt.Check(t, b.Opens(all), qt.Equals, time.Duration(0))
	b.Refused("leaves", carawayspread.Feedback{Draining: true, RetryAfter: time.Millisecond})
	qt.Check(t, b.Opens(all), qt.Equals, time.Duration(0))
	b.Refused("closed", carawayspread.Feedback{RetryAfter: 5 * time.Second})
	qt.Check(t, b.Opens(all), qt.Equals, 5*time.Second)
	b.Refused("slow", limit(0.5))
	qt.Check(t, b.Opens(all), qt.Equals, 2*time.Second)
	b.Refused("slow", limit(0))
	qt.Check(t, b.Opens(all), qt.Equals, 5*time.Second)
}

// An endpoint that leaves is named as ready by a list that is older than its answer. It
// keeps its identifier to its end, so that it never takes work again.
func TestDrainingHoldsAgainstTheList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	list := []carawayspread.Endpoint{
		carawayspread.NewEndpoint("v", "s", "z", "10.0.0.1:1", false),
		carawayspread.NewEndpoint("w", "s", "z", "10.0.0.2:1", false),
	}
	qt.Check(t, b.Heard("w", carawayspread.Feedback{Draining: true}), qt.IsTrue)
	for range 3 {
		got := b.Listed(list)
		qt.Check(t, got[0].Leaving(), qt.IsFalse)
		qt.Check(t, got[1].Leaving(), qt.IsTrue)
		qt.Check(t, withholds(b, "w"), qt.IsTrue)
		qt.Check(t, b.Take("w"), qt.IsFalse)
		clock.Advance(memory)
		b.Answered("w", clock.Now(), none)
	}
}

// A placement of the process that uses few of the endpoints, in a fleet of 360.
func BenchmarkWithheld(b *testing.B) {
	fleet := make([]uint64, 360)
	for n := range fleet {
		fleet[n] = uint64(n)
	}
	for _, limited := range []int{0, 20, 200} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			p := New(carawayspread.SystemClock(), func() (uint64, []uint64) { return 7, fleet })
			for n := range limited {
				p.Heard(carawayspread.EndpointID(fmt.Sprint("i-", n)), limit(2))
			}
			met := map[carawayspread.EndpointID]bool{}
			for b.Loop() {
				p.Withheld(met)
			}
		})
	}
}
