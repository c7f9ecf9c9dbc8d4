package hedging

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

const share = 0.02

// load sends requests to endpoints in turn, 10 ms apart, and returns how many took longer than 100 ms and how
// many second attempts were sent.
func load(h *Hedging, clock *clockwork.FakeClock, requests int, take func(endpoint int) time.Duration) (slow, second int) {
	for i := range requests {
		clock.Advance(10 * time.Millisecond)
		took := take(i % 4)
		if after, ok := h.Begin("r"); ok && took > after && h.Spend("r", "s", 20*time.Millisecond) {
			second++
			h.Answered("r", after)
			took = after + take((i+1)%4)
		}
		h.Answered("r", took)
		if took > 100*time.Millisecond {
			slow++
		}
	}
	return slow, second
}

// Replays a service of four endpoints, of which one begins to hold one request in sixteen for a second: its
// callers wait fifty times as long as the others. Or all become slow, and second attempts add to that.
func TestSlowRequestsGetASecondAttempt(t *testing.T) {
	normal := func(int) time.Duration { return 20 * time.Millisecond }
	n := 0
	oneHolds := func(endpoint int) time.Duration {
		if endpoint == 0 {
			if n++; n%16 == 0 {
				return time.Second
			}
		}
		return 20 * time.Millisecond
	}
	for name, test := range map[string]struct {
		share   float64
		take    func(endpoint int) time.Duration
		refused bool
		slow    [2]int // least and most of 3,200 requests
		second  [2]int
	}{
		"one endpoint holds requests":        {share, oneHolds, false, [2]int{0, 5}, [2]int{45, 50}},
		"the share is smaller than the need": {0.005, oneHolds, false, [2]int{30, 36}, [2]int{14, 20}},
		"off":                                {0, oneHolds, false, [2]int{50, 50}, [2]int{0, 0}},
		"the service is full":                {share, oneHolds, true, [2]int{50, 50}, [2]int{0, 0}},
		"all are slow":                       {share, func(int) time.Duration { return 400 * time.Millisecond }, false, [2]int{3200, 3200}, [2]int{0, 64 + maxSaved}},
	} {
		t.Run(name, func(t *testing.T) {
			n = 0
			clock := clockwork.NewFakeClock()
			h := New(clock, test.share, 0)
			slow, second := load(h, clock, 400, normal)
			qt.Assert(t, slow+second, qt.Equals, 0)
			for range 32 {
				if test.refused {
					h.Refused("s")
				}
				a, b := load(h, clock, 100, test.take)
				slow, second = slow+a, second+b
			}
			qt.Check(t, slow >= test.slow[0] && slow <= test.slow[1], qt.IsTrue, qt.Commentf("%d slow", slow))
			qt.Check(t, second >= test.second[0] && second <= test.second[1], qt.IsTrue, qt.Commentf("%d second attempts", second))
		})
	}
}

// A second attempt goes to an endpoint with a queue, or before anything is known of the route.
func TestSecondAttemptNeedsAFreeEndpoint(t *testing.T) {
	h := New(clockwork.NewFakeClock(), 1, 0)
	for range minObserved {
		_, known := h.Begin("r")
		qt.Check(t, known, qt.IsFalse)
		h.Answered("r", 20*time.Millisecond)
	}
	_, known := h.Begin("r")
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, h.Spend("r", "s", 40*time.Millisecond), qt.IsFalse)
	qt.Check(t, h.Spend("r", "s", 20*time.Millisecond), qt.IsTrue)
	qt.Check(t, h.Spend("other", "s", 20*time.Millisecond), qt.IsFalse)
}

// Each of a thousand processes gets 25 requests in its life, of which the last one is slow. None sends a second
// attempt, or all do, where operators allow one in fifty.
func TestProcessesWithFewRequestsTakeTheirShareTogether(t *testing.T) {
	second := 0
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		h := New(clockwork.NewFakeClock(), share, random.Float64())
		for range 24 {
			_, _ = h.Begin("r")
			h.Answered("r", 20*time.Millisecond)
		}
		if _, ok := h.Begin("r"); ok && h.Spend("r", "s", 20*time.Millisecond) {
			second++
		}
	}
	qt.Check(t, second > 450 && second < 550, qt.IsTrue, qt.Commentf("%d second attempts for 25,000 requests", second))
}
