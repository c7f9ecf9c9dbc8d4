package sidecard

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

// Status returns the state of the sidecar and of its endpoints, and records the configuration version
// of the request.
func (d *Daemon) Status(_ context.Context, req *control.StatusRequest) (*control.StatusResponse, error) {
	d.base.Config().ObserveVersion(carawayspread.Version(req.GetConfigVersion()))
	age, _ := d.base.Config().Staleness()
	return &control.StatusResponse{
		ConfigVersion: uint64(d.base.Config().Held().Version()),
		EvidenceAgeMs: uint64(age.Milliseconds()),
		Instance:      d.base.Settings().ID(),
		Role:          string(carawayspread.InstanceSidecar),
		Draining:      d.sidecar.Draining(),
		Endpoints:     d.sidecar.Load(),
	}, nil
}

// Drain stops new requests to one endpoint, or to all if none is named. Running requests finish.
func (d *Daemon) Drain(_ context.Context, req *control.DrainRequest) (*control.DrainResponse, error) {
	running := d.sidecar.Drain(carawayspread.EndpointID(req.GetEndpoint()))
	d.base.Log().WithField("endpoint", req.GetEndpoint()).WithField("actor", req.GetActor()).WithField("running", running).Info("drain ordered by an operator; refusing new requests, running ones finish")
	d.report()
	return &control.DrainResponse{Running: uint32(running)}, nil
}
