package framed

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/callers"
)

// quickClock is a clock on which a pause of this package takes a second.
type quickClock struct {
	carawayspread.Clock
	now time.Time
}

func (c *quickClock) Now() time.Time { return c.now }

func (c *quickClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(time.Second)
	return time.After(d)
}

// opaqueConn is a connection of which the kernel does not tell.
type opaqueConn struct{ net.Conn }

// Guards against the end of a connection that counts as that of a whole answer, though a write has taken the error
// of a reset away, or the server has not received the request.
func TestEndOfAConnectionIsProved(t *testing.T) {
	head := []byte("POST / HTTP/1.1\r\n\r\n")
	writeAll := func(c *Conn) {
		_, err := c.Write(head)
		for n := int64(0); n < c.latest.request.body && err == nil; n += 1 << 20 {
			_, err = c.write(make([]byte, 1<<20))
		}
	}
	const long = 8 << 20 // more than the buffers of the sockets hold
	for name, test := range map[string]struct {
		body  int64
		serve func(conn *net.TCPConn, proved <-chan struct{})
		write func(c *Conn)
		err   error
		says  string
	}{
		"reset": {long, func(conn *net.TCPConn, _ <-chan struct{}) {
			_, _ = io.CopyN(io.Discard, conn, 1000)
			_ = conn.SetLinger(0)
		}, writeAll, carawayspread.ErrUnproved, ".*could not be written.*"},
		"ended in order, all received": {long, func(conn *net.TCPConn, _ <-chan struct{}) {
			_, _ = io.CopyN(io.Discard, conn, int64(len(head)+long))
		}, writeAll, io.EOF, "EOF"},
		"ended in order, reads no more": {long, func(conn *net.TCPConn, proved <-chan struct{}) {
			_ = conn.CloseWrite()
			<-proved
		}, func(c *Conn) { _, _ = c.Write(head) }, carawayspread.ErrUnproved, ".*no more do"},
	} {
		for kind, wrap := range map[string]func(net.Conn) net.Conn{
			"socket": func(c net.Conn) net.Conn { return c }, "opaque": func(c net.Conn) net.Conn { return opaqueConn{c} },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				proved := make(chan struct{})
				conn := connect(t, func(conn *net.TCPConn) { test.serve(conn, proved) })
				c := Watch(wrap(conn), &quickClock{Clock: carawayspread.SystemClock()})
				defer func() { _ = c.Close() }()
				c.Begin(test.body).unmarked.Store(true)
				test.write(c)
				_, err := c.Read(make([]byte, 1))
				close(proved)
				qt.Check(t, err, qt.ErrorIs, test.err)
				qt.Check(t, err, qt.ErrorMatches, test.says)
			})
		}
	}
}

// connect returns a connection to a server that takes little of what it does not read.
func connect(t *testing.T, serve func(conn *net.TCPConn)) *net.TCPConn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	qt.Assert(t, callers.BoundReceiveBuffers(listener.(*net.TCPListener), 8<<10), qt.IsNil)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			serve(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	return conn.(*net.TCPConn)
}

// Guards against the end of a connection that counts as that of a whole answer, though its server resets it once the
// rest of the request arrives, all of which has left this process.
func TestEndBeforeTheRequestArrivedIsNotProved(t *testing.T) {
	written := make(chan struct{})
	conn := connect(t, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-written
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	qt.Assert(t, conn.SetWriteBuffer(1<<20), qt.IsNil)
	c := Watch(conn, carawayspread.SystemClock())
	defer func() { _ = c.Close() }()
	c.Begin(256 << 10).unmarked.Store(true)
	_, err := c.Write(append([]byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, 256<<10)...))
	close(written)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, carawayspread.ErrUnproved)
	qt.Check(t, err, qt.ErrorMatches, ".*reset")
}

// Guards against an answer that is dropped since the write of its request failed before it was read.
func TestFailedWriteWaitsForTheAnswer(t *testing.T) {
	c := Watch(connect(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "answer") }), carawayspread.SystemClock())
	defer func() { _ = c.Close() }()
	c.Begin(8 << 20)
	failed := make(chan error)
	go func() {
		var err error
		for err == nil {
			_, err = c.Write(make([]byte, 1<<20))
		}
		failed <- err
	}()
	select {
	case err := <-failed:
		t.Fatalf("the write returned %v before the answer was read", err)
	case <-time.After(100 * time.Millisecond):
	}
	answer, err := io.ReadAll(c)
	qt.Check(t, string(answer), qt.Equals, "answer", qt.Commentf("%v", err))
	qt.Check(t, <-failed, qt.IsNotNil)
}
