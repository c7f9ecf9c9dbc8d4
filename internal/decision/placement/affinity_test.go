package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against several engines prefilling the same prefix when the requests reach processes that
// have just started, which know neither what engines hold nor of each other's placements. All of
// them choose the same engine; another one prefills the prefix if that engine has a long queue or
// is not eligible.
func TestUnknownPrefixesHaveOneAffinityEngine(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	all := []carawayspread.Endpoint{endpointOf("answers", carawayspread.RoleDecode)}
	for i := range 6 {
		all = append(all, endpointOf(fmt.Sprint("reads", i), carawayspread.RolePrefill))
	}
	placing := func(prefix uint64) carawayspread.PlacementRequest {
		return carawayspread.PlacementRequest{
			Route:   &carawayspread.Route{Name: "r", TargetLatency: 2 * time.Second, Timeout: 10 * time.Second, TargetGap: 50 * time.Millisecond},
			Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
			Prompt:  &carawayspread.Prompt{Tokens: 14000, MaxOutputTokens: 10, Parts: []carawayspread.PromptPart{{ID: prefix, Tokens: 13000}, {ID: 9, Tokens: 1000}}},
			Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second),
		}
	}
	process := func() *Placer {
		p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
		p.SetEndpoints("s", all)
		p.pools["s"].affinityHitRate = 0
		p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 7}})
		return p
	}
	affinityEngines := map[carawayspread.EndpointID]bool{}
	for prefix := range uint64(30) {
		var affinity carawayspread.EndpointID
		for key := range uint64(5) {
			req := placing(prefix)
			req.Fingerprint = key
			at, err := process().Place(req)
			qt.Assert(t, err, qt.IsNil)
			if key == 0 {
				affinity = at.Endpoint.ID()
			}
			qt.Check(t, at.Endpoint.ID(), qt.Equals, affinity)
		}
		affinityEngines[affinity] = true

		busy := process()
		busy.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf(affinity), Running: 1, PrefillTime: 1500 * time.Millisecond}})
		at, err := busy.Place(placing(prefix))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Not(qt.Equals), affinity)

		excluded := placing(prefix)
		excluded.Exclude = map[carawayspread.EndpointID]bool{affinity: true}
		_, err = process().Place(excluded)
		qt.Check(t, err, qt.IsNil)
	}
	qt.Check(t, len(affinityEngines) >= 5, qt.IsTrue, qt.Commentf("prefixes spread over %d prefill engines", len(affinityEngines)))
}

// Guards against a process that has just started refusing prompts with long shared prefixes which
// would meet their target, because it assumes that every prefix must be prefilled: engines that
// were used before hold the prefixes, new ones hold none. The process learns which from the times
// of the first answers, without mistaking hits for fast engines.
func TestAffinityHitRateIsLearned(t *testing.T) {
	const prefixTokens = 13000
	for name, c := range map[string]struct {
		held int // tokens of a prefix
	}{
		"engines hold them":    {prefixTokens},
		"engines hold nothing": {0},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
			p.SetEndpoints("s", []carawayspread.Endpoint{
				endpointOf("answers", carawayspread.RoleDecode), endpointOf("reads", carawayspread.RolePrefill),
			})
			p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 7}})
			prefillEngine := p.byHash[hashOf("reads")]
			placing := func(prefix uint64, target time.Duration) carawayspread.PlacementRequest {
				return carawayspread.PlacementRequest{
					Route:   &carawayspread.Route{Name: "r", TargetLatency: target, Timeout: 10 * time.Second, TargetGap: 50 * time.Millisecond},
					Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
					Prompt:  &carawayspread.Prompt{Tokens: prefixTokens + 1000, MaxOutputTokens: 10, Parts: []carawayspread.PromptPart{{ID: prefix, Tokens: prefixTokens}, {ID: 9, Tokens: 1000}}},
					Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second),
				}
			}
			for prefix := range uint64(12) {
				req := placing(prefix, 2*time.Second)
				at, err := p.Place(req)
				qt.Assert(t, err, qt.IsNil)
				tracker := p.Sent(req, at)
				clock.Advance(initialDelay + prefillEngine.prefillTime(prefixTokens+1000, c.held, 0))
				tracker.Answered()
				tracker.End(carawayspread.OutcomeServed)
				clock.Advance(time.Second)
			}
			at, err := p.Place(placing(100, 2*time.Second))
			qt.Assert(t, err, qt.IsNil)
			deviation := at.PrefillTime - prefillEngine.prefillTime(prefixTokens+1000, c.held, 0)
			qt.Check(t, deviation.Abs() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v of %v", deviation, at.PrefillTime))
			qt.Check(t, prefillEngine.slowdown > 0.9 && prefillEngine.slowdown < 1.1, qt.IsTrue, qt.Commentf("%.2f", prefillEngine.slowdown))
		})
	}
}
