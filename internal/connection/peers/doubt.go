package peers

import "encoding/binary"

const (
	// doubtMagic begins a datagram of its own kind, which an older process drops.
	doubtMagic = 0xcb
	// mostDoubts bounds each list of it.
	mostDoubts = 64
)

// Doubter is what refuses requests that peers may have answered.
type Doubter interface {
	// Refused returns the requests that are refused here.
	Refused() []uint64
	// RefusedByPeer takes what a peer refuses.
	RefusedByPeer(refused []uint64)
	// AnsweredByPeer takes note that a peer answered the request.
	AnsweredByPeer(fingerprint uint64)
}

// doubt is one datagram: requests that the sender refuses, and some that it answered
// though a peer refuses them.
type doubt struct {
	sender            uint64
	refused, answered []uint64
}

// Doubt sets whose doubts are told. It is called before Run and Receive.
func (s *Socket) Doubt(d Doubter) { s.doubter = d }

// Answered tells all peers that a request was answered which one of them refuses.
func (s *Socket) Answered(fingerprint uint64) {
	s.mu.Lock()
	to := s.heardLocked()
	s.mu.Unlock()
	s.sendBody(doubt{sender: s.id, answered: []uint64{fingerprint}}.encode(), to)
}

// tellDoubts tells all peers what is refused here, as often as this process beats.
func (s *Socket) tellDoubts() {
	if s.doubter == nil {
		return
	}
	refused := s.doubter.Refused()
	if len(refused) == 0 {
		return
	}
	s.mu.Lock()
	to := s.heardLocked()
	s.mu.Unlock()
	s.sendBody(doubt{sender: s.id, refused: refused[:min(mostDoubts, len(refused))]}.encode(), to)
}

func (s *Socket) receiveDoubt(body []byte) {
	d, err := decodeDoubt(body)
	if err != nil || d.sender == s.id || s.doubter == nil {
		return
	}
	s.doubter.RefusedByPeer(d.refused)
	for _, fingerprint := range d.answered {
		s.doubter.AnsweredByPeer(fingerprint)
	}
}

func (d doubt) encode() []byte {
	b := binary.AppendUvarint([]byte{doubtMagic}, d.sender)
	for _, list := range [][]uint64{d.refused, d.answered} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, fingerprint := range list {
			b = binary.BigEndian.AppendUint64(b, fingerprint)
		}
	}
	return b
}

func decodeDoubt(b []byte) (doubt, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.bad || first[0] != doubtMagic {
		return doubt{}, errMalformed
	}
	d := doubt{sender: r.number()}
	for _, list := range []*[]uint64{&d.refused, &d.answered} {
		for range r.count(mostDoubts) {
			*list = append(*list, binary.BigEndian.Uint64(r.bytes(8)))
		}
	}
	if r.bad || len(r.b) > 0 {
		return doubt{}, errMalformed
	}
	return d, nil
}
