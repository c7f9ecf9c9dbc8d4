package gatewayd

import (
	"context"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/knowledge"
	"carawayspread/internal/decision/zonereader"
	"carawayspread/internal/process/follower"
)

// setUpFollower creates the reader election, the follower of routes and endpoints, the learner that
// pulls them from peers, and their metrics.
func (d *Daemon) setUpFollower(ports Ports) {
	s := d.settings
	d.election = zonereader.New(d.peers.ID(), s.Zone(), s.Capacity(), s.Bounds(), d.clock)
	d.follower = follower.New(ports.Source(d), d.election, s.Zone(), s.Capacity(), d.peers.Announce, d.clock, ports.StoreTime)
	d.peers.SetStatusFunc(d.peerStatus)
	d.learner = knowledge.New(d.follower, d.peers.PeerAddresses, d.clock, d.log, d.gateway.Metrics(),
		knowledge.WithStoreTime(ports.Uptime, ports.StoreTime.Observe))
	d.gateway.Metrics().NewGauge("gateway_reads_store", func() float64 {
		if d.election.IsReader() {
			return 1
		}
		return 0
	})
	d.gateway.Metrics().NewGauge("gateway_evidence_seconds", func() float64 {
		age, _ := d.follower.Age()
		return age.Seconds()
	})
	for resource := range carawayspread.ResourceCount {
		d.gateway.Metrics().NewGauge(`gateway_confirmed_seconds_ago{of="`+resource.String()+`"}`, func() float64 {
			age, _ := d.election.Age(resource)
			return age.Seconds()
		})
	}
}

// freshness implements carawayspread.ConfigFreshness with the follower, which is created after the
// gateway that uses freshness.
type freshness struct{ d *Daemon }

func (f freshness) Age() (time.Duration, bool)        { return f.d.follower.Age() }
func (f freshness) Refresh(ctx context.Context) error { return f.d.follower.Refresh(ctx) }
