package framed

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"carawayspread"
)

const (
	// maxStandstill bounds how long the rest of a request may make no progress after its answer has ended.
	maxStandstill = carawayspread.MaxUnacknowledged
	// settleInterval is the time between two looks at the rest of a request.
	settleInterval = time.Millisecond
)

// Conn is a connection to an HTTP/1 server, which answers one request at a time. Reading ends with io.EOF behind an
// answer whose end nothing marks only if that is proved to be complete: the server has ended its side in order, and
// has received all of the request.
//
// After a reset, the kernel gives the error to the first call on the connection and lets all later reads end as if
// in order. That first call may be the write of a request that is still being sent. A server that is lost may also
// end its side in order, and reset the connection once more of the request arrives.
type Conn struct {
	net.Conn
	clock     carawayspread.Clock
	endOnce   sync.Once
	ended     chan struct{} // closed once nothing more can be read
	closeOnce sync.Once
	closed    chan struct{}

	mu      sync.Mutex
	latest  *Exchange // nil before the first request, and where the bytes are not those of HTTP/1
	writing bool
	failed  error // of a write
}

// Exchange is one request and its answer over a Conn.
type Exchange struct {
	conn     *Conn
	request  request
	answer   headLines
	unmarked atomic.Bool // the end of the connection is that of the answer
}

// Watch returns the connection as one to an HTTP/1 server.
func Watch(conn net.Conn, clock carawayspread.Clock) *Conn {
	return &Conn{Conn: conn, clock: clock, ended: make(chan struct{}), closed: make(chan struct{})}
}

// Begin begins a request with a body of that many bytes. It is called before the request is written, once the answer
// to the one before has arrived.
func (c *Conn) Begin(body int64) *Exchange {
	x := &Exchange{conn: c, request: request{body: body}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = x
	return x
}

// head returns what has arrived of the head of the answer.
func (x *Exchange) head() headLines {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return x.answer
}

func (c *Conn) exchange() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// Write implements net.Conn. If the server has closed the connection, it returns only once what came before that has
// been read: net/http drops an answer that it has not read when a write fails.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if c.exchange() != nil && (errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)) {
		select {
		case <-c.ended:
		case <-c.closed:
		}
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.latest != nil {
		c.latest.request.add(p[:n])
	}
	if err != nil {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x := c.exchange()
	if x != nil {
		c.mu.Lock()
		x.answer.add(p[:n])
		c.mu.Unlock()
	}
	if errors.Is(err, io.EOF) && x != nil && x.unmarked.Load() {
		err = x.proveEnd()
	}
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// proveEnd returns io.EOF once it is proved that the server has ended an answer in order, and otherwise an error that
// says why it is not. It waits for the rest of the request.
func (x *Exchange) proveEnd() error {
	c := x.conn
	acknowledged, since := int64(-1), c.clock.Now()
	for {
		sent, complete, failed := x.progress()
		unacknowledged, isReset := c.kernelState()
		switch {
		case failed != nil:
			return fmt.Errorf("%w: the request could not be written: %w", carawayspread.ErrUnproved, failed)
		case isReset:
			return fmt.Errorf("%w: the connection was reset", carawayspread.ErrUnproved)
		case complete && unacknowledged == 0:
			return io.EOF
		}
		now := c.clock.Now()
		if arrived := sent - unacknowledged; arrived != acknowledged {
			acknowledged, since = arrived, now
		}
		if now.Sub(since) > maxStandstill {
			return fmt.Errorf("%w: %d bytes of the request have arrived, and no more do", carawayspread.ErrUnproved, acknowledged)
		}
		select {
		case <-c.closed:
			return fmt.Errorf("%w: the connection was closed here", carawayspread.ErrUnproved)
		case <-c.clock.After(settleInterval):
		}
	}
}

// progress returns how many bytes of the request were written, and whether these are all.
func (x *Exchange) progress() (sent int64, complete bool, failed error) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return x.request.sent, x.request.complete() && !x.conn.writing, x.conn.failed
}

// kernelState returns how many bytes the server's host has not acknowledged, and whether the connection was reset. A
// connection of which the kernel does not tell has neither.
func (c *Conn) kernelState() (unacknowledged int64, isReset bool) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, true // it was closed
	}
	err = raw.Control(func(fd uintptr) {
		// In this order: what a reset kept from being acknowledged counts on, so that one of the two shows a reset.
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = int64(n)
		}
		polled := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(polled, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(polled, 0)
		}
		isReset = n > 0 && polled[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return unacknowledged, isReset || err != nil
}

// request is what has been written of a request.
type request struct {
	body int64 // bytes; -1 if unknown
	sent int64
	head int64 // bytes; zero until all of it was written
	tail []byte
}

var headEnd = []byte("\r\n\r\n")

func (r *request) add(p []byte) {
	if r.head == 0 {
		seen := append(r.tail, p...)
		if i := bytes.Index(seen, headEnd); i >= 0 {
			r.head = r.sent - int64(len(r.tail)) + int64(i+len(headEnd))
		}
		r.tail = bytes.Clone(seen[max(0, len(seen)-len(headEnd)+1):])
	}
	r.sent += int64(len(p))
}

// complete reports whether head and body were written.
func (r *request) complete() bool {
	return r.head > 0 && r.body >= 0 && r.sent >= r.head+r.body
}
