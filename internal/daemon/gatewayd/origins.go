package gatewayd

import (
	"context"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/origin"
)

// originsInterval is the time between two checks whether the list of endpoints has become too old to
// rely on.
const originsInterval = 500 * time.Millisecond

// newOrigins returns what the process knows of where streams began, which it exchanges with its peers.
func (d *Daemon) newOrigins() *origin.Origins {
	var opts []origin.Option
	if d.settings.FirstStart() {
		opts = append(opts, origin.FirstStart())
	}
	origins := origin.New(d.clock, d.listAge, opts...)
	d.peers.SetOriginTracker(origins)
	return origins
}

// listAge returns the time since the list of endpoints was confirmed.
func (d *Daemon) listAge() time.Duration {
	age, _ := d.election.Age(carawayspread.ResourceEndpoints)
	return age
}

// listVersion returns the version of the list of endpoints.
func (d *Daemon) listVersion() uint64 {
	return d.follower.Status(carawayspread.ResourceEndpoints).Version
}

// runOrigins tells peers of streams as soon as they might not know their builds otherwise.
func (d *Daemon) runOrigins(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(originsInterval):
			d.gateway.TellUntold()
		}
	}
}
