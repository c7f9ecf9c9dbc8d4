package peers

import "net/netip"

// Fleet returns how many processes share the limits of the fleet, this one included: the largest number that
// this process or any of its peers counts. It is not known while the number grows after a start: the process
// receives messages from few others then, and would take more than its share.
func (s *Socket) Fleet() (size int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = s.fleetKnownLocked()
	return s.observeFleetLocked(), known
}

// fleetKnownLocked reports whether this process has heard of all others by now.
func (s *Socket) fleetKnownLocked() bool {
	s.observeFleetLocked()
	return s.discovered || s.clock.Now().Sub(s.start) >= aloneTime
}

// observeFleetLocked returns the size of the fleet, and notes whether all of it is known by now.
func (s *Socket) observeFleetLocked() int {
	now, size := s.clock.Now(), s.fleetSizeLocked()
	for _, p := range s.peers {
		size = max(size, p.status.FleetSize)
	}
	heard := s.largest > 1 || len(s.seeds) == 0
	s.discovered = s.discovered || heard && now.Sub(s.grownAt) >= discoveryTime
	if size > s.largest {
		s.largest, s.grownAt = size, now
	}
	return size
}

// FleetSize returns the first result of Fleet.
func (s *Socket) FleetSize() int {
	size, _ := s.Fleet()
	return size
}

// fleetSizeLocked returns how many processes this one has heard from within shareTimeout, itself included.
func (s *Socket) fleetSizeLocked() int {
	now := s.clock.Now()
	for address, seen := range s.members {
		if now.Sub(seen) >= shareTimeout {
			delete(s.members, address)
		}
	}
	return len(s.members) + 1
}

// recordMemberLocked notes that a process at that address is alive. One that starts again at the same address
// counts once.
func (s *Socket) recordMemberLocked(address netip.AddrPort) {
	if _, ok := s.members[address]; ok || len(s.members) < maxFleetSize {
		s.members[address] = s.clock.Now()
	}
}
