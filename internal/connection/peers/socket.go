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
	// sendInterval is the minimum time between two messages to one peer. Requests arrive about
	// 20 ms apart at one process, so an update reaches the others before most of them place their
	// next request.
	sendInterval = 4 * time.Millisecond
	// sendIntervalPerPeer is added for each recipient, so that a process receives no more than a
	// few hundred messages a second.
	sendIntervalPerPeer = 2 * time.Millisecond
	// activeTimeout is how long messages are still sent to a peer that has become silent.
	activeTimeout = 4 * time.Second
	// memberTimeout is how long a silent peer is remembered.
	memberTimeout = 30 * time.Second
	// shareTimeout is how long a silent process still counts as one that shares the limits of the fleet. It
	// may be cut off from its peers alone and go on with its share.
	shareTimeout = 5 * time.Minute
	// discoveryTime is how long the known number of processes may stay the same before all are known: each
	// heartbeat of a peer names others.
	discoveryTime = 2 * heartbeatInterval
	// aloneTime is how long a process that has heard of no other at all does not take itself for the only one.
	aloneTime = 30 * time.Second
	// listenAttempts bounds the search for a port that is free for both UDP and TCP.
	listenAttempts = 16
	// maxPending bounds the load updates, and likewise the crashes, that wait to be sent.
	maxPending = 1024
	readBuffer = 64 << 10
)

// Receiver handles the messages of peers.
type Receiver interface {
	// ApplyLoadUpdates handles the load updates of a peer.
	ApplyLoadUpdates(from string, updates []carawayspread.LoadUpdate)
	// ApplyPeerStatus handles the status of the peer at that address.
	ApplyPeerStatus(id uint64, address string, s carawayspread.PeerStatus)
	// RecordCrash handles a crash that a peer observed, or its withdrawal.
	RecordCrash(Crash)
	// RefuteCrash handles a crash that a peer proved to be none.
	RefuteCrash(Crash)
	// ApplyPeerFeedback handles endpoint feedback that a peer received with an answer.
	ApplyPeerFeedback(EndpointFeedback)
	// UsageReceived handles a peer's usage statement. It reports whether all of that peer's counts
	// for the window are now known.
	UsageReceived(carawayspread.UsageStatement) bool
	// Acknowledged records that a peer has all of this process's counts for a closed window.
	Acknowledged(peer uint64, window int64)
}

type peer struct {
	address  netip.AddrPort
	lastSeen time.Time
	// status is the newest status that it sent; zero if there was none.
	status carawayspread.PeerStatus
}

// Socket sends messages to all peers and receives theirs. It is safe for concurrent use.
type Socket struct {
	conn  *net.UDPConn
	tcp   net.Listener // at the same address
	clock carawayspread.Clock
	self  netip.AddrPort
	id    uint64
	start time.Time
	seeds []netip.AddrPort
	wake  chan struct{}
	// forwardWake signals runForward that messages are queued.
	forwardWake chan struct{}
	// status returns the status of this process.
	status   func() carawayspread.PeerStatus
	refusals RefusalTracker // nil if nothing is refused
	// crashTracker is nil if crashes are not reported.
	crashTracker CrashTracker
	origins      OriginTracker   // nil if the origins of streams are not exchanged
	parts        PartTracker     // nil if crashes under parts of prompts are not exchanged
	witnesses    WitnessReceiver // nil if this process is no witness of a lease
	joining      Joining
	greetings    int // sent

	mu      sync.Mutex
	pending []carawayspread.LoadUpdate
	crashes []Crash
	proofs  []Crash // crashes that are proved to be none
	// partCrashes have not been sent yet.
	partCrashes []carawayspread.PartCrash
	// feedback has not been sent yet.
	feedback     map[carawayspread.EndpointID]carawayspread.Feedback
	loads        map[uint32]carawayspread.LoadUpdate // newest load queued for each endpoint
	peers        map[uint64]*peer                    // by their random identifiers
	forwardTurn  int                                 // selects the forwarder in each zone
	heartbeats   int                                 // heartbeats sent
	queries      originQueries
	forwardQueue [][]byte                     // messages from other zones that wait to be forwarded
	largest      int                          // the largest fleet that was seen
	grownAt      time.Time                    // when largest changed
	discovered   bool                         // largest did not change for discoveryTime
	members      map[netip.AddrPort]time.Time // when something last arrived from each address
	unverified   map[netip.AddrPort]time.Time // when each address was named by a peer from which nothing has arrived yet
}

// Listen opens the address. The seeds are addresses at which other processes may run; those that
// cannot be parsed are ignored.
func Listen(address string, seeds []string, clock carawayspread.Clock) (*Socket, error) {
	self, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, tcp, err := listen(self)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if bound, ok := conn.LocalAddr().(*net.UDPAddr); ok {
		self = netip.AddrPortFrom(self.Addr(), uint16(bound.Port))
	}
	s := &Socket{
		conn: conn, tcp: tcp, clock: clock, self: self, id: rand.Uint64(), start: clock.Now(), largest: 1, grownAt: clock.Now(), wake: make(chan struct{}, 1), forwardWake: make(chan struct{}, 1),
		status:   func() carawayspread.PeerStatus { return carawayspread.PeerStatus{} },
		feedback: map[carawayspread.EndpointID]carawayspread.Feedback{},
		queries:  originQueries{waiting: map[uint64]chan carawayspread.OriginAnswer{}},
		loads:    map[uint32]carawayspread.LoadUpdate{}, peers: map[uint64]*peer{}, unverified: map[netip.AddrPort]time.Time{},
		members: map[netip.AddrPort]time.Time{}, joining: heartbeatsOnly{},
	}
	for _, seed := range seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil && parsed != self {
			s.seeds = append(s.seeds, parsed)
		}
	}
	return s, nil
}

