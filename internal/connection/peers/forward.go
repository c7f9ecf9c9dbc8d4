package peers

import (
	"cmp"
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"
)

const (
	bundleMagic = 0xc7
	// forwardersPerZone is how many processes of a zone take turns in forwarding messages to the
	// other processes of the zone. If one of them dies, every second message is lost until it
	// counts as silent.
	forwardersPerZone = 2
	// bundleInterval is the minimum time between two bundles. It grows by bundleIntervalPerPeer
	// with each recipient: with about ten peers, about fifty bundles a second are sent.
	bundleInterval        = 8 * time.Millisecond
	bundleIntervalPerPeer = time.Millisecond
	// forwarderTimeout is how long a silent peer may still be chosen as a forwarder: two of its
	// heartbeats may be lost.
	forwarderTimeout = 1200 * time.Millisecond
	// maxForwardQueue bounds the messages that wait to be forwarded.
	maxForwardQueue = 4096
)

// recipientsLocked returns the peers to which a message is sent directly, which are those of this
// process's zone and of unknown zones, and the peers that forward it in the other zones.
//
// Each process sends an update about each placement to all others. If all of them were sent
// directly, a process would send and receive as many messages as there are processes, each about
// a hundred times a second. They would have to be spaced so far apart that an update would arrive
// only after the next requests had been placed.
func (s *Socket) recipientsLocked(own string, turn int) (to, forward []netip.AddrPort) {
	for zone, members := range s.peersByZoneLocked() {
		if zone == "" || zone == own || len(members) <= forwardersPerZone {
			for _, p := range members {
				to = append(to, p.address)
			}
			continue
		}
		forward = append(forward, members[turn%forwardersPerZone].address)
	}
	return to, forward
}

// heartbeatRecipientsLocked returns the peers to which a heartbeat is sent directly, and those that
// forward it in their zones. They are the recipients of a load update and, directly, the peers that
// have been silent for longer than forwarderTimeout.
func (s *Socket) heartbeatRecipientsLocked(own string) (to, forward []netip.AddrPort) {
	s.heartbeats++
	to, forward = s.recipientsLocked(own, s.heartbeats)
	now := s.clock.Now()
	for _, p := range s.peers {
		if silent := now.Sub(p.lastSeen); silent >= forwarderTimeout && silent < activeTimeout {
			to = append(to, p.address)
		}
	}
	return to, forward
}

// peersByZoneLocked returns the peers seen within forwarderTimeout by zone, in the order of
// compareCapacity.
func (s *Socket) peersByZoneLocked() map[string][]*peer {
	now := s.clock.Now()
	zones := map[string][]*peer{}
	for _, p := range s.peers {
		if now.Sub(p.lastSeen) < forwarderTimeout {
			zones[p.status.Zone] = append(zones[p.status.Zone], p)
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, compareCapacity)
	}
	return zones
}

// largestPerZoneLocked returns the peer with the largest capacity of each zone except one.
func (s *Socket) largestPerZoneLocked(except string) []netip.AddrPort {
	var to []netip.AddrPort
	for zone, members := range s.peersByZoneLocked() {
		if zone != except {
			to = append(to, members[0].address)
		}
	}
	return to
}

// compareCapacity orders peers by the capacity of their instances, largest first. All processes
// get the same order.
func compareCapacity(a, b *peer) int {
	if c := cmp.Compare(b.status.Capacity, a.status.Capacity); c != 0 {
		return c
	}
	return a.address.Compare(b.address)
}

// queueForward queues a message from another zone for the peers of this zone.
func (s *Socket) queueForward(m message) {
	m.forward = false
	body := m.encode()
	s.mu.Lock()
	if len(s.forwardQueue) < maxForwardQueue {
		s.forwardQueue = append(s.forwardQueue, body)
	}
	s.mu.Unlock()
	select {
	case s.forwardWake <- struct{}{}:
	default:
	}
}

// runForward forwards queued messages until ctx ends.
func (s *Socket) runForward(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.forwardWake:
		}
		zone := s.status().Zone
		s.mu.Lock()
		bodies := s.forwardQueue
		s.forwardQueue = nil
		to := s.zonePeersLocked(zone)
		s.mu.Unlock()
		for _, b := range bundle(bodies) {
			for _, address := range to {
				// A send error is treated as packet loss; heartbeats repeat the loads.
				_, _ = s.conn.WriteToUDPAddrPort(b, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(bundleInterval + time.Duration(len(to))*bundleIntervalPerPeer):
		}
	}
}

// zonePeersLocked returns the active peers of a zone.
func (s *Socket) zonePeersLocked(zone string) []netip.AddrPort {
	now := s.clock.Now()
	var to []netip.AddrPort
	for _, p := range s.peers {
		if p.status.Zone == zone && now.Sub(p.lastSeen) < activeTimeout {
			to = append(to, p.address)
		}
	}
	return to
}

// bundle joins messages into packets.
func bundle(bodies [][]byte) [][]byte {
	var packets [][]byte
	b := []byte{bundleMagic}
	for _, body := range bodies {
		if len(b) > 1 && len(b)+len(body)+binary.MaxVarintLen64 > maxMessageSize {
			packets = append(packets, b)
			b = []byte{bundleMagic}
		}
		b = binary.AppendUvarint(b, uint64(len(body)))
		b = append(b, body...)
	}
	if len(b) > 1 {
		packets = append(packets, b)
	}
	return packets
}

// unbundle returns the messages of a packet. Everything after a malformed length is dropped.
func unbundle(b []byte) [][]byte {
	r := &reader{b: b[1:]}
	var bodies [][]byte
	for len(r.b) > 0 {
		body := r.bytes(r.count(maxMessageSize))
		if r.failed {
			break
		}
		bodies = append(bodies, body)
	}
	return bodies
}
