package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	heartbeat = 500 * time.Millisecond
	// named is how many peers a heartbeat names.
	named = 6
)

// Share returns how many processes there are, this one included: as many as it
// hears, or as any of them does. One that has just started hears few for a second,
// and would take more than its share of what is allowed to all.
func (s *Socket) Share() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.fleetLocked()
	for _, p := range s.peers {
		n = max(n, p.presence.FleetSize)
	}
	return n
}

// fleetLocked returns how many processes this one hears, itself included.
func (s *Socket) fleetLocked() int {
	now, n := s.clock.Now(), 1
	for _, p := range s.peers {
		if now.Sub(p.heard) < countLife {
			n++
		}
	}
	return n
}

// Fleet returns what this process drew at its start, and the same of all processes that
// are heard, itself included.
func (s *Socket) Fleet() (self uint64, all []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	all = []uint64{s.id}
	for id, p := range s.peers {
		if now.Sub(p.heard) < heardLife {
			all = append(all, id)
		}
	}
	return s.id, all
}

// Present sets what returns how this process stands, which each heartbeat states.
// It is called before Run.
func (s *Socket) Present(presence func() carawayspread.PeerStatus) { s.presence = presence }

// Announce tells the peers of the own zone and the largest of each other zone how this
// process stands.
func (s *Socket) Announce() {
	presence := s.presence()
	s.mu.Lock()
	presence.FleetSize = s.fleetLocked()
	to := append(s.zoneLocked(presence.Zone), s.largestLocked(presence.Zone)...)
	s.mu.Unlock()
	s.send(message{sender: s.id, address: s.self, presence: &presence}, to)
}

// beat tells that this process lives, what it has at all endpoints and whom it
// hears.
func (s *Socket) beat() {
	presence := s.presence()
	s.mu.Lock()
	presence.FleetSize = s.fleetLocked()
	m := message{sender: s.id, address: s.self, presence: &presence}
	for endpoint, n := range s.counts {
		m.notices = append(m.notices, n)
		if n.Running == 0 {
			delete(s.counts, endpoint) // told once more, then left out
		}
	}
	heard := s.heardLocked()
	m.known = sample(heard)
	to, forward := s.beatLocked(presence.Zone)
	now := s.clock.Now()
	listed := map[netip.AddrPort]bool{}
	for _, address := range heard {
		listed[address] = true
	}
	for _, address := range s.seeds {
		if !listed[address] {
			listed[address] = true
			to = append(to, address)
		}
	}
	for address, since := range s.rumours {
		if now.Sub(since) > countLife {
			delete(s.rumours, address)
		} else if !listed[address] {
			to = append(to, address)
		}
	}
	s.mu.Unlock()
	s.send(m, to)
	m.forward = true
	s.send(m, forward)
}

// sample draws the addresses that a heartbeat names: newcomers know all peers after
// some of them, and it stays as short in a large fleet.
func sample(all []netip.AddrPort) []netip.AddrPort {
	drawn := make([]netip.AddrPort, 0, min(named, len(all)))
	for _, i := range rand.Perm(len(all))[:min(named, len(all))] {
		drawn = append(drawn, all[i])
	}
	return drawn
}
