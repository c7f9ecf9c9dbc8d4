// Package relay stands between two programs on loopback and makes the way
// between them fail as networks do.
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

// Fault is what the way does to what is sent over it.
type Fault int32

// Faults. The zero value passes everything on.
const (
	None    Fault = iota
	Delayed       // everything comes late
	Silent        // connections stay open, and nothing comes through
	OneWay        // what is sent arrives, what is answered does not
	Refused       // new connections are reset, and so are open ones
)

const (
	// lateBy is a round trip between regions that are far apart.
	addedDelay = 150 * time.Millisecond
	// faultPoll is short against every fault.
	faultPollInterval = 10 * time.Millisecond
	// blockSize holds a whole answer of the stand-ins, so that it comes at once.
	bufferSize  = 16 << 10
	bitsPerByte = 8
)

// Relay passes connections on to one address until it is closed.
type Relay struct {
	clock         carawayspread.Clock
	listener      net.Listener
	target        string
	fault         atomic.Int32
	responseBytes atomic.Int64

	mu        sync.Mutex
	conns     map[net.Conn]bool
	bandwidth float64   // bits a second of all answers; zero for no bound
	freeAt    time.Time // when the answers that were read are through
}

// New opens a relay to an address.
func New(target string, clock carawayspread.Clock) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{clock: clock, listener: listener, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Address returns IP number and port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault has the way fail so from now on.
func (r *Relay) SetFault(fault Fault) {
	r.fault.Store(int32(fault))
	if fault == Refused {
		r.resetAll()
	}
}

// LimitBandwidth bounds the bits a second of all answers together; zero ends the bound.
func (r *Relay) LimitBandwidth(bits float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bandwidth, r.freeAt = bits, r.clock.Now()
}

// ResponseBytes returns the bytes of answers that were passed on.
func (r *Relay) ResponseBytes() int64 { return r.responseBytes.Load() }

// Close ends the relay and its connections.
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

// reset closes a connection so that its peer sees that it was not ended.
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
	upstream, err := net.Dial("tcp4", r.target)
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

// copy passes on what one side sends, and its end.
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

// wait returns when what was read may go on.
func (r *Relay) applyFault(isRequest bool) {
	if r.currentFault() == Delayed {
		<-r.clock.After(addedDelay)
	}
	for fault := r.currentFault(); fault == Silent || fault == OneWay && !isRequest; fault = r.currentFault() {
		<-r.clock.After(faultPollInterval)
	}
}

// queue returns when that many bytes are through behind what came before.
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
