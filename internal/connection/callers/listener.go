// Package callers takes the connections of callers.
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

// drainPoll is short against what a grace has left, and gives way to the goroutine that accepts.
const drainPoll = time.Millisecond

// Listener is a TCP listener that accepts who has connected before it closes.
type Listener struct {
	*net.TCPListener
	clock   carawayspread.Clock
	stopped atomic.Bool // nothing is accepted any more
}

// Listen takes connections at an IPv4 number and port.
func Listen(address string, clock carawayspread.Clock) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener), clock: clock}, nil
}

// Drain closes the listener once nobody waits to be accepted, at the latest
// when ctx ends. Accept has to go on meanwhile.
//
// The kernel resets what it has set up and nobody has accepted when a listener
// closes, though its request may have been sent already. A busy process accepts
// late, so the look is at the kernel's queue.
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

// Accept returns the next connection, or net.ErrClosed from Drain's end on.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil && l.stopped.Load() {
		return nil, net.ErrClosed
	}
	return conn, err
}

// stopIfIdle stops listening unless a connection is set up that nobody has accepted.
//
// Closing the descriptor would wait for the goroutine that accepts to let go of it, and
// connections would be set up meanwhile: the port is shut down right after the look.
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
		return false, nil // not seen: look again
	}
	return idle, errors.Join(err, failed)
}
