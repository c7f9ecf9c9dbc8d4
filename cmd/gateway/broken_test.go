package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/raw"
	"carawayspread/internal/standin/rows"
)

// Guards against what an endpoint in trouble sends and its caller gets as an answer: a part of one, reset while the
// request is being written, a status that is none, a blank or a control byte in the name of a field. The whole
// gateway runs, and each answer counts as its caller's socket has it.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const fields = "Carawayspread-Request-Id: id-1\r\nCarawayspread-Server-Seal: s\r\n"
	resets := func(conn *net.TCPConn, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, 200_000)
		_ = conn.SetLinger(0)
	}
	ends := func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	type broken struct {
		answer string
		goOn   func(conn *net.TCPConn, body io.Reader)
		status int
		body   string
	}
	answers := map[string]broken{
		"reset during the upload": {"HTTP/1.1 200 OK\r\n" + fields + "\r\nthe who", resets, 502, `"notRun":false`},
		"status 000":              {"HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 9\r\n\r\nthe whole", ends, 502, `"notRun":false`},
		"blank in a name":         {"HTTP/1.1 200 OK\r\n" + fields + "X Odd: 1\r\nContent-Length: 9\r\n\r\nthe whole", ends, 502, `"notRun":false`},
		"control byte in a name":  {"HTTP/1.1 200 OK\r\n" + fields + "X\x01Odd: 1\r\nContent-Length: 9\r\n\r\nthe whole", ends, 502, `"notRun":false`},
		"another length":          {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\n\r\nthe whole", ends, 502, `"notRun":false`},
		"begun early, ends well":  {"HTTP/1.1 200 OK\r\n" + fields + "\r\nthe whole", ends, 200, "the whole"},
		"whole, then reset":       {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\nthe whole", resets, 200, "the whole"},
	}
	endpoint, err := raw.NewUnread(func(conn *net.TCPConn, req *http.Request) {
		_, _ = io.CopyN(io.Discard, req.Body, 1000)
		answer := answers[req.Header.Get("Answer")]
		_, _ = io.WriteString(conn, answer.answer)
		answer.goOn(conn, req.Body)
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(endpoint.Close)
	f := newFleet(t)
	f.store.SetBodyLimit(4 << 20)
	f.publishRoutes(2, "model")
	_ = f.store.PutServer("w", rows.Server{Service: "plain", Address: endpoint.Address(), Zone: "z", Slots: 8, State: "ready", Seq: 1})
	f.start(t)
	f.waitReady(t)
	for name, test := range answers {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", f.daemon.CallerAddress())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			sent := strings.Repeat(name[:1], 3<<20) // no two cases send the same request, which might be a suspect
			_, err = fmt.Fprintf(conn, "POST /order/%d HTTP/1.1\r\nHost: a.example\r\nAnswer: %s\r\nCarawayspread-Request-Id: id-1\r\nContent-Length: %d\r\n\r\n%s", len(name), name, len(sent), sent)
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, string(body), qt.Contains, test.body)
		})
	}
}
