package peers

import (
	"net/netip"
	"slices"
	"time"

	"carawayspread"
)

// collectorCount is how many processes collect usage: the lease holder and one that can take over
// from it.
const collectorCount = 2

// Collectors returns the other processes that collect usage: the first collectorCount in an order
// in which processes that the store answers come first and then the largest instances, and any
// that may hold the lease. All processes that receive messages from the same peers get the same
// order. It reports whether this process is one of the first.
func (s *Socket) Collectors() (others []carawayspread.Peer, self bool) {
	status := s.status()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	local := &peer{address: s.self, status: status}
	ids := map[*peer]uint64{local: s.id}
	order := []*peer{local}
	for id, p := range s.peers {
		if now.Sub(p.lastSeen) < forwarderTimeout {
			ids[p] = id
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b *peer) int {
		if a.status.CanReadStore != b.status.CanReadStore {
			if a.status.CanReadStore {
				return -1
			}
			return 1
		}
		return compareCapacity(a, b)
	})
	for i, p := range order {
		switch {
		case p == local:
			self = i < collectorCount
		case i < collectorCount || p.status.MayHoldUsageLease:
			others = append(others, carawayspread.Peer{ID: ids[p], Address: p.address.String()})
		}
	}
	return others, self
}

// Processes returns the peers that were last seen no longer ago than within, but none that has been
// silent for longer than memberTimeout.
func (s *Socket) Processes(within time.Duration) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var processes []uint64
	for id, p := range s.peers {
		if now.Sub(p.lastSeen) <= min(within, memberTimeout) {
			processes = append(processes, id)
		}
	}
	return processes
}

// SendUsage sends usage statements of this process to a peer.
func (s *Socket) SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement) {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return
	}
	m := message{sender: s.id, address: s.self}
	size := 0
	for _, statement := range statements {
		if added := maxEncodedSize(statement); size > 0 && size+added > maxMessageSize {
			s.send(m, []netip.AddrPort{address})
			m.usage, size = nil, 0
		}
		m.usage = append(m.usage, statement)
		size += maxEncodedSize(statement)
	}
	s.send(m, []netip.AddrPort{address})
}

// maxEncodedSize returns an upper bound of the encoded size, in bytes, of a statement with small
// counts.
func maxEncodedSize(s carawayspread.UsageStatement) int {
	return 16 + len(s.Counts)*(workspaceBytes+2)
}

// receiveUsage passes a peer's usage statements on, and acknowledges the closed windows whose counts
// are completely known.
func (s *Socket) receiveUsage(m message, r Receiver) {
	var acks []int64
	for _, statement := range m.usage {
		if r.UsageReceived(statement) && statement.Closed {
			acks = append(acks, statement.Window)
		}
	}
	if len(acks) > 0 {
		s.send(message{sender: s.id, address: s.self, acks: acks}, []netip.AddrPort{m.address})
	}
	for _, window := range m.acks {
		r.Acknowledged(m.sender, window)
	}
}
