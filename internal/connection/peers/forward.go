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
	// forwarders is how many processes of a zone take turns in passing messages on
	// to the others of it: where one of them dies, every second message is missing
	// until it counts as silent.
	forwarders = 2
	// forwardSpacing is the least time between two bundles, stretched by
	// forwardPerPeer: with some ten peers some fifty of them a second.
	forwardSpacing = 8 * time.Millisecond
	forwardPerPeer = time.Millisecond
	// forwardLife is how long a silent peer is trusted to pass messages on: two of
	// its heartbeats may be lost.
	forwardLife = 1200 * time.Millisecond
	// bundleLimit bounds what waits to be passed on, in messages.
	bundleLimit = 4096
)

// splitLocked returns the peers that a message is sent to: those of the own zone,
// or of a zone not known yet, and those that pass it on in theirs.
//
// Load pattern: each process tells all others of each placement. Without it a
// process sends and hears as many messages as there are processes, each some
// hundred times a second, and has to space them so that others hear of a placement
// when the next ones are placed already.
func (s *Socket) splitLocked(own string, turn int) (to, forward []netip.AddrPort) {
	for zone, of := range s.zonesLocked() {
		if zone == "" || zone == own || len(of) <= forwarders {
			for _, p := range of {
				to = append(to, p.address)
			}
			continue
		}
		forward = append(forward, of[turn%forwarders].address)
	}
	return to, forward
}

// beatLocked returns the peers that a heartbeat is sent to, and those that pass it on in
// their zones: as a placement, and directly to whoever has been silent for a while.
func (s *Socket) beatLocked(own string) (to, forward []netip.AddrPort) {
	s.beats++
	to, forward = s.splitLocked(own, s.beats)
	now := s.clock.Now()
	for _, p := range s.peers {
		if silent := now.Sub(p.heard); silent >= forwardLife && silent < heardLife {
			to = append(to, p.address)
		}
	}
	return to, forward
}

// zonesLocked returns the peers that are heard by zone, the largest first.
func (s *Socket) zonesLocked() map[string][]*peer {
	now := s.clock.Now()
	zones := map[string][]*peer{}
	for _, p := range s.peers {
		if now.Sub(p.heard) < forwardLife {
			zones[p.presence.Zone] = append(zones[p.presence.Zone], p)
		}
	}
	for _, of := range zones {
		slices.SortFunc(of, larger)
	}
	return zones
}

// largestLocked returns the largest peer of each zone but one.
func (s *Socket) largestLocked(but string) []netip.AddrPort {
	var to []netip.AddrPort
	for zone, of := range s.zonesLocked() {
		if zone != but {
			to = append(to, of[0].address)
		}
	}
	return to
}

// larger orders peers by what their instances carry; all processes order them alike.
func larger(a, b *peer) int {
	if c := cmp.Compare(b.presence.Capacity, a.presence.Capacity); c != 0 {
		return c
	}
	return a.address.Compare(b.address)
}

// pass queues a message of another zone for the own one.
func (s *Socket) pass(m message) {
	m.forward = false
	body := m.encode()
	s.mu.Lock()
	if len(s.passing) < bundleLimit {
		s.passing = append(s.passing, body)
	}
	s.mu.Unlock()
	select {
	case s.passes <- struct{}{}:
	default:
	}
}

// runForward passes messages on until ctx ends.
func (s *Socket) runForward(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.passes:
		}
		zone := s.presence().Zone
		s.mu.Lock()
		bodies := s.passing
		s.passing = nil
		to := s.zoneLocked(zone)
		s.mu.Unlock()
		for _, b := range bundle(bodies) {
			for _, address := range to {
				// As good as lost; counts are repeated by heartbeats.
				_, _ = s.conn.WriteToUDPAddrPort(b, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(forwardSpacing + time.Duration(len(to))*forwardPerPeer):
		}
	}
}

// zoneLocked returns the peers of a zone that are heard.
func (s *Socket) zoneLocked(zone string) []netip.AddrPort {
	now := s.clock.Now()
	var to []netip.AddrPort
	for _, p := range s.peers {
		if p.presence.Zone == zone && now.Sub(p.heard) < heardLife {
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
		if len(b) > 1 && len(b)+len(body)+binary.MaxVarintLen64 > sizeLimit {
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

// unbundle returns the messages of a packet. What follows a broken length is lost.
func unbundle(b []byte) [][]byte {
	r := &reader{b: b[1:]}
	var bodies [][]byte
	for len(r.b) > 0 {
		body := r.bytes(r.count(sizeLimit))
		if r.bad {
			break
		}
		bodies = append(bodies, body)
	}
	return bodies
}
