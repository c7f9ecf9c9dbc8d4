// Package callers accepts the connections of callers.
package callers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"carawayspread"
)

// drainPoll is short compared with the rest of a grace period, and yields to the goroutine that
// accepts.
const drainPoll = time.Millisecond

// Listener is a TCP listener that accepts all pending connections before it closes.
type Listener struct {
	*net.TCPListener
	clock   carawayspread.Clock
	stopped atomic.Bool // no connection is accepted any more
	admit   func() bool // reports whether the next connection is served; nil if all are
}

// Listen listens at an IPv4 address and port.
func Listen(address string, clock carawayspread.Clock) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener), clock: clock}, nil
}

// SetAdmission sets the function that decides whether the next connection is served. Others are reset before
// anything is read from them. It must be called before Accept.
func (l *Listener) SetAdmission(admit func() bool) { l.admit = admit }

// Drain closes the listener once no connection is pending, at the latest when ctx ends. Accept must
// be called in the meantime.
//
// When a listener closes, the kernel resets the connections that are established but not accepted,
// although their requests may have been sent already. A busy process accepts late, so Drain checks
// the kernel's queue.
func (l *Listener) Drain(ctx context.Context) error {
	idle, err := l.stopIfIdle()
	for !idle && err == nil && ctx.Err() == nil {
		<-l.clock.After(drainPoll)
		idle, err = l.stopIfIdle()
	}
	if !idle {
		err = errors.Join(err, ctx.Err())
	}
	return trace.Wrap(errors.Join(err, l.Close()))
}

// Accept returns the next connection, or net.ErrClosed once Drain has closed the listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		switch {
		case err != nil && l.stopped.Load():
			return nil, net.ErrClosed
		case err != nil:
			return nil, err
		case l.admit == nil || l.admit():
			return conn, nil
		}
		_ = conn.SetLinger(0) // a reset, also if the request has arrived already
		_ = conn.Close()
	}
}

// stopIfIdle stops listening unless an established connection has not been accepted yet.
//
// Closing the descriptor would wait until the goroutine that accepts releases it, and connections
// would be established in the meantime. The socket is therefore shut down right after the check.
func (l *Listener) stopIfIdle() (idle bool, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var n int
		n, failed = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if idle = n == 0 && failed == nil; idle {
			l.stopped.Store(true)
			failed = unix.Shutdown(int(fd), unix.SHUT_RD)
		}
	})
	if errors.Is(failed, unix.EINTR) {
		return false, nil // not checked: poll again
	}
	return idle, errors.Join(err, failed)
}
