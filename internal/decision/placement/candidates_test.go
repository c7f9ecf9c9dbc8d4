package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against prompts that share a prefix missing the engine that holds it in a large fleet:
// every process scores the same affinity engines of the prefix, though it scores few engines.
func TestLargePoolIncludesAffinityEngines(t *testing.T) {
	p, clock := fleetOf(1300, 0)
	other, _ := fleetOf(1300, 0)
	prefixHashes := testRequest(1).Prompt.PrefixHashes()
	candidates := p.pools["s"].candidates(testRequest(1), prefixHashes)
	qt.Check(t, len(candidates) <= affinityEngineCount+sampledEngines, qt.IsTrue)
	again := other.pools["s"].candidates(testRequest(1+3*274), prefixHashes)
	for i := range affinityEngineCount {
		qt.Check(t, candidates[i].prefillOnly(), qt.IsTrue)
		qt.Check(t, candidates[i].endpoint.ID(), qt.Equals, again[i].endpoint.ID())
	}
	req := testRequest(1)
	req.Arrived, req.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
	first, err := p.Place(req)
	qt.Assert(t, err, qt.IsNil)
	p.Sent(req, first).Answered()
	clock.Advance(time.Second)
	next := testRequest(1 + 3*274) // same prefix, different key
	next.Arrived, next.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
	second, err := p.Place(next)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second.CachedTokens, qt.Equals, 512+4870)
}

// Guards against a refusal while an engine is eligible, because the sample of the request contains
// no eligible one.
func TestOnlyEligibleEngineIsFound(t *testing.T) {
	p, clock := fleetOf(1300, 0)
	for _, e := range p.pools["s"].ordered {
		if e.endpoint.ID() != "w100" { // a decode engine
			p.Suspend(e.endpoint.ID(), time.Minute)
		}
	}
	for n := range 20 {
		req := testRequest(n)
		req.Arrived, req.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
		at, err := p.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, carawayspread.EndpointID("w100"))
	}
}

// Guards against a process running out of memory for the remembered parts when the number of
// engines grows.
func TestPartsAreBoundedPerService(t *testing.T) {
	for _, engines := range []int{12, 1300} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			p, _ := fleetOf(engines, 0)
			for n := range uint64(2_000) {
				for _, e := range p.pools["s"].ordered {
					e.cacheParts([]uint64{n}, 10)
				}
			}
			sum := 0
			for _, e := range p.pools["s"].ordered {
				sum += len(e.parts)
			}
			qt.Check(t, sum <= maxPartsPerService, qt.IsTrue, qt.Commentf("%d", sum))
			qt.Check(t, sum >= min(maxPartsPerService/4, engines*2_000), qt.IsTrue, qt.Commentf("%d", sum))
		})
	}
}
