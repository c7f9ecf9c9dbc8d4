package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// sampleSize is how many peers a heartbeat names.
	sampleSize = 6
)

// Membership returns the random identifier of this process, and the identifiers of all active
// processes, itself included; none while the fleet is not known.
func (s *Socket) Membership() (self uint64, all []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleetKnownLocked() {
		return s.id, nil
	}
	now := s.clock.Now()
	all = []uint64{s.id}
	for id, p := range s.peers {
		if now.Sub(p.lastSeen) < activeTimeout {
			all = append(all, id)
		}
	}
	return s.id, all
}

// SetStatusFunc sets the function that returns the status of this process, which each heartbeat
// carries. It must be called before Run.
func (s *Socket) SetStatusFunc(status func() carawayspread.PeerStatus) { s.status = status }

// Announce sends the status of this process to the peers of its zone and to the largest peer of
// each other zone, without waiting for the next heartbeat.
func (s *Socket) Announce() {
	status := s.status()
	s.mu.Lock()
	status.FleetSize = s.fleetSizeLocked()
	to := append(s.zonePeersLocked(status.Zone), s.largestPerZoneLocked(status.Zone)...)
	s.mu.Unlock()
	s.send(message{sender: s.id, address: s.self, status: &status}, to)
}

// sendHeartbeat sends the status of this process, its load at all endpoints and a sample of the
// peers that it receives messages from.
func (s *Socket) sendHeartbeat() {
	status := s.status()
	s.mu.Lock()
	status.FleetSize = s.fleetSizeLocked()
	m := message{sender: s.id, address: s.self, status: &status}
	for endpoint, n := range s.loads {
		m.updates = append(m.updates, n)
		if n.Running == 0 {
			delete(s.loads, endpoint) // sent this once more, then left out
		}
	}
	active := s.activeLocked()
	m.knownPeers = sample(active, sampleSize)
	to, forward := s.heartbeatRecipientsLocked(status.Zone)
	now := s.clock.Now()
	listed := map[netip.AddrPort]bool{}
	for _, address := range active {
		listed[address] = true
	}
	for _, address := range s.seeds {
		if !listed[address] {
			listed[address] = true
			to = append(to, address)
		}
	}
	for address, since := range s.unverified {
		if now.Sub(since) > memberTimeout {
			delete(s.unverified, address)
		} else if !listed[address] {
			to = append(to, address)
		}
	}
	s.mu.Unlock()
	s.send(m, to)
	m.forward = true
	s.send(m, forward)
}

// sample returns n random addresses for a message to name. A new process learns all peers from a few messages, and
// they stay short in a large fleet.
func sample(all []netip.AddrPort, n int) []netip.AddrPort {
	n = min(n, len(all))
	sampled := make([]netip.AddrPort, 0, n)
	for _, i := range rand.Perm(len(all))[:n] {
		sampled = append(sampled, all[i])
	}
	return sampled
}
