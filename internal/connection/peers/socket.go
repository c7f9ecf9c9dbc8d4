package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
)

const (
	// spacing is the least time between two messages to one peer. Requests
	// arrive some 20 ms apart before one process: a placement is known to the
	// others before most of them place their next.
	spacing = 4 * time.Millisecond
	// spacingPerPeer stretches it with the fleet, so that what a process
	// receives stays under some hundred messages a second.
	spacingPerPeer = 2 * time.Millisecond
	// heardLife is how long a peer that fell silent is sent to.
	heardLife = 4 * time.Second
	// countLife is how long it counts as one that shares what is allowed to
	// all: longer than any outage after which it may be back at once.
	countLife = 30 * time.Second
	// openTries bounds the search for a port that is free for both protocols.
	openTries = 16
	// waiting bounds what is not sent yet.
	waiting    = 1024
	readBuffer = 64 << 10
)

// Receiver takes what peers tell.
type Receiver interface {
	// Heard takes the placements of a peer.
	Heard(from string, notices []carawayspread.LoadUpdate)
	// Presents takes how the peer at that address stands.
	Presents(id uint64, address string, s carawayspread.PeerStatus)
	// Crashed takes a request that broke an endpoint.
	Crashed(Crash)
	// FeedbackHeard takes what an answer to a peer says of its endpoint.
	FeedbackHeard(Feedback)
	// UsageReceived takes what a peer counted, and reports whether all of it is known now.
	UsageReceived(carawayspread.UsageStatement) bool
	// Acknowledged takes note that a peer knows all that this process counted in a
	// closed window.
	Acknowledged(peer uint64, window int64)
}

type peer struct {
	address netip.AddrPort
	heard   time.Time
	// presence is what it said of itself last; zero until then.
	presence carawayspread.PeerStatus
}

// Socket is the process's end towards all peers. It is safe for concurrent use.
type Socket struct {
	conn  *net.UDPConn
	tcp   net.Listener // at the same address
	clock carawayspread.Clock
	self  netip.AddrPort
	id    uint64
	seeds []netip.AddrPort
	wake  chan struct{}
	// passes wakes what passes messages on.
	passes chan struct{}
	// presence returns how this process stands.
	presence func() carawayspread.PeerStatus
	doubter  Doubter // nil where nothing is refused

	mu      sync.Mutex
	pending []carawayspread.LoadUpdate
	crashes []Crash
	// feedback is what was not sent yet.
	feedback map[carawayspread.EndpointID]carawayspread.Feedback
	counts   map[uint32]carawayspread.LoadUpdate // newest counts told of each endpoint
	peers    map[uint64]*peer                    // by what they drew at their start
	turn     int                                 // of the processes of a zone that pass placements on
	beats    int                                 // heartbeats that were sent
	passing  [][]byte                            // messages of other zones that are not passed on yet
	rumours  map[netip.AddrPort]time.Time        // addresses that peers name and that were not heard yet
}

// Listen opens the address. The seeds are addresses of processes that may be
// there.
func Listen(address string, seeds []string, clock carawayspread.Clock) (*Socket, error) {
	self, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, tcp, err := open(self)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if bound, ok := conn.LocalAddr().(*net.UDPAddr); ok {
		self = netip.AddrPortFrom(self.Addr(), uint16(bound.Port))
	}
	s := &Socket{
		conn: conn, tcp: tcp, clock: clock, self: self, id: rand.Uint64(), wake: make(chan struct{}, 1), passes: make(chan struct{}, 1),
		presence: func() carawayspread.PeerStatus { return carawayspread.PeerStatus{} },
		feedback: map[carawayspread.EndpointID]carawayspread.Feedback{},
		counts:   map[uint32]carawayspread.LoadUpdate{}, peers: map[uint64]*peer{}, rumours: map[netip.AddrPort]time.Time{},
	}
	for _, seed := range seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil && parsed != self {
			s.seeds = append(s.seeds, parsed)
		}
	}
	return s, nil
}

// open opens one port for datagrams and for connections. Where the port is left
// to the system, the one that it gives for datagrams may be taken for
// connections; another is tried then.
func open(address netip.AddrPort) (conn *net.UDPConn, tcp net.Listener, err error) {
	for range openTries {
		if conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
			return nil, nil, err
		}
		if tcp, err = net.Listen("tcp4", conn.LocalAddr().String()); err == nil {
			return conn, tcp, nil
		}
		_ = conn.Close()
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, err
}

