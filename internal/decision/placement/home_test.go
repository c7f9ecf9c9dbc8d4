package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Callers whose prompts begin alike have the beginning read by one engine, although
// their requests come to processes that have just started: none of these knows what
// engines hold, nor hears of the others. Before a long queue at that engine, or where
// it is not open, another reads it.
func TestUnknownBeginningsHaveOneHome(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	all := []carawayspread.Endpoint{endpointOf("answers", carawayspread.RoleDecode)}
	for i := range 6 {
		all = append(all, endpointOf(fmt.Sprint("reads", i), carawayspread.RolePrefill))
	}
	placing := func(thing uint64) carawayspread.PlacementRequest {
		return carawayspread.PlacementRequest{
			Route:   &carawayspread.Route{Name: "r", TargetLatency: 2 * time.Second, Timeout: 10 * time.Second, TargetGap: 50 * time.Millisecond},
			Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
			Prompt:  &carawayspread.Prompt{Tokens: 14000, MaxOutputTokens: 10, Parts: []carawayspread.PromptPart{{ID: thing, Tokens: 13000}, {ID: 9, Tokens: 1000}}},
			Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second),
		}
	}
	process := func() *Placer {
		p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
		p.SetEndpoints("s", all)
		p.pools["s"].kept = 0
		p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 7}})
		return p
	}
	homes := map[carawayspread.EndpointID]bool{}
	for thing := range uint64(30) {
		var home carawayspread.EndpointID
		for key := range uint64(5) {
			req := placing(thing)
			req.Fingerprint = key
			at, err := process().Place(req)
			qt.Assert(t, err, qt.IsNil)
			if key == 0 {
				home = at.Endpoint.ID()
			}
			qt.Check(t, at.Endpoint.ID(), qt.Equals, home)
		}
		homes[home] = true

		busy := process()
		busy.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf(home), Running: 1, PrefillTime: 1500 * time.Millisecond}})
		at, err := busy.Place(placing(thing))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Not(qt.Equals), home)

		closed := placing(thing)
		closed.Exclude = map[carawayspread.EndpointID]bool{home: true}
		_, err = process().Place(closed)
		qt.Check(t, err, qt.IsNil)
	}
	qt.Check(t, len(homes) >= 5, qt.IsTrue, qt.Commentf("beginnings spread over %d readers", len(homes)))
}

// Callers whose prompts share long beginnings come to a process that has just
// started. Where others used the engines before, these hold the beginnings, and a
// process that expects each to be read refuses callers who would be in time; where the
// engines are new, they hold none. The process cannot ask: the time of the first
// answers tells it which, and does not make the engines look fast.
func TestBeginningsAreExpectedWhereHomesKeptThem(t *testing.T) {
	const part = 13000
	for name, c := range map[string]struct {
		held int // tokens of a beginning
	}{
		"engines hold them":    {part},
		"engines hold nothing": {0},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
			p.SetEndpoints("s", []carawayspread.Endpoint{
				endpointOf("answers", carawayspread.RoleDecode), endpointOf("reads", carawayspread.RolePrefill),
			})
			p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{{EndpointHash: hashOf("answers"), Running: 7}})
			reader := p.byHash[hashOf("reads")]
			placing := func(thing uint64, target time.Duration) carawayspread.PlacementRequest {
				return carawayspread.PlacementRequest{
					Route:   &carawayspread.Route{Name: "r", TargetLatency: target, Timeout: 10 * time.Second, TargetGap: 50 * time.Millisecond},
					Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 1e6, TokensPerEvent: 7}},
					Prompt:  &carawayspread.Prompt{Tokens: part + 1000, MaxOutputTokens: 10, Parts: []carawayspread.PromptPart{{ID: thing, Tokens: part}, {ID: 9, Tokens: 1000}}},
					Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second),
				}
			}
			for thing := range uint64(12) {
				req := placing(thing, 2*time.Second)
				at, err := p.Place(req)
				qt.Assert(t, err, qt.IsNil)
				stay := p.Sent(req, at)
				clock.Advance(startDelay + reader.work(part+1000, c.held, 0))
				stay.Answered()
				stay.End(carawayspread.OutcomeServed)
				clock.Advance(time.Second)
			}
			at, err := p.Place(placing(100, 2*time.Second))
			qt.Assert(t, err, qt.IsNil)
			off := at.PrefillTime - reader.work(part+1000, c.held, 0)
			qt.Check(t, off.Abs() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v of %v", off, at.PrefillTime))
			qt.Check(t, reader.pace > 0.9 && reader.pace < 1.1, qt.IsTrue, qt.Commentf("%.2f", reader.pace))
		})
	}
}
