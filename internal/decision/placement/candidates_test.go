package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Prompts that share a beginning find it where it was read, in a fleet of any size:
// every process weighs the same homes of it, though it weighs few engines.
func TestHomesAreWeighedInALargePool(t *testing.T) {
	p, clock := fleetOf(1300, 0)
	other, _ := fleetOf(1300, 0)
	chains := someRequest(1).Prompt.PrefixHashes()
	weighed := p.pools["s"].candidates(someRequest(1), chains)
	qt.Check(t, len(weighed) <= homes+drawnEngines, qt.IsTrue)
	again := other.pools["s"].candidates(someRequest(1+3*274), chains)
	for i := range homes {
		qt.Check(t, weighed[i].reads(), qt.IsTrue)
		qt.Check(t, weighed[i].endpoint.ID(), qt.Equals, again[i].endpoint.ID())
	}
	req := someRequest(1)
	req.Arrived, req.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
	first, err := p.Place(req)
	qt.Assert(t, err, qt.IsNil)
	p.Sent(req, first).Answered()
	clock.Advance(time.Second)
	next := someRequest(1 + 3*274) // of the same beginning, with another key
	next.Arrived, next.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
	second, err := p.Place(next)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.CachedTokens, qt.Equals, 512+4870)
}

// A caller is served as long as any engine is open, though none of those that are
// drawn for its request is.
func TestOneOpenEngineIsFound(t *testing.T) {
	p, clock := fleetOf(1300, 0)
	for _, e := range p.pools["s"].ordered {
		if e.endpoint.ID() != "w100" { // one that answers
			p.Suspend(e.endpoint.ID(), time.Minute)
		}
	}
	for n := range 20 {
		req := someRequest(n)
		req.Arrived, req.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
		at, err := p.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, carawayspread.EndpointID("w100"))
	}
}

// What a process remembers of beginnings fits its memory however many engines there
// are.
func TestPartsAreBoundedTogether(t *testing.T) {
	for _, engines := range []int{12, 1300} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			p, _ := fleetOf(engines, 0)
			for n := range uint64(2_000) {
				for _, e := range p.pools["s"].ordered {
					e.take([]uint64{n}, 10)
				}
			}
			sum := 0
			for _, e := range p.pools["s"].ordered {
				sum += len(e.parts)
			}
			qt.Check(t, sum <= allParts, qt.IsTrue, qt.Commentf("%d", sum))
			qt.Check(t, sum >= min(allParts/4, engines*2_000), qt.IsTrue, qt.Commentf("%d", sum))
		})
	}
}
