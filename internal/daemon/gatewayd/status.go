package gatewayd

import (
	"carawayspread"
	"carawayspread/internal/connection/peers"
)

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
