package peers

import (
	"net/netip"
	"time"
)

// greetingNames is how many peers a greeting names: more than a heartbeat, as its receiver has just started.
const greetingNames = 16

// Joining decides when to tell a peer of this process without waiting for the next heartbeat.
type Joining interface {
	// Named reports whether to greet a process that a peer named and that has not been heard.
	Named(address string) bool
	// Heard reports whether to answer a process that is heard for the first time.
	Heard(address string) bool
	// Interval returns the time until the next heartbeat, which is usual if other processes were heard.
	Interval(usual time.Duration, heard bool) time.Duration
}

// heartbeatsOnly is the Joining of a process that waits for heartbeats.
type heartbeatsOnly struct{}

func (heartbeatsOnly) Named(string) bool                                  { return false }
func (heartbeatsOnly) Heard(string) bool                                  { return false }
func (heartbeatsOnly) Interval(usual time.Duration, _ bool) time.Duration { return usual }

// SetJoining sets how processes that have just started find one another. It must be called before Run and Receive.
func (s *Socket) SetJoining(j Joining) { s.joining = j }

// toGreetLocked returns whom to greet after a message of a sender, which is new if it was not heard before, and
// that names these addresses for the first time.
func (s *Socket) toGreetLocked(sender netip.AddrPort, isNew bool, named []netip.AddrPort) []netip.AddrPort {
	var to []netip.AddrPort
	if isNew && s.joining.Heard(sender.String()) {
		to = append(to, sender)
	}
	for _, address := range named {
		if s.joining.Named(address.String()) {
			to = append(to, address)
		}
	}
	return to
}

// greet sends the status of this process, its load at all endpoints and the names of some peers: a heartbeat, also
// to older processes.
func (s *Socket) greet(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	status := s.status()
	s.mu.Lock()
	s.greetings += len(to)
	status.FleetSize = s.fleetSizeLocked()
	m := message{sender: s.id, address: s.self, status: &status, knownPeers: sample(s.activeLocked(), greetingNames)}
	for _, n := range s.loads {
		m.updates = append(m.updates, n)
	}
	s.mu.Unlock()
	s.send(m, to)
}

// Greetings returns the number of greetings that were sent.
func (s *Socket) Greetings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.greetings
}

// nextHeartbeat returns the time until the next heartbeat.
func (s *Socket) nextHeartbeat() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joining.Interval(heartbeatInterval, len(s.peers) > 0 || len(s.seeds) == 0)
}
