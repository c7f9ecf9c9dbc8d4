package peers

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	// crashMagic starts a kind of datagram that processes of older releases drop.
	crashMagic = 0xcc
	// maxReports bounds the crashes of such a datagram.
	maxReports = 64
	// maxReportAge bounds the age of a reported crash.
	maxReportAge = time.Hour
	// gossipFanout is the number of peers that each heartbeat sends crashes and refusals to. What one
	// process knows reaches hundreds within a few heartbeats, at a constant cost for each.
	gossipFanout = 3
)

// CrashTracker keeps the crashes that this process and its peers have observed.
type CrashTracker interface {
	// Reports returns crashes that peers may not know, the most important first.
	Reports() []carawayspread.CrashReport
	// LearnCrash accepts a crash that a peer reports, or says why it is none.
	LearnCrash(r carawayspread.CrashReport) carawayspread.CrashVerdict
}

// crashMessage is one datagram: crashes that the sender knows of.
type crashMessage struct {
	sender  uint64
	reports []carawayspread.CrashReport
}

// SetCrashTracker sets the source and the receiver of crash reports. It must be called before Run
// and Receive.
func (s *Socket) SetCrashTracker(t CrashTracker) { s.crashTracker = t }

// gossipCrashes sends what is known of crashes to some peers. It is called with each heartbeat. A
// peer that missed the notification of a crash learns of it, and tells the sender if it knows better.
func (s *Socket) gossipCrashes(to []netip.AddrPort) {
	if s.crashTracker == nil || len(to) == 0 {
		return
	}
	reports := s.crashTracker.Reports()
	if len(reports) == 0 {
		return
	}
	s.sendBody(crashMessage{sender: s.id, reports: reports[:min(maxReports, len(reports))]}.encode(), to)
}

// gossipTargets returns random active peers.
func (s *Socket) gossipTargets() []netip.AddrPort {
	s.mu.Lock()
	to := s.activeLocked()
	s.mu.Unlock()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(gossipFanout, len(to))]
}

func (s *Socket) receiveCrashes(body []byte) {
	m, err := decodeCrashes(body)
	if err != nil || m.sender == s.id || s.crashTracker == nil {
		return
	}
	var withdrawn []Crash
	var answered []uint64
	for _, r := range m.reports {
		switch s.crashTracker.LearnCrash(r) {
		case carawayspread.CrashWithdrawn:
			withdrawn = append(withdrawn, Crash{Fingerprint: r.Fingerprint, Endpoint: string(r.Endpoint), Withdrawn: true})
		case carawayspread.CrashAnswered:
			answered = append(answered, r.Fingerprint)
		case carawayspread.CrashAccepted:
		}
	}
	s.mu.Lock()
	p := s.peers[m.sender]
	s.mu.Unlock()
	if p == nil {
		return // it will be told when it reports the crash again
	}
	to := []netip.AddrPort{p.address}
	if len(withdrawn) > 0 {
		s.send(message{sender: s.id, address: s.self, crashes: withdrawn}, to)
	}
	if len(answered) > 0 {
		s.sendBody(refusalMessage{sender: s.id, answered: answered}.encode(), to)
	}
}

func (m crashMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{crashMagic}, m.sender)
	b = binary.AppendUvarint(b, uint64(len(m.reports)))
	for _, r := range m.reports {
		b = binary.BigEndian.AppendUint64(b, r.Fingerprint)
		b = appendText(b, string(r.Endpoint))
		b = binary.AppendUvarint(b, uint64(max(0, min(maxReportAge, r.Age))/time.Millisecond))
	}
	return b
}

func decodeCrashes(b []byte) (crashMessage, error) {
	r := &reader{b: b}
	if first := r.bytes(1); r.failed || first[0] != crashMagic {
		return crashMessage{}, errMalformed
	}
	m := crashMessage{sender: r.uvarint()}
	for range r.count(maxReports) {
		m.reports = append(m.reports, carawayspread.CrashReport{
			Fingerprint: binary.BigEndian.Uint64(r.bytes(8)), Endpoint: carawayspread.EndpointID(r.text()),
			Age: time.Duration(r.count(int(maxReportAge/time.Millisecond))) * time.Millisecond,
		})
		if r.failed {
			break
		}
	}
	if r.failed || len(r.b) > 0 {
		return crashMessage{}, errMalformed
	}
	return m, nil
}
