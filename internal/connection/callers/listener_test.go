package callers_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/callers"
)

// A caller has connected and sent its request, which a busy process has not accepted yet when it is
// stopped and closes its listener. The connection must be accepted first and not reset. Later ones
// must be refused.
func TestDrainAcceptsPendingConnections(t *testing.T) {
	l, err := callers.Listen("127.0.0.1:0", carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	conn, err := net.Dial("tcp4", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("request"))
	qt.Assert(t, err, qt.IsNil)
	accepted := make(chan net.Conn, 1)
	go func() {
		time.Sleep(200 * time.Millisecond)
		c, err := l.Accept()
		qt.Check(t, err, qt.IsNil)
		accepted <- c
	}()
	qt.Assert(t, l.Drain(t.Context()), qt.IsNil)
	c := <-accepted
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("answer"))
	qt.Assert(t, err, qt.IsNil)
	answer := make([]byte, 6)
	_, err = conn.Read(answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(answer), qt.Equals, "answer")
	_, err = net.Dial("tcp4", l.Addr().String())
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
}

// Nothing accepts any more. Drain must return the error of its context when that ends, and callers
// must be refused rather than left waiting.
func TestDrainEndsWithItsContext(t *testing.T) {
	l, err := callers.Listen("127.0.0.1:0", carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	conn, err := net.Dial("tcp4", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	qt.Check(t, l.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	_, err = net.Dial("tcp4", l.Addr().String())
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
}

// Guards against connections that are established while the listener closes, as the goroutine that
// accepts releases the descriptor late, and are reset although their requests were sent.
func TestDrainedListenerRefusesConnections(t *testing.T) {
	l, err := callers.Listen("127.0.0.1:0", carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	raw, err := l.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	inUse, release, drained := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() { // a use of the descriptor that has not ended, as in a late Accept
		_ = raw.Control(func(uintptr) {
			close(inUse)
			<-release
		})
	}()
	<-inUse
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	go func() { drained <- l.Drain(context.Background()) }()
	refused := false
	for end := time.Now().Add(2 * time.Second); !refused && time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp4", l.Addr().String())
		if refused = errors.Is(err, syscall.ECONNREFUSED); err == nil {
			_ = conn.Close()
		}
	}
	close(release)
	qt.Check(t, refused, qt.IsTrue, qt.Commentf("connections are established until the descriptor is released"))
	qt.Check(t, <-drained, qt.IsNil)
	_, err = l.Accept()
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
}

// A process that cannot serve more reads requests all the same, or leaves their callers waiting: what it does
// not admit must be reset, and what it admits later must be served.
func TestConnectionThatIsNotAdmittedIsReset(t *testing.T) {
	l, err := callers.Listen("127.0.0.1:0", carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	n := 0
	l.SetAdmission(func() bool { n++; return n > 2 })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		qt.Check(t, err, qt.IsNil)
		accepted <- c
	}()
	for range 2 {
		conn, err := net.Dial("tcp4", l.Addr().String())
		if err == nil { // else the reset was there before the dial returned
			_, written := conn.Write([]byte("request"))
			_, read := conn.Read(make([]byte, 1))
			err = errors.Join(written, read)
			_ = conn.Close()
		}
		qt.Check(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), qt.IsTrue, qt.Commentf("%v", err))
	}
	conn, err := net.Dial("tcp4", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	qt.Check(t, <-accepted, qt.IsNotNil)
}
