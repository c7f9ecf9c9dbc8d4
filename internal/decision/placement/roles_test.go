package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

func endpointOf(id string, role carawayspread.Role) carawayspread.Endpoint {
	return carawayspread.NewEndpoint(carawayspread.EndpointID(id), "s", "z", "10.0.0.1:1", false,
		carawayspread.WithRole(role), carawayspread.WithSlots(8))
}

// Requests avoid an engine that changes its role, in this process and at the notified peer. They
// reach it again as soon as its entry shows the new role, or when the time has passed.
func TestSuspendedEngineGetsNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	peer := New(carawayspread.Environment{Clock: clock, Zone: "z"})
	p := New(carawayspread.Environment{Clock: clock, Zone: "z", Broadcast: func(n carawayspread.LoadUpdate) {
		peer.ApplyLoadUpdates("p", []carawayspread.LoadUpdate{n})
	}})
	request := carawayspread.PlacementRequest{
		Route:   &carawayspread.Route{Name: "r", TargetLatency: time.Second, Timeout: 10 * time.Second},
		Service: carawayspread.RoutedService{Name: "s", Engine: &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6}},
		Prompt:  &carawayspread.Prompt{Tokens: 1000, MaxOutputTokens: 10}, Arrived: clock.Now(), Deadline: clock.Now().Add(time.Hour),
	}
	all := []carawayspread.Endpoint{endpointOf("stays", carawayspread.RoleDecode), endpointOf("changes", carawayspread.RoleDecode)}
	used := func(p *Placer) map[carawayspread.EndpointID]bool {
		seen := map[carawayspread.EndpointID]bool{}
		for key := range uint64(20) {
			request.Fingerprint, request.Arrived = key, clock.Now()
			at, err := p.Place(request)
			qt.Assert(t, err, qt.IsNil)
			seen[at.Endpoint.ID()] = true
		}
		return seen
	}
	for _, placer := range []*Placer{p, peer} {
		placer.SetEndpoints("s", all)
		qt.Check(t, used(placer), qt.HasLen, 2)
	}
	p.Suspend("changes", 12*time.Second)
	for _, placer := range []*Placer{p, peer} {
		qt.Check(t, used(placer), qt.DeepEquals, map[carawayspread.EndpointID]bool{"stays": true})
		placer.SetEndpoints("s", all) // the entry still shows the old role
		qt.Check(t, used(placer), qt.HasLen, 1)
	}
	// A later report that the entry is stale does not shorten the suspension.
	p.MarkStale("changes")
	clock.Advance(staleSuspension + time.Second)
	for _, placer := range []*Placer{p, peer} {
		qt.Check(t, used(placer), qt.HasLen, 1)
	}
	p.SetEndpoints("s", []carawayspread.Endpoint{all[0], endpointOf("changes", carawayspread.RolePrefill)})
	request.Arrived = clock.Now()
	at, err := p.Place(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, at.PrefillOnly, qt.IsTrue)
	clock.Advance(13 * time.Second)
	qt.Check(t, used(peer), qt.HasLen, 2)
}

// The demand that a role policy plans with is the work of all processes since the last call.
func TestRolesReportDemand(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	p := New(carawayspread.Environment{Clock: clock, Zone: "z"})
	p.SetEndpoints("s", []carawayspread.Endpoint{endpointOf("reads", carawayspread.RolePrefill), endpointOf("answers", carawayspread.RoleDecode)})
	p.Roles()
	prefill := p.byHash[hashOf("reads")]
	p.ApplyLoadUpdates("other", []carawayspread.LoadUpdate{{EndpointHash: prefill.hash, Running: 3, PrefillTime: time.Millisecond, PrefillTokens: 5000}})
	p.ApplyLoadUpdates("other", []carawayspread.LoadUpdate{{EndpointHash: prefill.hash, Running: 3, PrefillTokens: 400}}) // an update without a prefill
	clock.Advance(2 * time.Second)
	all := p.Roles()
	qt.Assert(t, all, qt.HasLen, 1)
	qt.Check(t, all[0].Service, qt.Equals, "s")
	qt.Check(t, all[0].Demand.Classes[0].PrefillTokens, qt.Equals, 2500.0)
	qt.Check(t, all[0].Engines[1].Running, qt.Equals, 3)
	qt.Check(t, all[0].Engines[1].PrefillRate, qt.Equals, 80000.0)
	clock.Advance(time.Second)
	qt.Check(t, p.Roles()[0].Demand.Classes[0].PrefillTokens, qt.Equals, 0.0)
}
