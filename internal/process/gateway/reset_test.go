package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/raw"
)

const (
	uploadBytes = 3 << 20 // more than the buffers of all sockets hold
	readEarly   = 1000    // bytes of an upload before its answer begins
)

// earlyEndpoint answers an upload of which it has read little, without a length, and goes on in some way.
type earlyEndpoint struct {
	*raw.Server
	head, sent string
	goOn       func(conn *net.TCPConn, upload io.Reader)
	arrived    *atomic.Int32
}

func newEarlyEndpoint(t *testing.T, e *earlyEndpoint) *earlyEndpoint {
	t.Helper()
	var err error
	e.Server, err = raw.NewUnread(func(conn *net.TCPConn, req *http.Request) {
		e.arrived.Add(1)
		_, _ = io.CopyN(io.Discard, req.Body, readEarly)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: s\r\n%s\r\n%s",
			req.Header.Get("Carawayspread-Request-Id"), e.head, e.sent)
		e.goOn(conn, req.Body)
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Close)
	return e
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetAfter returns a goOn that reads that much more of the upload, waits, and resets the connection.
func resetAfter(bytes int64, wait time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, upload io.Reader) {
		_, _ = io.CopyN(io.Discard, upload, bytes)
		time.Sleep(wait)
		resetConn(conn)
	}
}

func readAll(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }

// uploadHarness is a gateway before three endpoints that answer early.
func uploadHarness(t *testing.T, head, sent string, goOn func(*net.TCPConn, io.Reader)) (b *harness, arrived *atomic.Int32) {
	t.Helper()
	b = newHarness(t)
	arrived = &atomic.Int32{}
	client := direct.New()
	t.Cleanup(client.Close)
	b.gateway.transport, b.gateway.prober = client, client
	b.gateway.clock = carawayspread.SystemClock()
	b.adopt(3, 8*time.Second)
	var endpoints []carawayspread.Endpoint
	for i := range 3 {
		e := newEarlyEndpoint(t, &earlyEndpoint{head: head, sent: sent, goOn: goOn, arrived: arrived})
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", i)), "s", "z", e.Address(), false,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
	return b, arrived
}

// adopt gives the routes of the harness another timeout, and lets their callers send uploads.
func (b *harness) adopt(version carawayspread.Version, timeout time.Duration) {
	routes := []*carawayspread.Route{
		route("safe", carawayspread.RetryIdempotent, false, 2), route("never", carawayspread.RetryNever, false, 3),
		route("resume", carawayspread.RetryResume, true, 2), route("once", carawayspread.RetryNever, true, 3),
	}
	for _, r := range routes {
		r.Timeout = timeout
	}
	b.gateway.Adopt(carawayspread.NewRouting(version, routes,
		map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1}}},
		carawayspread.CallerLimits{BodyBytes: 2 * uploadBytes}))
}

var uploadPaths = []string{"/never/x", "/safe/x", "/once/x", "/resume/x"}

func isStreamPath(path string) bool { return path == "/once/x" || path == "/resume/x" }

// Guards against a part of an answer that its caller takes for the whole: its endpoint reset the connection while
// the request was still being written. The write takes the error away, and the answer seems to end in order.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	const tries = 8
	for name, goOn := range map[string]func(*net.TCPConn, io.Reader){
		"at once":               resetAfter(0, 0),
		"1 ms later":            resetAfter(0, time.Millisecond),
		"30 ms later":           resetAfter(0, 30*time.Millisecond),
		"after 20 kB more":      resetAfter(20_000, 0),
		"after 200 kB more":     resetAfter(200_000, 0),
		"after 2 MB more":       resetAfter(2_000_000, 0),
		"closed, upload unread": func(*net.TCPConn, io.Reader) {},
		"ended in order, before": func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			resetConn(conn)
		},
	} {
		for _, path := range uploadPaths {
			t.Run(name+","+path, func(t *testing.T) {
				head, sent := "Connection: close\r\n", wholeBody[:9]
				if isStreamPath(path) {
					head, sent = head+"Content-Type: text/event-stream\r\n", wholeStream[:40]
				}
				var all sync.WaitGroup
				for range tries {
					all.Go(func() {
						b, arrived := uploadHarness(t, head, sent, goOn)
						got := receiveFor(t, b, "HTTP/1.1", path, strings.Repeat("x", uploadBytes))
						qt.Check(t, got.status >= http.StatusInternalServerError || got.end == endReset, qt.IsTrue, qt.Commentf("%+v", got))
						if path == "/never/x" || path == "/once/x" {
							qt.Check(t, arrived.Load(), qt.Equals, int32(1))
						}
						if got.status != 0 && got.status != http.StatusOK {
							qt.Check(t, got.status, qt.Equals, http.StatusBadGateway)
							qt.Check(t, got.body, qt.Contains, `"notRun":false`)
						}
					})
				}
				all.Wait()
			})
		}
	}
}

// Guards against whole answers that are refused, since they began before their request had been read.
func TestWholeAnswerToAnUploadReachesItsCaller(t *testing.T) {
	for name, goOn := range map[string]func(*net.TCPConn, io.Reader){
		"reads all, then ends":       readAll,
		"ends, then reads all":       func(conn *net.TCPConn, upload io.Reader) { _ = conn.CloseWrite(); readAll(conn, upload) },
		"has a length, and is reset": resetAfter(200_000, 0),
		"ends, reads slowly": func(conn *net.TCPConn, upload io.Reader) {
			_ = conn.CloseWrite()
			for {
				if _, err := io.CopyN(io.Discard, upload, uploadBytes/10); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		},
	} {
		for _, framing := range []carawayspread.Framing{carawayspread.FramingClose, carawayspread.FramingLength} {
			if framing == carawayspread.FramingClose && name == "has a length, and is reset" {
				continue
			}
			for _, path := range uploadPaths {
				t.Run(strings.Join([]string{name, framing.String(), path}, ","), func(t *testing.T) {
					whole := wholeBody
					if isStreamPath(path) {
						whole = wholeStream
					}
					head := "Connection: close\r\n"
					if framing == carawayspread.FramingLength {
						head = fmt.Sprintf("Content-Length: %d\r\n", len(whole))
					}
					b, arrived := uploadHarness(t, head, whole, goOn)
					got := receiveFor(t, b, "HTTP/1.1", path, strings.Repeat("x", uploadBytes))
					qt.Check(t, got.status, qt.Equals, http.StatusOK)
					qt.Check(t, got.body, qt.Equals, whole)
					qt.Check(t, got.end, qt.Not(qt.Equals), endReset)
					qt.Check(t, arrived.Load(), qt.Equals, int32(1))
				})
			}
		}
	}
}
