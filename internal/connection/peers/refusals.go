package peers

import (
	"encoding/binary"
	"net/netip"
)

const (
	// refusalMagic starts a kind of datagram that processes of older releases drop.
	refusalMagic = 0xcb
	// maxRefusals bounds each list of such a datagram.
	maxRefusals = 64
)

// RefusalTracker keeps the requests that are refused here although peers may have answered them.
type RefusalTracker interface {
	// Refused returns the requests that are refused here.
	Refused() []uint64
	// RefusedByPeer accepts the requests that a peer refuses.
	RefusedByPeer(refused []uint64)
	// AnsweredByPeer records that a peer answered the request.
	AnsweredByPeer(fingerprint uint64)
}

// refusalMessage is one datagram: requests that the sender refuses, and requests that the sender
// answered although a peer refuses them.
type refusalMessage struct {
	sender            uint64
	refused, answered []uint64
}

// SetRefusalTracker sets the source and the receiver of refusals. It must be called before Run and
// Receive.
func (s *Socket) SetRefusalTracker(t RefusalTracker) { s.refusals = t }

// BroadcastAnswered notifies all peers that a request was answered which one of them refuses.
func (s *Socket) BroadcastAnswered(fingerprint uint64) {
	s.mu.Lock()
	to := s.activeLocked()
	s.mu.Unlock()
	s.sendBody(refusalMessage{sender: s.id, answered: []uint64{fingerprint}}.encode(), to)
}

// sendRefusals sends to some peers which requests are refused here. It is called with each
// heartbeat.
func (s *Socket) sendRefusals(to []netip.AddrPort) {
	if s.refusals == nil || len(to) == 0 {
		return
	}
	refused := s.refusals.Refused()
	if len(refused) == 0 {
		return
	}
	s.sendBody(refusalMessage{sender: s.id, refused: refused[:min(maxRefusals, len(refused))]}.encode(), to)
}

func (s *Socket) receiveRefusals(body []byte) {
	m, err := decodeRefusals(body)
	if err != nil || m.sender == s.id || s.refusals == nil {
		return
	}
	s.refusals.RefusedByPeer(m.refused)
	for _, fingerprint := range m.answered {
		s.refusals.AnsweredByPeer(fingerprint)
	}
}

func (m refusalMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{refusalMagic}, m.sender)
	for _, list := range [][]uint64{m.refused, m.answered} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, fingerprint := range list {
			b = binary.BigEndian.AppendUint64(b, fingerprint)
		}
	}
	return b
}

func decodeRefusals(b []byte) (refusalMessage, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.failed || first[0] != refusalMagic {
		return refusalMessage{}, errMalformed
	}
	m := refusalMessage{sender: r.uvarint()}
	for _, list := range []*[]uint64{&m.refused, &m.answered} {
		for range r.count(maxRefusals) {
			*list = append(*list, binary.BigEndian.Uint64(r.bytes(8)))
		}
	}
	if r.failed || len(r.b) > 0 {
		return refusalMessage{}, errMalformed
	}
	return m, nil
}
