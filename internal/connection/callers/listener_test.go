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

// A caller has connected and sent its request; the process, busy, has not
// accepted it yet when it is told to end and closes its port. The caller is
// accepted first, and its connection is not reset. Later ones are refused.
func TestClosingAcceptsWhoWaits(t *testing.T) {
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

// Nobody accepts any more. Who drains learns it when its time is over, and
// callers are refused rather than left to wait.
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

// Guards against a caller that is connected by a port which is about to close, since the
// goroutine that accepts is late in letting go of it, and is reset with its request sent.
func TestPortTakesNobodyOnceItHasDrained(t *testing.T) {
	l, err := callers.Listen("127.0.0.1:0", carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	raw, err := l.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	using, late, drained := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() { // a use of the port that has not ended, as a late Accept is
		_ = raw.Control(func(uintptr) {
			close(using)
			<-late
		})
	}()
	<-using
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
	close(late)
	qt.Check(t, refused, qt.IsTrue, qt.Commentf("the port takes connections until it is let go of"))
	qt.Check(t, <-drained, qt.IsNil)
	_, err = l.Accept()
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
}
