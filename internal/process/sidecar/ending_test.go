package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/standin/raw"
)

const (
	streamHeader = "Content-Type: text/event-stream\r\n"
	events       = "data: a\n\ndata: b\n\n"
	closing      = "data: [DONE]\n\n"
)

// endpointAnswering returns an endpoint that answers all requests with these bytes and then closes the
// connection, and its listener before that if gone is set.
func endpointAnswering(t *testing.T, bytes string, gone bool) Worker {
	t.Helper()
	var server *raw.Server
	server, err := raw.New(func(conn *net.TCPConn, req *http.Request) {
		if req.URL.Path != "/x" { // the sidecar asks for the endpoint's state
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		if gone {
			server.Close()
		}
		_, _ = io.WriteString(conn, bytes)
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	return Worker{ID: "engine-1", Kind: carawayspread.KindPlain, Address: server.Address()}
}

// run sends a request to the endpoint through a sidecar and reads the answer as an entry does.
func run(t *testing.T, w Worker) (*sidecarhttp.Answer, string, error) {
	t.Helper()
	s := New([]Worker{w})
	t.Cleanup(s.Close)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := sidecarhttp.NewClient(5 * time.Second)
	t.Cleanup(client.Close)
	answer, err := client.Do(t.Context(), sidecarhttp.Attempt{
		ID: "1", Endpoint: w.ID, Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("body"),
	})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}

func chunked(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", streamHeader, len(body), body)
}

// A stream whose chunks end in order inside its closing event is taken for complete, and one that is
// complete for broken off.
func TestStreamEndsWithItsClosingEvent(t *testing.T) {
	for name, test := range map[string]struct {
		body  string
		whole bool
	}{
		"whole":                       {events + closing, true},
		"whole, other line breaks":    {events + "data: [DONE]\r\n\r\n", true},
		"whole, a line break more":    {events + closing + "\n", true},
		"no closing event":            {events, false},
		"in the closing event's name": {events + "data: [DO", false},
		"before its line break":       {events + "data: [DONE]", false},
		"before its blank line":       {events + "data: [DONE]\n", false},
		"another event that holds it": {events + "data: [DONE] or not\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, body, err := run(t, endpointAnswering(t, chunked(test.body), false))
			qt.Check(t, body, qt.Equals, test.body)
			qt.Check(t, err == nil, qt.Equals, test.whole)
		})
	}
}

// Answers that end with their connection are taken for broken off, so that none of them is served, or
// for complete although their endpoint has crashed.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		header, body string
		gone         bool
		unmarked     bool
		crashed, cut bool
	}{
		"a body":                       {"", "who", false, true, false, false},
		"no body":                      {"", "", false, true, false, false},
		"a body, the endpoint is gone": {"", "who", true, true, true, true},
		"a whole stream":               {streamHeader, events + closing, false, true, false, false},
		"a stream without its end":     {streamHeader, events, false, true, false, true},
		"a stream inside its end":      {streamHeader, events + "data: [DONE]\n", false, true, false, true},
		"a length":                     {"Content-Length: 3\r\n", "who", false, false, false, false},
		"a length that is not reached": {"Content-Length: 4\r\n", "who", false, false, false, true},
		"no content":                   {"Content-Length: 0\r\n", "", false, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, body, err := run(t, endpointAnswering(t, "HTTP/1.1 200 OK\r\n"+test.header+"\r\n"+test.body, test.gone))
			qt.Check(t, body, qt.Equals, test.body)
			qt.Check(t, got.Unmarked, qt.Equals, test.unmarked)
			qt.Check(t, err != nil, qt.Equals, test.cut, qt.Commentf("%v", err))
			qt.Check(t, errors.Is(err, sidecarhttp.ErrCrashed), qt.Equals, test.crashed)
		})
	}
}
