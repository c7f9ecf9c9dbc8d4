package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// listen accepts raw connections and calls handle with each, numbered from 1.
func listen(t *testing.T, handle func(n int64, conn net.Conn, r *bufio.Reader)) carawayspread.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	var count atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := count.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return carawayspread.NewEndpoint("w", "s", "z", listener.Addr().String(), false)
}

// readHead returns the request line and the headers as received.
func readHead(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return b.String(), err
		}
		b.WriteString(line)
		if line == "\r\n" {
			return b.String(), nil
		}
	}
}

func get(target string) carawayspread.Outbound {
	return carawayspread.Outbound{Method: http.MethodGet, Target: target, Host: "a.example", Header: http.Header{"X-A": {"1"}}}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a request that runs twice because the HTTP library retries it. The endpoint answers
// one request on a persistent connection, reads the second and closes the connection; the library
// would retry a GET by itself on a new connection.
func TestRequestIsNeverRetried(t *testing.T) {
	for name, method := range map[string]string{"get": http.MethodGet, "head": http.MethodHead, "post": http.MethodPost, "options": http.MethodOptions} {
		t.Run(name, func(t *testing.T) {
			var seen atomic.Int64
			to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				for i := range 2 {
					if _, err := readHead(r); err != nil {
						return
					}
					seen.Add(1)
					if i == 0 {
						_, _ = io.WriteString(conn, ok)
					}
				}
			})
			c := New()
			defer c.Close()
			reply, err := c.Send(context.Background(), to, get("/first"))
			qt.Assert(t, err, qt.IsNil)
			_, _ = io.Copy(io.Discard, reply.Body)
			_ = reply.Body.Close()
			out := get("/second")
			out.Method = method
			out.Header = http.Header{"Idempotency-Key": {"k"}}
			_, err = c.Send(context.Background(), to, out)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, carawayspread.ErrUnsent), qt.IsFalse, qt.Commentf("it may have run"))
			qt.Check(t, seen.Load(), qt.Equals, int64(2))
		})
	}
}

// An endpoint receives the request of the caller unmodified: no header is added, the path is not
// normalized, and the length of the body is stated.
func TestRequestIsSentUnmodified(t *testing.T) {
	heads := make(chan string, 1)
	to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		text, _ := readHead(r)
		heads <- text
		_, _ = io.WriteString(conn, ok)
	})
	c := New()
	defer c.Close()
	out := get("/a//b/../%2e%2F?x=%20&&y")
	out.Method, out.Body = http.MethodPost, []byte("four")
	reply, err := c.Send(context.Background(), to, out)
	qt.Assert(t, err, qt.IsNil)
	_ = reply.Body.Close()
	qt.Check(t, <-heads, qt.Equals, "POST /a//b/../%2e%2F?x=%20&&y HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nX-A: 1\r\n\r\n")
}

// A request is reported as not sent only if that is certain: nothing listens at the address, so no
// byte was sent. If the connection breaks later, it is unknown whether the request ran.
func TestUnsentOnlyWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	unused := carawayspread.NewEndpoint("w", "s", "z", listener.Addr().String(), false)
	_ = listener.Close()
	c := New()
	defer c.Close()
	_, err = c.Send(context.Background(), unused, get("/x"))
	qt.Check(t, errors.Is(err, carawayspread.ErrUnsent), qt.IsTrue)

	disconnecting := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = readHead(r) })
	_, err = c.Send(context.Background(), disconnecting, get("/x"))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, carawayspread.ErrUnsent), qt.IsFalse)
}

// Cancelling a request closes the connection, so that the endpoint stops its work.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	to := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		_, _ = readHead(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	c := New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Send(ctx, to, get("/x"))
	qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still runs the request")
	}
}

// A truncated answer is never taken for a complete one, with either framing.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				_, _ = readHead(r)
				_, _ = io.WriteString(conn, answer)
			})
			c := New()
			defer c.Close()
			reply, err := c.Send(context.Background(), to, get("/x"))
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadAll(reply.Body)
			qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
		})
	}
}

// An endpoint that is running must be told from one that has ended, and from one that cannot be
// reached: the first was wrongly suspected of a crash, of the last nothing is known.
func TestProbe(t *testing.T) {
	c := New()
	defer c.Close()
	running := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	qt.Check(t, c.Probe(context.Background(), running), qt.IsNil)

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ended := carawayspread.NewEndpoint("w", "s", "z", listener.Addr().String(), false)
	_ = listener.Close()
	qt.Check(t, c.Probe(context.Background(), ended), qt.ErrorIs, carawayspread.ErrNotListening)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err = c.Probe(ctx, ended)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, carawayspread.ErrNotListening), qt.IsFalse)
}

// The age of a connection is that of the request sent over it, so that an endpoint that has started
// anew seems to have kept running.
func TestReplyStatesTheAgeOfItsConnection(t *testing.T) {
	to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := readHead(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, ok)
		}
	})
	clock := clockwork.NewFakeClock()
	c := New(WithClock(clock))
	defer c.Close()
	connectedAt := clock.Now()
	for range 2 {
		reply, err := c.Send(context.Background(), to, get("/x"))
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
		qt.Check(t, reply.ConnectedAt, qt.Equals, connectedAt)
		clock.Advance(time.Second)
	}
	c.Close()
	reply, err := c.Send(context.Background(), to, get("/x"))
	qt.Assert(t, err, qt.IsNil)
	_ = reply.Body.Close()
	qt.Check(t, reply.ConnectedAt, qt.Equals, connectedAt.Add(2*time.Second))
}

// Guards against a process that runs out of memory by heads that fit into the bytes of one and hold thousands of
// fields, which take twenty times as much. The connection is not used again.
func TestHeadOfManyFieldsIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		fields, length int
		taken          bool
	}{
		"some fields":    {100, 100, true},
		"one long field": {1, 60 << 10, true},
		"thousands":      {5000, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				connections.Add(1)
				for {
					if _, err := readHead(r); err != nil {
						return
					}
					var b strings.Builder
					b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
					for i := range c.fields {
						b.WriteString("X" + strconv.Itoa(i) + ": " + strings.Repeat("x", c.length) + "\r\n")
					}
					_, _ = io.WriteString(conn, b.String()+"\r\n")
				}
			})
			client := New()
			defer client.Close()
			for range 3 {
				_, err := client.Send(context.Background(), to, get("/x"))
				qt.Check(t, err == nil, qt.Equals, c.taken, qt.Commentf("%v", err))
				qt.Check(t, errors.Is(err, carawayspread.ErrEndless), qt.Equals, !c.taken)
			}
			if !c.taken {
				qt.Check(t, connections.Load(), qt.Equals, int64(3))
			}
		})
	}
}
