package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// listen serves raw connections; handle gets each with its number.
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

// head reads the head of a request as it came.
func head(r *bufio.Reader) (string, error) {
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

// A caller's request never runs twice because of the HTTP library. The endpoint
// answers once on a kept connection, reads the second request and closes; the
// library would send a GET once more by itself on a new connection.
func TestRequestIsNeverRepeated(t *testing.T) {
	for name, method := range map[string]string{"get": http.MethodGet, "head": http.MethodHead, "post": http.MethodPost, "options": http.MethodOptions} {
		t.Run(name, func(t *testing.T) {
			var seen atomic.Int64
			to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				for i := range 2 {
					if _, err := head(r); err != nil {
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

// An endpoint gets the bytes of the caller: no header is added, no path is
// cleaned, and a body has the length that it has.
func TestRequestIsSentAsItIs(t *testing.T) {
	heads := make(chan string, 1)
	to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		text, _ := head(r)
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

// A caller is told "not run" only where that is proved: nobody listens at the
// address, so no byte was sent. Where the connection broke later it is open.
func TestUnsentIsProved(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	nobody := carawayspread.NewEndpoint("w", "s", "z", listener.Addr().String(), false)
	_ = listener.Close()
	c := New()
	defer c.Close()
	_, err = c.Send(context.Background(), nobody, get("/x"))
	qt.Check(t, errors.Is(err, carawayspread.ErrUnsent), qt.IsTrue)

	breaks := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = head(r) })
	_, err = c.Send(context.Background(), breaks, get("/x"))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, carawayspread.ErrUnsent), qt.IsFalse)
}

// The endpoint ends its work when the caller leaves: its connection closes.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	to := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		_, _ = head(r)
		_, _ = r.ReadByte()
		close(gone)
	})
	c := New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Send(ctx, to, get("/x"))
	qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still works")
	}
}

// An answer that was cut is never taken for whole, whatever its framing.
func TestCutAnswerIsNoWholeOne(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				_, _ = head(r)
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