// Listener returns the socket for peers' connections.
func (s *Socket) Listener() net.Listener { return s.tcp }

// Known returns the addresses at which peers are or may be.
func (s *Socket) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.heardLocked()
	if len(to) == 0 {
		to = s.seeds
	}
	known := make([]string, 0, len(to))
	for _, address := range to {
		known = append(known, address.String())
	}
	return known
}

// Address returns IP number and port.
func (s *Socket) Address() string { return s.self.String() }

// Tell queues a notice for all peers. It does not block.
func (s *Socket) Tell(n carawayspread.LoadUpdate) {
	s.mu.Lock()
	s.counts[n.EndpointHash] = carawayspread.LoadUpdate{EndpointHash: n.EndpointHash, Running: n.Running, Tokens: n.Tokens}
	if len(s.pending) < waiting && len(s.peers) > 0 {
		s.pending = append(s.pending, n)
	}
	s.mu.Unlock()
	s.rouse()
}

// Crashed queues a crash for all peers.
func (s *Socket) Crashed(c Crash) {
	s.mu.Lock()
	if len(s.crashes) < waiting {
		s.crashes = append(s.crashes, c)
	}
	s.mu.Unlock()
	s.rouse()
}

func (s *Socket) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ID returns what this process drew at its start.
func (s *Socket) ID() uint64 { return s.id }

// Run sends until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	var forwarding sync.WaitGroup
	defer forwarding.Wait()
	forwarding.Go(func() { s.runForward(ctx) })
	beat := s.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat:
			s.beat()
			s.tellDoubts()
			beat = s.clock.After(heartbeat)
		case <-s.wake:
			n := s.flush()
			select {
			case <-s.clock.After(spacing + time.Duration(n)*spacingPerPeer):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// Close ends Receive, and the listener where nobody serves it.
func (s *Socket) Close() {
	_ = s.conn.Close()
	_ = s.tcp.Close()
}

// flush sends what is queued, and returns to how many. Placements go to the peers of
// the own zone and to one of each other zone, which passes them on there; what is
// told once and matters to all goes to all.
func (s *Socket) flush() int {
	zone := s.presence().Zone
	s.mu.Lock()
	m := message{sender: s.id, address: s.self, notices: s.pending, crashes: s.crashes}
	s.pending, s.crashes = nil, nil
	m.feedback = s.takeFeedbackLocked()
	to, forward := s.heardLocked(), []netip.AddrPort(nil)
	if !m.urgent() {
		s.turn++
		to, forward = s.splitLocked(zone, s.turn)
	}
	s.mu.Unlock()
	if len(m.notices) > 0 || len(m.crashes) > 0 || len(m.feedback) > 0 {
		s.send(m, to)
		m.forward = true
		s.send(m, forward)
	}
	return len(to) + len(forward)
}

// urgent reports whether the message tells what no heartbeat repeats and what keeps
// requests from being lost.
func (m message) urgent() bool {
	return len(m.crashes) > 0 || slices.ContainsFunc(m.notices, func(n carawayspread.LoadUpdate) bool { return n.SuspendedFor > 0 })
}

func (s *Socket) heardLocked() []netip.AddrPort {
	now := s.clock.Now()
	var to []netip.AddrPort
	for id, p := range s.peers {
		switch silent := now.Sub(p.heard); {
		case silent > countLife:
			delete(s.peers, id)
		case silent < heardLife:
			to = append(to, p.address)
		}
	}
	return to
}

// send sends the message, in parts where it is too long for a packet.
func (s *Socket) send(m message, to []netip.AddrPort) {
	body := m.encode()
	if len(body) > sizeLimit && len(m.notices) > 1 {
		half := len(m.notices) / 2
		s.send(message{sender: m.sender, address: m.address, notices: m.notices[:half], forward: m.forward}, to)
		m.notices = m.notices[half:]
		s.send(m, to)
		return
	}
	s.sendBody(body, to)
}

func (s *Socket) sendBody(body []byte, to []netip.AddrPort) {
	for _, address := range to {
		// A datagram that cannot be sent is as good as lost; the next
		// heartbeat makes up for it.
		_, _ = s.conn.WriteToUDPAddrPort(body, address)
	}
}
