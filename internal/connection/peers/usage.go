package peers

import (
	"net/netip"
	"slices"
	"time"

	"carawayspread"
)

// collecting is how many processes add usage up: the holder of the lease and one that
// can take over from it.
const collecting = 2

// Collectors returns the processes that add usage up: the largest instances, those
// that the store answers first, which all draw alike from what they hear, and whoever
// holds the lease. It reports whether this process is one of the first.
func (s *Socket) Collectors() (others []carawayspread.Peer, self bool) {
	own := s.presence()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	me := &peer{address: s.self, presence: own}
	ids := map[*peer]uint64{me: s.id}
	order := []*peer{me}
	for id, p := range s.peers {
		if now.Sub(p.heard) < forwardLife {
			ids[p] = id
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b *peer) int {
		if a.presence.CanReadStore != b.presence.CanReadStore {
			if a.presence.CanReadStore {
				return -1
			}
			return 1
		}
		return larger(a, b)
	})
	for i, p := range order {
		switch {
		case p == me:
			self = i < collecting
		case i < collecting || p.presence.MayHoldUsageLease:
			others = append(others, carawayspread.Peer{ID: ids[p], Address: p.address.String()})
		}
	}
	return others, self
}

// Processes returns the peers that were heard no longer ago than that, as far as they
// are remembered.
func (s *Socket) Processes(within time.Duration) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var processes []uint64
	for id, p := range s.peers {
		if now.Sub(p.heard) <= min(within, countLife) {
			processes = append(processes, id)
		}
	}
	return processes
}

// SendUsage sends what this process counted to a peer.
func (s *Socket) SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement) {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return
	}
	m := message{sender: s.id, address: s.self}
	size := 0
	for _, statement := range statements {
		if weight := weigh(statement); size > 0 && size+weight > sizeLimit {
			s.send(m, []netip.AddrPort{address})
			m.usage, size = nil, 0
		}
		m.usage = append(m.usage, statement)
		size += weigh(statement)
	}
	s.send(m, []netip.AddrPort{address})
}

// weigh returns an upper bound of the bytes of a statement with small counts.
func weigh(s carawayspread.UsageStatement) int { return 16 + len(s.Counts)*(workspaceBytes+2) }

// receiveUsage hands on what a peer counted, and acknowledges the closed windows of which
// all is known.
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
