package gatewayd

import (
	"carawayspread"
	"carawayspread/internal/connection/peers"
	"carawayspread/internal/decision/joining"
)

// setUpPeers connects the gateway to what peers say, and lets a process that starts find them at once.
func (d *Daemon) setUpPeers() {
	d.peers.SetJoining(joining.New(d.clock))
	d.peers.SetRefusalTracker(d.gateway)
	d.peers.SetCrashTracker(d.gateway)
	d.peers.SetPartTracker(d.gateway)
	d.gateway.Metrics().NewGauge("gateway_greetings_sent", func() float64 { return float64(d.peers.Greetings()) })
}

// peerStatus returns the status of this process for its peers.
func (d *Daemon) peerStatus() carawayspread.PeerStatus {
	p := d.follower.PeerStatus()
	p.StoreEpoch, _ = d.syncedClock.Epoch()
	p.MayHoldUsageLease = d.usage != nil && d.usage.reporter.Holds()
	return p
}

// ApplyLoadUpdates passes load updates of a peer to the placer.
func (d *Daemon) ApplyLoadUpdates(from string, updates []carawayspread.LoadUpdate) {
	d.placer.ApplyLoadUpdates(from, updates)
}

// ApplyPeerStatus records the status of a peer.
func (d *Daemon) ApplyPeerStatus(id uint64, address string, s carawayspread.PeerStatus) {
	d.follower.ObservePeer(id, address, s)
	d.syncedClock.ObservePeer(id, s.StoreEpoch)
}

// ApplyPeerFeedback records the feedback that an endpoint gave in an answer to a peer.
func (d *Daemon) ApplyPeerFeedback(f peers.EndpointFeedback) {
	d.gateway.ApplyPeerFeedback(f.Endpoint, f.Feedback)
}
