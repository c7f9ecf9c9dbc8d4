package peers

import (
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"
)

// Receive passes on what peers tell, until the socket is closed.
func (s *Socket) Receive(r Receiver) error {
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return trace.Wrap(err)
		}
		if n > 0 && buffer[0] == bundleMagic {
			for _, body := range unbundle(buffer[:n]) {
				s.receive(body, r)
			}
			continue
		}
		if n > 0 && buffer[0] == doubtMagic {
			s.receiveDoubt(buffer[:n])
			continue
		}
		s.receive(buffer[:n], r)
	}
}

// receive takes one message. One that is malformed is dropped whole.
func (s *Socket) receive(body []byte, r Receiver) {
	m, err := decode(body)
	if err != nil || m.sender == s.id {
		return
	}
	if m.forward {
		s.pass(m)
	}
	s.note(m)
	if m.presence != nil {
		r.ApplyPeerStatus(m.sender, m.address.String(), *m.presence)
	}
	r.ApplyLoadUpdates(strconv.FormatUint(m.sender, 36), m.notices)
	for _, c := range m.crashes {
		r.RecordCrash(c)
	}
	for _, f := range m.feedback {
		r.ApplyPeerFeedback(f)
	}
	s.receiveUsage(m, r)
}

func (s *Socket) note(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	p := s.peers[m.sender]
	if p == nil {
		p = &peer{}
		s.peers[m.sender] = p
	}
	p.address, p.heard = m.address, now
	if m.presence != nil {
		p.presence = *m.presence
	}
	for id, other := range s.peers {
		if id != m.sender && other.address == m.address {
			delete(s.peers, id) // the process before it at this address
		}
	}
	delete(s.rumours, m.address)
	for _, address := range m.known {
		if address != s.self && !s.hears(address) {
			if _, ok := s.rumours[address]; !ok {
				s.rumours[address] = now
			}
		}
	}
}

func (s *Socket) hears(address netip.AddrPort) bool {
	for _, p := range s.peers {
		if p.address == address {
			return true
		}
	}
	return false
}
