package gatewayd

import (
	"context"
	"math"
	"time"

	"carawayspread"
	"carawayspread/internal/controller/buildrecords"
	"carawayspread/internal/decision/origin"
)

// originsInterval is the time between two checks whether the list of endpoints has become too old to
// rely on.
const originsInterval = 500 * time.Millisecond

// newOrigins creates what the process knows of where streams began, which it exchanges with its peers. Where
// there is a table, it keeps the builds of each service for the time after all processes were lost.
func (d *Daemon) newOrigins(ports Ports) {
	var opts []origin.Option
	if ports.Table != nil {
		opts = append(opts, origin.WithRecords())
	}
	d.origins = origin.New(carawayspread.UptimeClock(ports.Uptime, d.clock), d.oldestList, opts...)
	d.peers.SetOriginTracker(d.origins)
}

// oldestList returns the longest time for which the list of endpoints may have been outdated.
func (d *Daemon) oldestList() time.Duration {
	if age, known := d.follower.ListAge(); known {
		return age
	}
	return math.MaxInt64
}

// setUpBuildRecords creates the records of the builds, unless there is no table.
func (d *Daemon) setUpBuildRecords(ports Ports) {
	if ports.Table == nil {
		return
	}
	d.buildRecords = buildrecords.New(ports.Table, d.origins, ports.StoreTime, readers{d}, d.clock, d.decisionLog,
		d.gateway.Metrics(), d.settings.FirstStart())
}

// readers implements buildrecords.Fleet.
type readers struct{ d *Daemon }

func (r readers) IsReader() bool { return r.d.election.IsReader() }
func (r readers) Size() int      { return r.d.peers.FleetSize() }

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
			d.origins.Watch()
			d.gateway.TellUntold()
		}
	}
}
