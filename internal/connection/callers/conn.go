package callers

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"carawayspread"
)

const (
	// A header is held as text and, parsed, in maps here and in the request that is sent on.
	headerFactor    = 3
	headerLineBytes = 256
	// The receive buffer of a connection is enlarged once a request takes wideAfter bytes, so that a long body does
	// not need a round trip for each small window. The kernel reserves twice what is set.
	wideAfter   = 128 << 10
	wideBuffer  = 128 << 10
	wideReserve = 2 * wideBuffer
)

// OpenAccount opens the account of a new connection; false refuses the connection. giveUp interrupts what is read
// from the connection.
type OpenAccount func(giveUp func()) (carawayspread.CallerAccount, bool)

// accounted is a listener whose connections are accounted for.
type accounted struct {
	net.Listener
	open OpenAccount
}

// Account returns a listener whose connections have an account each. It resets those that get none. An http.Server
// on it needs ConnState and ConnContext of this package.
func Account(l net.Listener, open OpenAccount) net.Listener { return accounted{l, open} }

// Accept returns the next connection that gets an account.
func (l accounted) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp}
		if c.account, ok = l.open(c.giveUp); ok {
			return c, nil
		}
		_ = tcp.SetLinger(0) // a reset, also if the request has arrived already
		_ = tcp.Close()
	}
}

// BoundReceiveBuffers bounds what the kernel receives for each connection that the listener accepts and that is not
// read. It sets half of what the kernel then reserves, in bytes.
func BoundReceiveBuffers(l syscall.Conn, bytes int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	return trace.Wrap(errors.Join(err, failed))
}

// conn is a connection with its account.
type conn struct {
	*net.TCPConn
	account carawayspread.CallerAccount
	inBody  atomic.Bool // the header has been parsed, and the answer not written
	givenUp atomic.Bool
	wide    bool // the receive buffer was enlarged; used by the handler of a request only
}

// giveUp interrupts what is read, now and later.
func (c *conn) giveUp() {
	c.givenUp.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline does nothing for a connection that was given up, whose deadline has passed.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.givenUp.Load() {
		return nil
	}
	err := c.TCPConn.SetReadDeadline(t)
	if c.givenUp.Load() {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Read accounts for what arrives. Its error is a timeout once the connection was given up.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.account.Arrived(n)
		if !c.inBody.Load() && c.account.Take(headerCost(p[:n])) != nil {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if c.givenUp.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// headerCost returns the memory that part of a header occupies.
func headerCost(part []byte) int64 {
	return int64(headerFactor*len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'}))
}

// Close closes the connection with its account.
func (c *conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// ConnState is the hook of an http.Server on a listener of Account.
func ConnState(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.inBody.Store(true)
	case http.StateIdle:
		own.inBody.Store(false)
		own.account.Answered()
	}
}

// AccountOf returns the account of the connection of a request with that context, whose header has been read. Requests
// of other connections have one without bounds.
func AccountOf(ctx context.Context) carawayspread.CallerAccount {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.inBody.Store(true) // net/http does not report a request that arrived with the one before
		return &requestAccount{CallerAccount: c.account, conn: c}
	}
	return unbounded{}
}

// requestAccount is the account of a request that is read.
type requestAccount struct {
	carawayspread.CallerAccount
	conn *conn
}

// Take also enlarges the receive buffer before a long body is read.
func (a *requestAccount) Take(n int64) error {
	if err := a.CallerAccount.Take(n); err != nil {
		return err
	}
	if n >= wideAfter && !a.conn.wide && a.CallerAccount.TakeForConnection(wideReserve) {
		a.conn.widen()
	}
	return nil
}

// widen enlarges the receive buffer. An error leaves it as it is.
func (c *conn) widen() {
	c.wide = true
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, wideReserve)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, wideBuffer)
	})
}

// unbounded is an account without bounds.
type unbounded struct{}

func (unbounded) Arrived(int)      {}
func (unbounded) Take(int64) error { return nil }
func (unbounded) Return(int64)     {}

func (unbounded) TakeForConnection(int64) bool { return false }
func (unbounded) Received() error              { return nil }
func (unbounded) Answered()                    {}
func (unbounded) Close()                       {}
