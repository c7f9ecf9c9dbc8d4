package gateway

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/worker"
)

// slowConnect calls waiting while a request waits for its connection.
type slowConnect struct {
	carawayspread.EndpointTransport
	waiting func(to carawayspread.EndpointID, out carawayspread.Outbound)
}

func (s slowConnect) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	s.waiting(to.ID(), out)
	return s.EndpointTransport.Send(ctx, to, out)
}

// Guards against a request that reaches an endpoint which has said that it leaves, or is gone from the list,
// while the request waited for its connection.
func TestRequestThatWaitedIsNotSentToALeavingEndpoint(t *testing.T) {
	const prefilling, decoding = "prefill", "decode"
	for name, c := range map[string]struct {
		path   string
		header []string
		at     string // the role of the endpoint that leaves, or empty for any
		learn  func(b *harness, to carawayspread.EndpointID, listed []carawayspread.Endpoint)
	}{
		"listed as leaving, whole":   {"/never/x", nil, "", listAsLeaving},
		"listed as leaving, prefill": {"/once/stream/x", []string{tokens, "5000,50"}, prefilling, listAsLeaving},
		"listed as leaving, decode":  {"/once/stream/x", []string{tokens, "5000,50"}, decoding, listAsLeaving},
		"removed, whole":             {"/never/x", nil, "", removeFromList},
		"says so to a peer, whole": {"/never/x", nil, "", func(b *harness, to carawayspread.EndpointID, _ []carawayspread.Endpoint) {
			b.gateway.ApplyPeerFeedback(to, carawayspread.Feedback{Draining: true})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			client := direct.New()
			t.Cleanup(client.Close)
			b := newHarness(t)
			var listed []carawayspread.Endpoint
			workers := map[carawayspread.EndpointID]*worker.Worker{}
			for id, role := range map[string]carawayspread.Role{"p0": carawayspread.RolePrefill, "p1": carawayspread.RolePrefill, "d0": carawayspread.RoleDecode, "d1": carawayspread.RoleDecode} {
				w, err := worker.New(id)
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(w.Close)
				workers[carawayspread.EndpointID(id)] = w
				listed = append(listed, carawayspread.NewEndpoint(carawayspread.EndpointID(id), "s", "z", w.Address(), false, carawayspread.WithRole(role), carawayspread.WithSlots(8)))
			}
			var left carawayspread.EndpointID
			b.gateway.transport = slowConnect{client, func(to carawayspread.EndpointID, out carawayspread.Outbound) {
				stage := out.Header.Get("Carawayspread-Stage")
				if left == "" && (c.at == "" || (c.at == prefilling) == (stage != "")) {
					left = to
					c.learn(b, to, listed)
				}
			}}
			b.gateway.SetEndpoints(listed)
			resp, _, err := b.post(t, c.path, "body", c.header...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, workers[left], qt.IsNotNil)
			qt.Check(t, workers[left].Requests(), qt.HasLen, 0)
		})
	}
}

func listAsLeaving(b *harness, to carawayspread.EndpointID, listed []carawayspread.Endpoint) {
	var now []carawayspread.Endpoint
	for _, e := range listed {
		if e.ID() == to {
			e = e.Drained()
		}
		now = append(now, e)
	}
	b.gateway.SetEndpoints(now)
}

func removeFromList(b *harness, to carawayspread.EndpointID, listed []carawayspread.Endpoint) {
	var now []carawayspread.Endpoint
	for _, e := range listed {
		if e.ID() != to {
			now = append(now, e)
		}
	}
	b.gateway.SetEndpoints(now)
}
