// Package relay forwards TCP connections between two programs on loopback and injects
// network faults.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
)

// Fault is a network fault.
type Fault int32

// Faults. The zero value forwards everything.
const (
	None    Fault = iota
	Delayed       // everything arrives late
	Silent        // connections stay open, and nothing arrives
	OneWay        // requests arrive, responses don't
	Refused       // new and open connections are reset
)

const (
	// addedDelay is a round trip between distant regions.
	addedDelay = 150 * time.Millisecond
	// faultPollInterval is short compared with every fault.
	faultPollInterval = 10 * time.Millisecond
	// bufferSize holds a complete answer of the stand-ins, so that it arrives at once.
	bufferSize  = 16 << 10
	bitsPerByte = 8
)

// Relay forwards connections to one address until it is closed.
type Relay struct {
	clock         carawayspread.Clock
	listener      net.Listener
	target        atomic.Pointer[string]
	fault         atomic.Int32
	responseBytes atomic.Int64

	mu        sync.Mutex
	conns     map[net.Conn]bool
	bandwidth float64   // bits per second of all responses; zero is unbounded
	freeAt    time.Time // when the responses read so far have been sent
}

// New starts a relay to an address.
func New(target string, clock carawayspread.Clock) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{clock: clock, listener: listener, conns: map[net.Conn]bool{}}
	r.SetTarget(target)
	go r.serve()
	return r, nil
}

// Address returns the IP address and port of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget forwards new connections to another address.
func (r *Relay) SetTarget(address string) { r.target.Store(&address) }

// SetFault applies a fault to open and new connections from now on.
func (r *Relay) SetFault(fault Fault) {
	r.fault.Store(int32(fault))
	if fault == Refused {
		r.resetAll()
	}
}

// LimitBandwidth bounds the bits per second of all responses together; zero removes the bound.
func (r *Relay) LimitBandwidth(bits float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bandwidth, r.freeAt = bits, r.clock.Now()
}

// ResponseBytes returns how many bytes of responses were forwarded.
func (r *Relay) ResponseBytes() int64 { return r.responseBytes.Load() }

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.resetAll()
}

func (r *Relay) currentFault() Fault { return Fault(r.fault.Load()) }

func (r *Relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset, so that its peer sees no regular end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.currentFault() == Refused {
			reset(conn)
			continue
		}
		go r.forward(conn)
	}
}

func (r *Relay) forward(conn net.Conn) {
	upstream, err := net.Dial("tcp4", *r.target.Load())
	if err != nil {
		reset(conn)
		return
	}
	r.track(conn, upstream)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(upstream, conn, true) })
	directions.Go(func() { r.copy(conn, upstream, false) })
	directions.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	delete(r.conns, upstream)
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = true
	}
}

// copy forwards what one side sends, and its end of stream.
func (r *Relay) copy(to, from net.Conn, isRequest bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.applyFault(isRequest)
			if !isRequest {
				r.throttle(n)
				r.responseBytes.Add(int64(n))
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// applyFault blocks while the current fault delays or withholds data.
func (r *Relay) applyFault(isRequest bool) {
	if r.currentFault() == Delayed {
		<-r.clock.After(addedDelay)
	}
	for fault := r.currentFault(); fault == Silent || fault == OneWay && !isRequest; fault = r.currentFault() {
		<-r.clock.After(faultPollInterval)
	}
}

// throttle blocks until the bandwidth allows n more bytes of responses.
func (r *Relay) throttle(n int) {
	r.mu.Lock()
	if r.bandwidth == 0 {
		r.mu.Unlock()
		return
	}
	now := r.clock.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(time.Duration(float64(n) * bitsPerByte / r.bandwidth * float64(time.Second)))
	wait := r.freeAt.Sub(now)
	r.mu.Unlock()
	<-r.clock.After(wait)
}
