package entryd

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

// Status tells what the entry holds and does.
func (d *Daemon) Status(ctx context.Context, _ *control.StatusRequest) (*control.StatusResponse, error) {
	return &control.StatusResponse{
		Instance:      d.settings.ID(),
		Role:          string(carawayspread.InstanceEntry),
		ConfigVersion: uint64(d.config.Current(ctx).Version()),
		Draining:      d.entry.Leaving(),
	}, nil
}

// Drain makes the entry refuse new requests.
func (d *Daemon) Drain(_ context.Context, req *control.DrainRequest) (*control.DrainResponse, error) {
	d.entry.Leave()
	d.log.WithField("actor", req.GetActor()).Info("drain ordered")
	return &control.DrainResponse{}, nil
}
