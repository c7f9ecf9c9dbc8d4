package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// fleetOf returns a placer that has received load updates from many peers about as many engines, a
// third of them prefill engines.
func fleetOf(engines, peers int) (*Placer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := New(carawayspread.Environment{Clock: clock, Zone: "z0", Rand: rand.New(rand.NewPCG(1, 2))})
	all := make([]carawayspread.Endpoint, 0, engines)
	for n := range engines {
		role := carawayspread.RoleDecode
		if n%3 == 0 {
			role = carawayspread.RolePrefill
		}
		all = append(all, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", n)), "s", fmt.Sprint("z", n%13), "10.0.0.1:1", false,
			carawayspread.WithRole(role), carawayspread.WithSlots(16)))
	}
	p.SetEndpoints("s", all)
	for peer := range peers {
		var updates []carawayspread.LoadUpdate
		for n := range 5 {
			updates = append(updates, carawayspread.LoadUpdate{EndpointHash: hashOf(all[(peer*5+n)%engines].ID()), Running: 1, Tokens: 4000})
		}
		p.ApplyLoadUpdates(fmt.Sprint(peer), updates)
	}
	return p, clock
}

func testRequest(n int) carawayspread.PlacementRequest {
	prompt := &carawayspread.Prompt{Tokens: 12000, MaxOutputTokens: 38, Parts: []carawayspread.PromptPart{
		{ID: uint64(n % 3), Tokens: 512}, {ID: uint64(100 + n%274), Tokens: 4870}, {ID: uint64(1000 + n), Tokens: 6618},
	}}
	return carawayspread.PlacementRequest{
		Route:   &carawayspread.Route{Name: "r", TargetLatency: 600 * time.Millisecond, TargetGap: 150 * time.Millisecond},
		Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 16, KVTokens: 454149, KVBytesPerToken: 35136, LinkBitsPerSecond: 550e9, TokensPerEvent: 4, FetchesKV: true}},
		Prompt:  prompt, Fingerprint: uint64(n) * 0x9e3779b97f4a7c15, Bytes: 12000,
	}
}

// BenchmarkPlace measures the placement of a prompt and the calls that follow it, with prefixes
// that some engines hold.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{12, 117, 1300} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			p, clock := fleetOf(engines, 68)
			for n := 0; b.Loop(); n++ {
				req := testRequest(n)
				req.Arrived, req.Deadline = clock.Now(), clock.Now().Add(8*time.Second)
				at, err := p.Place(req)
				if err == nil {
					tracker := p.Sent(req, at)
					tracker.Answered()
					tracker.End(carawayspread.OutcomeServed)
				}
				clock.Advance(5 * time.Millisecond)
			}
		})
	}
}
