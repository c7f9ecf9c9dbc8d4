package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/raw"
)

// answeredWith sends one request to a gateway before three endpoints that all answer with these bytes. It returns the
// caller's answer and how many requests arrived at endpoints.
func answeredWith(t *testing.T, path, answer string) (b *harness, got received, arrived int32) {
	t.Helper()
	var count atomic.Int32
	b = newHarness(t)
	client := direct.New()
	t.Cleanup(client.Close)
	b.gateway.transport, b.gateway.prober = client, client
	b.gateway.clock = carawayspread.SystemClock()
	var endpoints []carawayspread.Endpoint
	for _, id := range []carawayspread.EndpointID{"w0", "w1", "w2"} {
		server, err := raw.New(func(conn *net.TCPConn, _ *http.Request) {
			count.Add(1)
			_, _ = io.WriteString(conn, answer)
		})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		endpoints = append(endpoints, carawayspread.NewEndpoint(id, "s", "z", server.Address(), false,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
	got = receive(t, b, "HTTP/1.1", path)
	return b, got, count.Load()
}

// isMalformed checks that an answer of endpoints did not reach the caller, who got a final answer that does not say
// that the request has not run.
func isMalformed(t *testing.T, b *harness, path string, got received, arrived int32) {
	t.Helper()
	b.log.Flush()
	qt.Check(t, b.lines.String(), qt.Contains, "malformed")
	qt.Check(t, got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%+v", got))
	qt.Check(t, got.body, qt.Contains, `"notRun":false`)
	want := int32(1)
	if path == "/safe/x" || path == "/resume/x" {
		want = 2 // as its route allows
	}
	qt.Check(t, arrived, qt.Equals, want)
}

const (
	answerFields = "Carawayspread-Request-Id: id-1\r\nCarawayspread-Server-Seal: s\r\n"
	tenBytes     = "0123456789"
)

// Guards against an answer whose status is none: it was relayed, or it ended the request without an answer, as
// net/http writes no such status.
func TestAnswerWithoutAStatusIsNotRelayed(t *testing.T) {
	lines := map[string]string{"switching protocols": "HTTP/1.1 101 Switching Protocols", "another version": "HTTP/2.0 200 OK", "version 0.9": "HTTP/0.9 200 OK"}
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "-00", "600", "999", "1000", "20", "2", "abc", "2 0", "0x1", ""} {
		lines[status] = "HTTP/1.1 " + status + " OK"
	}
	for name, line := range lines {
		for _, path := range uploadPaths {
			t.Run(name+path, func(t *testing.T) {
				b, got, arrived := answeredWith(t, path, line+"\r\n"+answerFields+"Content-Length: 10\r\n\r\n"+tenBytes)
				isMalformed(t, b, path, got, arrived)
			})
		}
	}
}

// Guards against answers that are refused for a status that is one.
func TestAnswerWithARareStatusIsRelayed(t *testing.T) {
	for _, status := range []string{"200", "203", "299", "300", "404", "418", "499", "599"} {
		t.Run(status, func(t *testing.T) {
			_, got, arrived := answeredWith(t, "/never/x", "HTTP/1.1 "+status+"\r\n"+answerFields+"Content-Length: 10\r\n\r\n"+tenBytes)
			qt.Check(t, strconv.Itoa(got.status), qt.Equals, status)
			qt.Check(t, got.body, qt.Equals, tenBytes)
			qt.Check(t, arrived, qt.Equals, int32(1))
		})
	}
}
