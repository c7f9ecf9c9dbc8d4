package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/intake"
)

// accountedServer is a server whose handler counts the requests that it is given.
type accountedServer struct {
	address string
	intake  *intake.Intake
	handled atomic.Int64
}

func startAccounted(t *testing.T, bytes int64, maxOpen int) *accountedServer {
	t.Helper()
	a := &accountedServer{intake: intake.New(bytes, carawayspread.SystemClock())}
	in := a.intake
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { a.handled.Add(1) })
	s, err := Listen("127.0.0.1:0", handler, WithBodyLimit(bytes), WithAccounts(in.Listener(maxOpen).Open, 4<<10))
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	t.Cleanup(func() {
		qt.Check(t, s.http.Close(), qt.IsNil)
		qt.Check(t, <-ended, qt.IsNil)
		qt.Check(t, in.Used(), qt.Equals, int64(0))
	})
	a.address = s.Address()
	return a
}

func (a *accountedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", a.address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends a request that states a length and has part of its body.
func send(t *testing.T, conn net.Conn, length, sent int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	qt.Assert(t, err, qt.IsNil)
}

func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Check(t, err, qt.IsNil)
	return resp.StatusCode
}

// A body that stands still fills the memory. The next request is served, and the caller of the first one is told that
// it was refused; it never reaches the handler, although its last byte comes after all.
func TestRequestThatIsGivenUpIsRefusedAndNotHandled(t *testing.T) {
	a := startAccounted(t, 256<<10, 10)
	stalled, ordinary := a.dial(t), a.dial(t)
	send(t, stalled, 64<<10, 64<<10-1)
	for a.intake.Used() < 64<<10 { // all of it has arrived
		time.Sleep(time.Millisecond)
	}
	for n := range 20 {
		send(t, ordinary, 80<<10, 80<<10)
		qt.Assert(t, status(t, ordinary), qt.Equals, http.StatusOK, qt.Commentf("request %d", n))
	}
	qt.Check(t, status(t, stalled), qt.Equals, http.StatusServiceUnavailable)
	_, _ = stalled.Write([]byte("x"))
	_, err := stalled.Read(make([]byte, 1))
	qt.Check(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, a.handled.Load(), qt.Equals, int64(20))
}

// An idle connection is closed for a new one; a request that it gets at the same moment must not be handled without an
// answer.
func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	a := startAccounted(t, 64<<10, 1)
	idle := a.dial(t)
	send(t, idle, 1, 1)
	qt.Assert(t, status(t, idle), qt.Equals, http.StatusOK)
	waitIdle := time.Now().Add(10 * time.Second)
	for served := false; !served; {
		conn := a.dial(t)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		}
		served = err == nil
		qt.Assert(t, served || time.Now().Before(waitIdle), qt.IsTrue, qt.Commentf("%v", err))
	}
	_, err := idle.Read(make([]byte, 1))
	qt.Check(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// A header of many short lines takes many times its bytes once it is parsed.
func TestHeaderOfManyLinesIsAccountedFor(t *testing.T) {
	a := startAccounted(t, 64<<10, 10)
	conn := a.dial(t)
	var lines strings.Builder
	for n := range 2000 {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+lines.String()+"\r\n")
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, a.handled.Load(), qt.Equals, int64(0))
}
