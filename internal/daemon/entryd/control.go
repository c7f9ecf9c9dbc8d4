package entryd

import (
	"context"

	"carawayspread"
	"carawayspread/internal/connection/control"
)

var _ control.Control = (*Daemon)(nil)

// Changes returns the configuration changes that another daemon requests.
func (d *Daemon) Changes(ctx context.Context, req *control.ChangesRequest) (*control.ChangesResponse, error) {
	return d.base.Config().Changes(ctx, req)
}

// Status returns the state of the entry, and records the configuration version of the request.
func (d *Daemon) Status(_ context.Context, req *control.StatusRequest) (*control.StatusResponse, error) {
	d.base.Config().ObserveVersion(carawayspread.Version(req.GetConfigVersion()))
	age, _ := d.base.Config().Staleness()
	return &control.StatusResponse{
		EvidenceAgeMs: uint64(age.Milliseconds()),
		Instance:      d.base.Settings().ID(),
		Role:          string(carawayspread.InstanceEntry),
		ConfigVersion: uint64(d.base.Config().Held().Version()),
		Draining:      d.entry.Draining(),
	}, nil
}

// Drain makes the entry refuse new requests. It does not wait for the running ones.
func (d *Daemon) Drain(_ context.Context, req *control.DrainRequest) (*control.DrainResponse, error) {
	d.entry.Drain()
	d.base.Log().WithField("actor", req.GetActor()).Info("drain ordered by an operator; refusing new requests, running ones finish")
	return &control.DrainResponse{}, nil
}
