package peers

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	// speedMagic starts a kind of datagram that processes of older releases drop.
	speedMagic = 0xd2
	// speedInterval is the time between two exchanges with speedFanout peers each. Two datagrams of
	// maxSpeeds engines, of 16 bytes at most, take 3.3 KB a second; what one process has measured reaches
	// hundreds in two.
	speedInterval = 300 * time.Millisecond
	speedFanout   = 2
	maxSpeeds     = 30
	// maxSpeedNews bounds the engines of which all peers are told at once, and maxNewsRate the bytes a
	// second that this takes. In a fleet of hundreds several processes have the same news, and gossip
	// carries it as fast.
	maxSpeedNews = 24
	maxNewsRate  = 700
	// maxSpeedReply bounds the datagrams that a process which has just started is sent.
	maxSpeedReply = 44
	// ratioResolution and weightResolution are those of a ratio and of a weight in a message, and
	// maxSpeedRatio and maxSpeedWeight the largest ones.
	ratioResolution  = 1.0 / 32
	weightResolution = 1.0 / 1024
	maxSpeedRatio    = 3.9
	maxSpeedWeight   = 256
)

// speedExchange is what the socket keeps of the exchange of engines' speeds.
type speedExchange struct {
	tracker  carawayspread.SpeedTracker // nil if speeds are not exchanged
	answered bool                       // a peer has handed over evidence since the start
	nextNews time.Time
}

// speedMessage is one datagram: evidence of the speed of engines.
type speedMessage struct {
	sender uint64
	asks   bool // the sender knows nothing and wants evidence at once
	speeds []carawayspread.EngineSpeed
}

// SetSpeedTracker sets the source and the receiver of evidence of the speed of engines. It must be called
// before Run and Receive.
func (s *Socket) SetSpeedTracker(t carawayspread.SpeedTracker) { s.speeds.tracker = t }

// gossipSpeeds hands evidence over to some peers, and tells all of what they must know at once. It is
// called each speedInterval.
//
// What a process of an older release is sent is lost, so evidence goes only to those that have sent some.
// A process that has heard of none sends a message without evidence, which makes it known as one.
func (s *Socket) gossipSpeeds() {
	if s.speeds.tracker == nil {
		return
	}
	targets := s.gossipTargets()
	s.mu.Lock()
	asks := !s.speeds.answered
	exchanging := s.exchangingLocked(targets)
	s.mu.Unlock()
	for _, address := range targets[:min(speedFanout, len(targets))] {
		m := speedMessage{sender: s.id, asks: asks}
		if exchanging[address] {
			m.speeds = s.speeds.tracker.SpeedShares(maxSpeeds)
		}
		s.sendBody(m.encode(), []netip.AddrPort{address})
	}
	s.tellSpeedNews()
}

// exchangingLocked returns those of the peers that exchange speeds.
func (s *Socket) exchangingLocked(of []netip.AddrPort) map[netip.AddrPort]bool {
	exchanging := map[netip.AddrPort]bool{}
	for _, p := range s.peers {
		for _, address := range of {
			if p.address == address && p.exchangesSpeeds {
				exchanging[address] = true
			}
		}
	}
	return exchanging
}

// tellSpeedNews tells all peers of engines that have become slow or usual again.
func (s *Socket) tellSpeedNews() {
	now := s.clock.Now()
	if now.Before(s.speeds.nextNews) {
		return
	}
	news := s.speeds.tracker.SpeedNews(maxSpeedNews)
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	to := s.activeLocked()
	s.mu.Unlock()
	body := speedMessage{sender: s.id, speeds: news}.encode()
	s.sendBody(body, to)
	s.speeds.nextNews = now.Add(time.Duration(len(body)*len(to)) * time.Second / maxNewsRate)
}

func (s *Socket) receiveSpeeds(body []byte) {
	m, err := decodeSpeeds(body)
	if err != nil || m.sender == s.id || s.speeds.tracker == nil {
		return
	}
	s.mu.Lock()
	p := s.peers[m.sender]
	if p != nil {
		p.exchangesSpeeds = true
	}
	s.speeds.answered = s.speeds.answered || len(m.speeds) > 0
	s.mu.Unlock()
	s.speeds.tracker.LearnSpeeds(m.speeds, s.FleetSize())
	if m.asks && p != nil { // else it asks again
		s.answerSpeeds(p.address)
	}
}

// answerSpeeds hands evidence of all engines over to a process that has just started.
func (s *Socket) answerSpeeds(to netip.AddrPort) {
	for range maxSpeedReply {
		speeds := s.speeds.tracker.SpeedShares(maxSpeeds)
		if len(speeds) > 0 {
			s.sendBody(speedMessage{sender: s.id, speeds: speeds}.encode(), []netip.AddrPort{to})
		}
		if len(speeds) < maxSpeeds {
			return
		}
	}
}

func (m speedMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{speedMagic}, m.sender)
	b = append(b, flag(m.asks))
	b = binary.AppendUvarint(b, uint64(len(m.speeds)))
	for _, e := range m.speeds {
		b = binary.BigEndian.AppendUint32(b, e.Engine)
		b = appendEvidence(b, e.Prefill.Ratio, e.Prefill.Weight)
		b = appendEvidence(b, e.Step.Ratio, e.Step.Weight)
		b = appendEvidence(b, e.Passing.Ratio, e.Passing.Weight)
	}
	return b
}

// appendEvidence appends a weight and, unless that is zero, a ratio.
func appendEvidence(b []byte, ratio, weight float64) []byte {
	w := uint64(math.Round(max(0, min(maxSpeedWeight, weight)) / weightResolution))
	b = binary.AppendUvarint(b, w)
	if w == 0 {
		return b
	}
	return append(b, byte(int8(math.Round(max(-maxSpeedRatio, min(maxSpeedRatio, ratio))/ratioResolution))))
}

func (r *reader) evidence() (ratio, weight float64) {
	weight = float64(r.count(maxSpeedWeight/weightResolution)) * weightResolution
	if weight > 0 {
		ratio = float64(int8(r.bytes(1)[0])) * ratioResolution
	}
	return ratio, weight
}

func decodeSpeeds(b []byte) (speedMessage, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.failed || first[0] != speedMagic {
		return speedMessage{}, errMalformed
	}
	m := speedMessage{sender: r.uvarint(), asks: r.flag()}
	for range r.count(maxSpeeds) {
		e := carawayspread.EngineSpeed{Engine: binary.BigEndian.Uint32(r.bytes(4))}
		e.Prefill.Ratio, e.Prefill.Weight = r.evidence()
		e.Step.Ratio, e.Step.Weight = r.evidence()
		e.Passing.Ratio, e.Passing.Weight = r.evidence()
		if r.failed {
			break
		}
		m.speeds = append(m.speeds, e)
	}
	if r.failed || len(r.b) > 0 {
		return speedMessage{}, errMalformed
	}
	return m, nil
}
