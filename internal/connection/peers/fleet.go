package peers

import "net/netip"

// Fleet returns how many processes share the limits of the fleet, this one included: the largest number that
// this process or any of its peers counts. It is not known in the first seconds of a process, which receives
// messages from few others and would take more than its share.
func (s *Socket) Fleet() (size int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size = s.fleetSizeLocked()
	for _, p := range s.peers {
		size = max(size, p.status.FleetSize)
	}
	age := s.clock.Now().Sub(s.start)
	heard := size > 1 || len(s.seeds) == 0
	return size, age >= discoveryTime && heard || age >= aloneTime
}

// FleetSize returns the first result of Fleet.
func (s *Socket) FleetSize() int {
	size, _ := s.Fleet()
	return size
}

// fleetSizeLocked returns how many processes this one has heard from within shareTimeout, itself included.
func (s *Socket) fleetSizeLocked() int {
	now, n := s.clock.Now(), 1
	for _, seen := range s.members {
		if now.Sub(seen) < shareTimeout {
			n++
		}
	}
	return n
}

// recordMemberLocked notes that a process at that address is alive. One that starts again at the same address
// counts once.
func (s *Socket) recordMemberLocked(address netip.AddrPort) {
	now := s.clock.Now()
	if _, ok := s.members[address]; !ok && len(s.members) >= maxFleetSize {
		return
	}
	s.members[address] = now
	for other, seen := range s.members {
		if now.Sub(seen) >= shareTimeout {
			delete(s.members, other)
		}
	}
}
