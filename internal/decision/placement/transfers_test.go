package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against KV caches that cross availability zones to save a millisecond of waiting: long
// prompts are prefilled and decoded in one zone, though engines of other zones are as free, and go
// to another zone where their own is full.
func TestTransfersStayInTheirZone(t *testing.T) {
	for name, test := range map[string]struct {
		link     int64
		busy     carawayspread.LoadUpdate // additional load of the decode engines in zone a
		sameZone bool
	}{
		"free":                  {link: 550e9, sameZone: true},
		"slightly busier":       {link: 550e9, busy: carawayspread.LoadUpdate{PrefillTime: 30 * time.Millisecond}, sameZone: true},
		"busier, a faster link": {link: 1700e9, busy: carawayspread.LoadUpdate{PrefillTime: 30 * time.Millisecond}, sameZone: true},
		"the zone is full":      {link: 550e9, busy: carawayspread.LoadUpdate{Running: 64}},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			p := New(carawayspread.Environment{Clock: clock, Zone: "a", Broadcast: func(carawayspread.LoadUpdate) {}})
			zones, decodes := map[carawayspread.EndpointID]string{}, map[carawayspread.EndpointID]bool{}
			var endpoints []carawayspread.Endpoint
			for i := range 24 {
				id, zone, role := carawayspread.EndpointID(fmt.Sprint("w", i)), []string{"a", "b", "c"}[i%3], carawayspread.RoleDecode
				if i < 9 {
					role = carawayspread.RolePrefill
				}
				decodes[id] = role == carawayspread.RoleDecode
				zones[id] = zone
				endpoints = append(endpoints, carawayspread.NewEndpoint(id, "s", zone, "10.0.0.1:1", false,
					carawayspread.WithRole(role), carawayspread.WithSlots(64)))
			}
			p.SetEndpoints("s", endpoints)
			transfers, sameZone := 0, 0
			for n := range 200 {
				for id, zone := range zones {
					if zone == "a" && decodes[id] && (test.busy.PrefillTime > 0 || test.busy.Running > 0) {
						test.busy.EndpointHash = hashOf(id)
						p.ApplyLoadUpdates("peer", []carawayspread.LoadUpdate{test.busy})
					}
				}
				req := carawayspread.PlacementRequest{
					Route:   &carawayspread.Route{Name: "r", TargetLatency: 800 * time.Millisecond, Timeout: 10 * time.Second},
					Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 64, KVTokens: 520444, KVBytesPerToken: 35136, LinkBitsPerSecond: test.link, TokensPerEvent: 13}},
					Prompt: &carawayspread.Prompt{Tokens: 12000, MaxOutputTokens: 30, Parts: []carawayspread.PromptPart{
						{ID: uint64(n % 40), Tokens: 5400}, {ID: uint64(1000 + n), Tokens: 6600},
					}},
					Arrived: clock.Now(), Deadline: clock.Now().Add(10 * time.Second), Fingerprint: uint64(n) * 7919,
				}
				at, err := p.Place(req)
				qt.Assert(t, err, qt.IsNil)
				if at.PrefillOnly && zones[at.Endpoint.ID()] == "a" {
					tracker := p.Sent(req, at)
					req.PrefilledBy = at.Endpoint.ID()
					next, err := p.Place(req)
					qt.Assert(t, err, qt.IsNil)
					transfers++
					if zones[next.Endpoint.ID()] == "a" {
						sameZone++
					}
					tracker.Answered()
					tracker.End(carawayspread.OutcomeServed)
				}
				clock.Advance(16 * time.Millisecond)
			}
			share := float64(sameZone) / float64(max(1, transfers))
			t.Logf("%d of 200 prefilled in zone a, %.2f decoded there", transfers, share)
			qt.Check(t, transfers > 40, qt.IsTrue, qt.Commentf("%d", transfers))
			if test.sameZone {
				qt.Check(t, share >= 0.95, qt.IsTrue, qt.Commentf("%.2f", share))
			} else {
				qt.Check(t, share, qt.Equals, 0.0)
			}
		})
	}
}
