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

func excludes(b *Backpressure, id carawayspread.EndpointID) bool { return b.AddUnavailable(nil)[id] }

// Guards against a limit that ends too early: responses are reordered, and refusals may come
// from a component in front of the one that reports rates. Only a response to a request that
// was sent after the limit was last reported ends it.
func TestLimitEndsByALaterAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	before := clock.Now()
	clock.Advance(time.Millisecond)
	changed, forward := b.ObserveResponse("w", before, limit(2))
	qt.Check(t, changed && forward, qt.IsTrue)
	changed, forward = b.ObserveResponse("w", before, limit(2))
	qt.Check(t, !changed && forward, qt.IsTrue, qt.Commentf("forwarded to peers each time"))

	changed, forward = b.ObserveResponse("w", before, none)
	qt.Check(t, changed || forward, qt.IsFalse)
	changed, forward = b.ObserveRefusal("w", none)
	qt.Check(t, changed || forward, qt.IsFalse)
	qt.Check(t, excludes(b, "w"), qt.IsTrue)

	clock.Advance(time.Millisecond)
	after := clock.Now()
	changed, forward = b.ObserveResponse("w", after, none)
	qt.Check(t, changed && forward, qt.IsTrue)
	qt.Check(t, excludes(b, "w"), qt.IsFalse)
	changed, forward = b.ObserveResponse("w", after, none)
	qt.Check(t, !changed && forward, qt.IsTrue, qt.Commentf("forwarded again, since messages may be lost"))
	clock.Advance(endRepeat)
	_, forward = b.ObserveResponse("w", clock.Now(), none)
	qt.Check(t, forward, qt.IsFalse)
}

func TestFeedbackFromPeersApplies(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	qt.Check(t, b.ObservePeerFeedback("w", none), qt.IsFalse)
	qt.Check(t, b.ObservePeerFeedback("w", limit(1)), qt.IsTrue)
	qt.Check(t, b.ObservePeerFeedback("w", limit(1)), qt.IsFalse)
	qt.Check(t, excludes(b, "w"), qt.IsTrue)
	qt.Check(t, b.Take("w"), qt.IsFalse)
	qt.Check(t, b.Take("v"), qt.IsTrue)
	clock.Advance(time.Second)
	qt.Check(t, excludes(b, "w"), qt.IsFalse)
	qt.Check(t, b.Take("w"), qt.IsTrue)
	qt.Check(t, excludes(b, "w"), qt.IsTrue)
	qt.Check(t, b.ObservePeerFeedback("w", none), qt.IsTrue)
	qt.Check(t, excludes(b, "w"), qt.IsFalse)
}

// Guards against feedback that is lost while an endpoint's entry is missing from the list, as
// during an outage of the store, and against state that is kept forever for endpoints that
// were removed.
func TestListDoesNotForgetFeedback(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	other := carawayspread.NewEndpoint("v", "s", "z", "10.0.0.1:1", false)
	b.ObservePeerFeedback("w", limit(0))
	b.ApplyList([]carawayspread.Endpoint{other})
	qt.Check(t, excludes(b, "w"), qt.IsTrue)
	clock.Advance(retention + 1)
	b.ApplyList([]carawayspread.Endpoint{other})
	qt.Check(t, b.states, qt.HasLen, 0)
	qt.Check(t, b.active.Load(), qt.IsFalse)
}

// Guards against an exclusion that modifies a request's set of endpoints already tried.
func TestAddUnavailableDoesNotModifyTheSet(t *testing.T) {
	b := New(clockwork.NewFakeClock(), alone)
	tried := map[carawayspread.EndpointID]bool{"v": true}
	b.ObservePeerFeedback("w", limit(1))
	qt.Check(t, b.AddUnavailable(tried), qt.DeepEquals, map[carawayspread.EndpointID]bool{"v": true, "w": true})
	qt.Check(t, tried, qt.DeepEquals, map[carawayspread.EndpointID]bool{"v": true})
}

