package fleet

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/connection/control"
)

// peer responds to control calls as the instance with that ID, or fails.
type peer struct {
	control.Control
	id               string
	version          uint64
	err              error
	requestedVersion uint64
	drained          string
}

func (p *peer) Status(_ context.Context, r *control.StatusRequest) (*control.StatusResponse, error) {
	p.requestedVersion = r.GetConfigVersion()
	return &control.StatusResponse{Instance: p.id, ConfigVersion: p.version}, p.err
}

func (p *peer) Drain(_ context.Context, r *control.DrainRequest) (*control.DrainResponse, error) {
	p.drained = p.id + "/" + r.GetEndpoint()
	return &control.DrainResponse{Running: 2}, p.err
}

// Guards against a response of another process that is taken for a confirmation of the listed
// instance. The list lags, so the address may belong to another process by now, whose response
// would hide that the listed one runs elsewhere.
func TestStatusConfirms(t *testing.T) {
	tests := map[string]struct {
		peer      peer
		confirmed bool
		reason    string
	}{
		"holds it":       {peer: peer{id: "a", version: 7}, confirmed: true},
		"holds a newer":  {peer: peer{id: "a", version: 8}, confirmed: true},
		"holds an older": {peer: peer{id: "a", version: 6}, reason: "holds version 6"},
		"another one":    {peer: peer{id: "b", version: 7}, reason: "instance b answers at its address"},
		"not reachable":  {peer: peer{err: errors.New("refused")}, reason: "not reachable"},
	}
	list := func(context.Context) ([]carawayspread.Instance, error) {
		return []carawayspread.Instance{{ID: "a", Control: "address"}}, nil
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(list, func(string) control.Control { return &test.peer })
			rollout := f.RolloutStatus(context.Background(), 7)
			qt.Check(t, rollout.InForce, qt.Equals, test.confirmed)
			if !test.confirmed {
				qt.Check(t, rollout.Unconfirmed[0].Reason, qt.Equals, test.reason)
			}
			qt.Check(t, test.peer.requestedVersion, qt.Equals, uint64(7))
		})
	}
}

func TestDrainFindsInstance(t *testing.T) {
	listed := []carawayspread.Instance{
		{ID: "a", Control: "a", Endpoints: []carawayspread.InstanceEndpoint{{ID: "a1"}}},
		{ID: "b", Control: "b", Endpoints: []carawayspread.InstanceEndpoint{{ID: "b1"}}},
	}
	tests := map[string]struct {
		target adminapi.DrainRequest
		want   string // empty where nothing may be drained
	}{
		"instance":                {adminapi.DrainRequest{Instance: "b"}, "b/"},
		"endpoint":                {adminapi.DrainRequest{Endpoint: "b1"}, "b/b1"},
		"both":                    {adminapi.DrainRequest{Instance: "a", Endpoint: "a1"}, "a/a1"},
		"endpoint of another one": {adminapi.DrainRequest{Instance: "a", Endpoint: "b1"}, ""},
		"neither":                 {adminapi.DrainRequest{}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peers := map[string]*peer{"a": {id: "a"}, "b": {id: "b"}}
			f := New(func(context.Context) ([]carawayspread.Instance, error) { return listed, nil },
				func(address string) control.Control { return peers[address] })
			_, err := f.Drain(context.Background(), test.target, "ana")
			qt.Check(t, err == nil, qt.Equals, test.want != "")
			qt.Check(t, peers["a"].drained+peers["b"].drained, qt.Equals, test.want)
		})
	}
}
