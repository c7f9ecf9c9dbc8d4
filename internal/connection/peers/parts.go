package peers

import (
	"encoding/binary"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	// partMagic starts a kind of datagram that processes of older releases drop.
	partMagic = 0xd1
	// maxPartCrashes and maxAnsweredParts bound the lists of such a datagram.
	maxPartCrashes   = 24
	maxAnsweredParts = 64
)

// PartTracker keeps the crashes that processes observed under parts of prompts.
type PartTracker interface {
	// PartReports returns crashes that peers may not know, the most important first.
	PartReports() []carawayspread.PartCrash
	// LearnParts records crashes that a peer reports, and returns the parts that were answered since.
	LearnParts(crashes []carawayspread.PartCrash) (answered []uint64)
	// PartsAnsweredByPeer records that a peer answered prompts with the parts.
	PartsAnsweredByPeer(parts []uint64)
}

// partMessage is one datagram: crashes under parts of prompts, and parts that were answered.
type partMessage struct {
	sender   uint64
	crashes  []carawayspread.PartCrash
	answered []uint64
}

// SetPartTracker sets the source and the receiver of crashes under parts of prompts. It must be called
// before Run and Receive.
func (s *Socket) SetPartTracker(t PartTracker) { s.parts = t }

// BroadcastPartCrashes queues crashes for all peers, as many as a datagram holds. Gossip repeats them, and
// passes the others on: many endpoints that are lost together must not cause a storm of messages.
func (s *Socket) BroadcastPartCrashes(crashes []carawayspread.PartCrash) {
	s.mu.Lock()
	s.partCrashes = append(s.partCrashes, crashes[:min(len(crashes), maxPartCrashes-len(s.partCrashes))]...)
	s.mu.Unlock()
	s.wakeSender()
}

// BroadcastPartsAnswered tells all peers that prompts with the parts were answered.
func (s *Socket) BroadcastPartsAnswered(parts []uint64) {
	s.mu.Lock()
	to := s.activeLocked()
	s.mu.Unlock()
	s.sendParts(nil, parts, to)
}

// gossipParts sends what is known of parts to some peers. It is called with each heartbeat.
func (s *Socket) gossipParts(to []netip.AddrPort) {
	if s.parts != nil && len(to) > 0 {
		s.sendParts(s.parts.PartReports(), nil, to)
	}
}

// sendParts sends crashes and answered parts, in as many datagrams as they need.
func (s *Socket) sendParts(crashes []carawayspread.PartCrash, answered []uint64, to []netip.AddrPort) {
	for len(crashes)+len(answered) > 0 {
		n, k := min(maxPartCrashes, len(crashes)), min(maxAnsweredParts, len(answered))
		s.sendBody(partMessage{sender: s.id, crashes: crashes[:n], answered: answered[:k]}.encode(), to)
		crashes, answered = crashes[n:], answered[k:]
	}
}

func (s *Socket) receiveParts(body []byte) {
	m, err := decodeParts(body)
	if err != nil || m.sender == s.id || s.parts == nil {
		return
	}
	if len(m.answered) > 0 {
		s.parts.PartsAnsweredByPeer(m.answered)
	}
	answered := s.parts.LearnParts(m.crashes)
	s.mu.Lock()
	p := s.peers[m.sender]
	s.mu.Unlock()
	if p != nil { // else it will be told when it reports the crash again
		s.sendParts(nil, answered, []netip.AddrPort{p.address})
	}
}

func (m partMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{partMagic}, m.sender)
	b = binary.AppendUvarint(b, uint64(len(m.crashes)))
	for _, c := range m.crashes {
		b = binary.BigEndian.AppendUint64(b, c.Part)
		b = appendText(b, string(c.Endpoint))
		b = binary.BigEndian.AppendUint32(b, c.Witness)
		b = binary.AppendUvarint(b, uint64(max(0, min(maxReportAge, c.Age))/time.Millisecond))
		b = append(b, flag(c.Doubtful))
	}
	b = binary.AppendUvarint(b, uint64(len(m.answered)))
	for _, part := range m.answered {
		b = binary.BigEndian.AppendUint64(b, part)
	}
	return b
}

func decodeParts(b []byte) (partMessage, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.failed || first[0] != partMagic {
		return partMessage{}, errMalformed
	}
	m := partMessage{sender: r.uvarint()}
	for range r.count(maxPartCrashes) {
		m.crashes = append(m.crashes, carawayspread.PartCrash{
			Part: binary.BigEndian.Uint64(r.bytes(8)), Endpoint: carawayspread.EndpointID(r.text()),
			Witness: binary.BigEndian.Uint32(r.bytes(4)),
			Age:     time.Duration(r.count(int(maxReportAge/time.Millisecond))) * time.Millisecond, Doubtful: r.flag(),
		})
		if r.failed {
			break
		}
	}
	for range r.count(maxAnsweredParts) {
		m.answered = append(m.answered, binary.BigEndian.Uint64(r.bytes(8)))
	}
	if r.failed || len(r.b) > 0 {
		return partMessage{}, errMalformed
	}
	return m, nil
}