// A retry-after time applies only to the process whose request was refused: in a successful
// response the header is meant for the caller, and one that a peer got applies to the peer.
func TestRetryAfterAppliesToTheRefusedProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	pause := carawayspread.Feedback{RetryAfter: time.Second}
	b.ObserveResponse("w", clock.Now(), pause)
	b.ObservePeerFeedback("w", pause)
	qt.Check(t, excludes(b, "w"), qt.IsFalse)
	changed, forward := b.ObserveRefusal("w", pause)
	qt.Check(t, changed && !forward, qt.IsTrue)
	clock.Advance(500 * time.Millisecond)
	changed, _ = b.ObserveRefusal("w", carawayspread.Feedback{RetryAfter: 100 * time.Millisecond})
	qt.Check(t, changed, qt.IsFalse)
	clock.Advance(499 * time.Millisecond)
	qt.Check(t, excludes(b, "w") && !b.Take("w"), qt.IsTrue)
	clock.Advance(time.Millisecond)
	qt.Check(t, !excludes(b, "w") && b.Take("w"), qt.IsTrue)
	clock.Advance(endRepeat)
	b.ApplyList(nil)
	qt.Check(t, b.states, qt.HasLen, 0)
}

// The first endpoint that becomes available again counts, and none that never will.
func TestTimeToAvailableIsOfTheFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	var all []carawayspread.Endpoint
	for _, id := range []carawayspread.EndpointID{"free", "leaves", "closed", "slow"} {
		all = append(all, carawayspread.NewEndpoint(id, "s", "z", "10.0.0.1:1", false))
	}
	qt.Check(t, b.TimeToAvailable(all), qt.Equals, time.Duration(0))
	b.ObserveRefusal("leaves", carawayspread.Feedback{Draining: true, RetryAfter: time.Millisecond})
	qt.Check(t, b.TimeToAvailable(all), qt.Equals, time.Duration(0))
	b.ObserveRefusal("closed", carawayspread.Feedback{RetryAfter: 5 * time.Second})
	qt.Check(t, b.TimeToAvailable(all), qt.Equals, 5*time.Second)
	b.ObserveRefusal("slow", limit(0.5))
	qt.Check(t, b.TimeToAvailable(all), qt.Equals, 2*time.Second)
	b.ObserveRefusal("slow", limit(0))
	qt.Check(t, b.TimeToAvailable(all), qt.Equals, 5*time.Second)
}

// Guards against requests to a draining endpoint that a list older than its response still
// shows as ready. An endpoint keeps its identifier for life, so that draining never ends.
func TestDrainingOverridesTheList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, alone)
	list := []carawayspread.Endpoint{
		carawayspread.NewEndpoint("v", "s", "z", "10.0.0.1:1", false),
		carawayspread.NewEndpoint("w", "s", "z", "10.0.0.2:1", false),
	}
	qt.Check(t, b.ObservePeerFeedback("w", carawayspread.Feedback{Draining: true}), qt.IsTrue)
	for range 3 {
		got := b.ApplyList(list)
		qt.Check(t, got[0].Leaving(), qt.IsFalse)
		qt.Check(t, got[1].Leaving(), qt.IsTrue)
		qt.Check(t, excludes(b, "w"), qt.IsTrue)
		qt.Check(t, b.Take("w"), qt.IsFalse)
		clock.Advance(retention)
		b.ObserveResponse("w", clock.Now(), none)
	}
}

// Measures the exclusion for one placement in a fleet of 360 processes, where this process
// has a share of few of the limited endpoints.
func BenchmarkAddUnavailable(b *testing.B) {
	fleet := make([]uint64, 360)
	for n := range fleet {
		fleet[n] = uint64(n)
	}
	for _, limited := range []int{0, 20, 200} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			p := New(carawayspread.SystemClock(), func() (uint64, []uint64) { return 7, fleet })
			for n := range limited {
				p.ObservePeerFeedback(carawayspread.EndpointID(fmt.Sprint("i-", n)), limit(2))
			}
			tried := map[carawayspread.EndpointID]bool{}
			for b.Loop() {
				p.AddUnavailable(tried)
			}
		})
	}
}
