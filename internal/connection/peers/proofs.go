package peers

import (
	"encoding/binary"
	"net/netip"

	"carawayspread"
)

const (
	// proofMagic starts a kind of datagram that processes of older releases drop.
	proofMagic = 0xcd
	// maxProofs bounds the crashes of such a datagram.
	maxProofs = 24
)

// proofMessage is one datagram: crashes that the sender has proved to be none.
type proofMessage struct {
	sender  uint64
	crashes []Crash
}

// BroadcastProof queues for all peers that the endpoint provably did not crash with the request.
func (s *Socket) BroadcastProof(fingerprint uint64, id carawayspread.EndpointID) {
	s.mu.Lock()
	if len(s.proofs) < maxPending {
		s.proofs = append(s.proofs, Crash{Fingerprint: fingerprint, Endpoint: string(id), Withdrawn: true})
	}
	s.mu.Unlock()
	s.wakeSender()
}

// sendProofs sends the proofs, in as many datagrams as they need.
func (s *Socket) sendProofs(proofs []Crash, to []netip.AddrPort) {
	for len(proofs) > 0 {
		n := min(maxProofs, len(proofs))
		s.sendBody(proofMessage{sender: s.id, crashes: proofs[:n]}.encode(), to)
		proofs = proofs[n:]
	}
}

func (s *Socket) receiveProofs(body []byte, r Receiver) {
	m, err := decodeProofs(body)
	if err != nil || m.sender == s.id {
		return
	}
	for _, c := range m.crashes {
		r.RefuteCrash(c)
	}
}

func (m proofMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{proofMagic}, m.sender)
	b = binary.AppendUvarint(b, uint64(len(m.crashes)))
	for _, c := range m.crashes {
		b = binary.BigEndian.AppendUint64(b, c.Fingerprint)
		b = appendText(b, c.Endpoint)
	}
	return b
}

func decodeProofs(b []byte) (proofMessage, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.failed || first[0] != proofMagic {
		return proofMessage{}, errMalformed
	}
	m := proofMessage{sender: r.uvarint()}
	for range r.count(maxProofs) {
		m.crashes = append(m.crashes, Crash{Fingerprint: binary.BigEndian.Uint64(r.bytes(8)), Endpoint: r.text(), Withdrawn: true})
		if r.failed {
			break
		}
	}
	if r.failed || len(r.b) > 0 {
		return proofMessage{}, errMalformed
	}
	return m, nil
}
