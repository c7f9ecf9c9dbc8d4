package peers

import (
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"
)

// Receive passes the messages of peers to the receiver until the socket is closed.
func (s *Socket) Receive(r Receiver) error {
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return trace.Wrap(err)
		}
		if n == 0 {
			continue
		}
		switch body := buffer[:n]; body[0] {
		case bundleMagic:
			for _, message := range unbundle(body) {
				s.receive(message, r)
			}
		case refusalMagic:
			s.receiveRefusals(body)
		case crashMagic:
			s.receiveCrashes(body)
		case proofMagic:
			s.receiveProofs(body, r)
		case partMagic:
			s.receiveParts(body)
		case originMagic, originQueryMagic, originReplyMagic:
			s.receiveOrigins(body)
		case witnessMagic:
			s.receiveWitness(body)
		default:
			s.receive(body, r)
		}
	}
}

// receive handles one message. A malformed message is dropped as a whole.
func (s *Socket) receive(body []byte, r Receiver) {
	m, err := decode(body)
	if err != nil || m.sender == s.id {
		return
	}
	if m.forward {
		s.queueForward(m)
	}
	s.greet(s.recordPeer(m))
	if m.status != nil {
		r.ApplyPeerStatus(m.sender, m.address.String(), *m.status)
	}
	r.ApplyLoadUpdates(strconv.FormatUint(m.sender, 36), m.updates)
	for _, c := range m.crashes {
		r.RecordCrash(c)
	}
	for _, f := range m.feedback {
		r.ApplyPeerFeedback(f)
	}
	s.receiveUsage(m, r)
}

// recordPeer updates what is known of the sender and notes the addresses that it names. It returns the processes
// to greet.
func (s *Socket) recordPeer(m message) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	p := s.peers[m.sender]
	isNew := p == nil
	if isNew {
		p = &peer{}
		s.peers[m.sender] = p
	}
	p.address, p.lastSeen = m.address, now
	s.recordMemberLocked(m.address)
	if m.status != nil {
		p.status = *m.status
	}
	for id, other := range s.peers {
		if id != m.sender && other.address == m.address {
			delete(s.peers, id) // an earlier process at this address
		}
	}
	if !s.discovered {
		s.observeFleetLocked()
	}
	delete(s.unverified, m.address)
	var named []netip.AddrPort
	for _, address := range m.knownPeers {
		if address != s.self && !s.knowsAddress(address) {
			if _, ok := s.unverified[address]; !ok {
				s.unverified[address] = now
				named = append(named, address)
			}
		}
	}
	return s.toGreetLocked(m.address, isNew, named)
}

func (s *Socket) knowsAddress(address netip.AddrPort) bool {
	for _, p := range s.peers {
		if p.address == address {
			return true
		}
	}
	return false
}
