package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against prompts with a cached prefix that wait in the queue of the engine that holds it,
// or for another engine to prefill it again: another engine fetches it, from the same availability
// zone if possible. Nothing is fetched where the engine's queue is short, where engines do not
// fetch, or where the link is slower than prefill.
func TestPrefixIsFetchedFromEngineThatHoldsIt(t *testing.T) {
	const fast, slow = 1e12, 1e8
	for name, c := range map[string]struct {
		queue   time.Duration
		fetches bool
		link    int64
		to      carawayspread.EndpointID
		from    carawayspread.EndpointID
	}{
		"a long queue":              {2 * time.Second, true, fast, "other", "holds"},
		"a short queue":             {10 * time.Millisecond, true, fast, "holds", ""},
		"engines that do not fetch": {5 * time.Second, false, fast, "other", ""},
		"a slow link":               {5 * time.Second, true, slow, "other", ""},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
			p.SetEndpoints("s", []carawayspread.Endpoint{
				endpointOf("holds", carawayspread.RolePrefill), endpointOf("other", carawayspread.RolePrefill),
				carawayspread.NewEndpoint("far", "s", "far", "10.0.0.2:1", false, carawayspread.WithRole(carawayspread.RolePrefill)),
				endpointOf("answers", carawayspread.RoleDecode),
			})
			prompt := &carawayspread.Prompt{Tokens: 14000, MaxOutputTokens: 10, Parts: []carawayspread.PromptPart{{ID: 1, Tokens: 13000}, {ID: 2, Tokens: 1000}}}
			held := prompt.PrefixHashes()[:1]
			p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{
				{EndpointHash: hashOf("far"), PrefixHashes: held, PrefillTokens: 1, PrefillTime: 5 * time.Second},
				{EndpointHash: hashOf("holds"), PrefixHashes: held, PrefillTokens: 1, PrefillTime: c.queue},
				{EndpointHash: hashOf("answers"), Running: 7},
			})
			req := carawayspread.PlacementRequest{
				Route: &carawayspread.Route{Name: "r", TargetLatency: 2 * time.Second, Timeout: 10 * time.Second, TargetGap: 50 * time.Millisecond},
				Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{
					Slots: 64, KVTokens: 1e6, TokensPerEvent: 7, KVBytesPerToken: 1000, LinkBitsPerSecond: c.link, FetchesKV: c.fetches,
				}},
				Prompt: prompt, Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second),
			}
			at, err := p.Place(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, at.Endpoint.ID(), qt.Equals, c.to)
			if c.from == "" {
				qt.Check(t, at.FetchFrom, qt.IsNil)
				return
			}
			qt.Assert(t, at.FetchFrom, qt.IsNotNil)
			qt.Check(t, at.FetchFrom.ID(), qt.Equals, c.from)
			qt.Check(t, at.CachedTokens, qt.Equals, 13000)
			qt.Check(t, at.FetchedTokens, qt.Equals, 13000)
			qt.Check(t, at.FetchTime > fetchSetup, qt.IsTrue)
		})
	}
}
