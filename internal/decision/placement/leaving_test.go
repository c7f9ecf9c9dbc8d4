package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// Guards against requests sent to a leaving endpoint. In a large fleet the endpoint list takes
// seconds to reach all processes; one that has it notifies its peers of the endpoints that leave.
func TestPeersLearnOfLeavingEndpointBeforeList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := func(leaving bool) []carawayspread.Endpoint {
		return []carawayspread.Endpoint{
			carawayspread.NewEndpoint("a", "s", "z", "10.0.0.1:1", leaving),
			carawayspread.NewEndpoint("b", "s", "z", "10.0.0.2:1", false),
		}
	}
	var updates []carawayspread.LoadUpdate
	informed := New(carawayspread.Environment{Clock: clock, Zone: "z", Broadcast: func(n carawayspread.LoadUpdate) { updates = append(updates, n) }})
	uninformed := New(carawayspread.Environment{Clock: clock, Zone: "z"})
	informed.SetEndpoints("s", list(false))
	uninformed.SetEndpoints("s", list(false))
	qt.Check(t, updates, qt.HasLen, 0)
	informed.SetEndpoints("s", list(true))
	uninformed.ApplyLoadUpdates("knows", updates)
	req := carawayspread.PlacementRequest{
		Route: &carawayspread.Route{Name: "r", TargetLatency: time.Second}, Service: carawayspread.RoutedService{Name: "s"},
		Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute),
	}
	for key := range uint64(8) {
		req.Fingerprint = key
		at, err := uninformed.Place(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, at.Endpoint.ID(), qt.Equals, carawayspread.EndpointID("b"))
	}
	updates = nil
	informed.SetEndpoints("s", list(true))
	qt.Check(t, updates, qt.HasLen, 0, qt.Commentf("once"))
	uninformed.env.Broadcast = func(n carawayspread.LoadUpdate) { updates = append(updates, n) }
	uninformed.SetEndpoints("s", list(true))
	qt.Check(t, updates, qt.HasLen, 0, qt.Commentf("peers have been notified already"))
	clock.Advance(leavingSuspension)
	uninformed.SetEndpoints("s", list(false))
	for key := range uint64(8) {
		req.Fingerprint = key
		if at, err := uninformed.Place(req); err == nil && at.Endpoint.ID() == "a" {
			return
		}
	}
	t.Error("a peer's load update outlasts leavingSuspension")
}
