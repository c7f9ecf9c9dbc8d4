package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// In a large fleet the list takes seconds to reach all processes: one that has it tells
// the others which endpoints leave, since those would be sent requests until then.
func TestPeersHearOfAnEndpointThatLeavesBeforeTheList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := func(leaving bool) []carawayspread.Endpoint {
		return []carawayspread.Endpoint{
			carawayspread.NewEndpoint("a", "s", "z", "10.0.0.1:1", leaving),
			carawayspread.NewEndpoint("b", "s", "z", "10.0.0.2:1", false),
		}
	}
	var told []carawayspread.LoadUpdate
	knows := New(carawayspread.Environment{Clock: clock, Zone: "z", Broadcast: func(n carawayspread.LoadUpdate) { told = append(told, n) }})
	waits := New(carawayspread.Environment{Clock: clock, Zone: "z"})
	knows.SetEndpoints("s", list(false))
	waits.SetEndpoints("s", list(false))
	qt.Check(t, told, qt.HasLen, 0)
	knows.SetEndpoints("s", list(true))
	waits.ApplyLoadUpdates("knows", told)
	req := carawayspread.PlacementRequest{
		Route: &carawayspread.Route{Name: "r", TargetLatency: time.Second}, Service: carawayspread.RoutedService{Name: "s"},
		Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute),
	}
	for key := range uint64(8) {
		req.Fingerprint = key
		at, err := waits.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, carawayspread.EndpointID("b"))
	}
	told = nil
	knows.SetEndpoints("s", list(true))
	qt.Check(t, told, qt.HasLen, 0, qt.Commentf("once"))
	waits.env.Broadcast = func(n carawayspread.LoadUpdate) { told = append(told, n) }
	waits.SetEndpoints("s", list(true))
	qt.Check(t, told, qt.HasLen, 0, qt.Commentf("it is known by now"))
	clock.Advance(leavingFor)
	waits.SetEndpoints("s", list(false))
	for key := range uint64(8) {
		req.Fingerprint = key
		if at, err := waits.Place(req); err == nil && at.Endpoint.ID() == "a" {
			return
		}
	}
	t.Error("what a peer says of an endpoint holds until the list is there, and no longer")
}
