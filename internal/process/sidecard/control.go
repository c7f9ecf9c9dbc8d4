package sidecard

import (
	"context"

	"github.com/twitchtv/twirp"

	"carawayspread"
	"carawayspread/internal/connection/control"
)

var _ control.Control = (*Daemon)(nil)

// Changes answers a daemon that asks for configuration changes.
func (d *Daemon) Changes(context.Context, *control.ChangesRequest) (*control.ChangesResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "no configuration is held here")
}

// Status tells what the sidecar holds and does.
func (d *Daemon) Status(context.Context, *control.StatusRequest) (*control.StatusResponse, error) {
	return &control.StatusResponse{
		Instance:  d.settings.ID(),
		Role:      string(carawayspread.InstanceSidecar),
		Draining:  d.sidecar.Draining(),
		Endpoints: d.sidecar.Load(),
	}, nil
}

// Drain gives one endpoint, or all, no new work; running requests finish.
func (d *Daemon) Drain(_ context.Context, req *control.DrainRequest) (*control.DrainResponse, error) {
	running := d.sidecar.Drain(carawayspread.EndpointID(req.GetEndpoint()))
	d.log.WithField("endpoint", req.GetEndpoint()).WithField("actor", req.GetActor()).WithField("running", running).Info("drain ordered")
	d.report()
	return &control.DrainResponse{Running: uint32(running)}, nil
}