// listen opens one port for both UDP and TCP. If the operating system chooses the port, the one
// chosen for UDP may already be in use for TCP; then another is tried.
func listen(address netip.AddrPort) (conn *net.UDPConn, tcp net.Listener, err error) {
	for range listenAttempts {
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

// Listener returns the listener for TCP connections of peers.
func (s *Socket) Listener() net.Listener { return s.tcp }

// PeerAddresses returns the addresses of the active peers, or the seeds if there are none.
func (s *Socket) PeerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.activeLocked()
	if len(to) == 0 {
		to = s.seeds
	}
	addresses := make([]string, 0, len(to))
	for _, address := range to {
		addresses = append(addresses, address.String())
	}
	return addresses
}

// Address returns the IP address and port of this process.
func (s *Socket) Address() string { return s.self.String() }

// Broadcast queues a load update for all peers. It does not block.
func (s *Socket) Broadcast(u carawayspread.LoadUpdate) {
	s.mu.Lock()
	s.loads[u.EndpointHash] = carawayspread.LoadUpdate{EndpointHash: u.EndpointHash, Running: u.Running, Tokens: u.Tokens}
	if len(s.pending) < maxPending && len(s.peers) > 0 {
		s.pending = append(s.pending, u)
	}
	s.mu.Unlock()
	s.wakeSender()
}

// BroadcastCrash queues a crash for all peers.
func (s *Socket) BroadcastCrash(c Crash) {
	s.mu.Lock()
	if len(s.crashes) < maxPending {
		s.crashes = append(s.crashes, c)
	}
	s.mu.Unlock()
	s.wakeSender()
}

func (s *Socket) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ID returns the random identifier of this process.
func (s *Socket) ID() uint64 { return s.id }

// Run sends messages and heartbeats until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	var forwarding sync.WaitGroup
	defer forwarding.Wait()
	forwarding.Go(func() { s.runForward(ctx) })
	heartbeat := s.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat:
			s.sendHeartbeat()
			targets := s.gossipTargets()
			s.sendRefusals(targets)
			s.gossipCrashes(targets)
			s.gossipParts(targets)
			heartbeat = s.clock.After(s.nextHeartbeat())
		case <-s.wake:
			n := s.flush()
			select {
			case <-s.clock.After(sendInterval + time.Duration(n)*sendIntervalPerPeer):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// Close makes Receive return, and closes the listener if no server has closed it.
func (s *Socket) Close() {
	_ = s.conn.Close()
	_ = s.tcp.Close()
}

// flush sends everything that is queued, and returns the number of recipients. Load updates go
// to the peers of this zone and to one peer of each other zone, which forwards them there. Urgent
// messages go to all peers directly.
func (s *Socket) flush() int {
	zone := s.status().Zone
	s.mu.Lock()
	m := message{sender: s.id, address: s.self, updates: s.pending, crashes: s.crashes}
	proofs, partCrashes := s.proofs, s.partCrashes
	s.pending, s.crashes, s.proofs, s.partCrashes = nil, nil, nil, nil
	m.feedback = s.takeFeedbackLocked()
	active := s.activeLocked()
	to, forward := active, []netip.AddrPort(nil)
	if !m.urgent() {
		s.forwardTurn++
		to, forward = s.recipientsLocked(zone, s.forwardTurn)
	}
	s.mu.Unlock()
	if len(m.updates) > 0 || len(m.crashes) > 0 || len(m.feedback) > 0 {
		s.send(m, to)
		m.forward = true
		s.send(m, forward)
	}
	s.sendProofs(proofs, active)
	s.sendParts(partCrashes, nil, active)
	return len(to) + len(forward)
}

// urgent reports whether the message carries information that no heartbeat repeats and that keeps
// requests from being lost.
func (m message) urgent() bool {
	return len(m.crashes) > 0 || slices.ContainsFunc(m.updates, func(u carawayspread.LoadUpdate) bool { return u.SuspendedFor > 0 })
}

// activeLocked returns the addresses of the active peers, and forgets those that have been silent for
// longer than memberTimeout.
func (s *Socket) activeLocked() []netip.AddrPort {
	now := s.clock.Now()
	var to []netip.AddrPort
	for id, p := range s.peers {
		switch silent := now.Sub(p.lastSeen); {
		case silent > memberTimeout:
			delete(s.peers, id)
		case silent < activeTimeout:
			to = append(to, p.address)
		}
	}
	return to
}

// send sends the message, split into several if it is too long for a packet.
func (s *Socket) send(m message, to []netip.AddrPort) {
	body := m.encode()
	if len(body) > maxMessageSize && len(m.updates) > 1 {
		half := len(m.updates) / 2
		s.send(message{sender: m.sender, address: m.address, updates: m.updates[:half], forward: m.forward}, to)
		m.updates = m.updates[half:]
		s.send(m, to)
		return
	}
	s.sendBody(body, to)
}

func (s *Socket) sendBody(body []byte, to []netip.AddrPort) {
	for _, address := range to {
		// A send error is treated as packet loss; the next heartbeat makes up for it.
		_, _ = s.conn.WriteToUDPAddrPort(body, address)
	}
}
