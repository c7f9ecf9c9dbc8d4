package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/standin/raw"
)

// upload sends a request with a body that is larger than the buffers of all sockets to an endpoint, through a sidecar,
// and reads the answer as an entry does.
func upload(t *testing.T, answer func(server *raw.Server, conn *net.TCPConn, upload io.Reader)) (status int, body string, err error) {
	t.Helper()
	const size = 3 << 20
	var server *raw.Server
	server, err = raw.NewUnread(func(conn *net.TCPConn, req *http.Request) {
		if req.URL.Path != "/x" { // the sidecar asks for the endpoint's state
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, 1000)
		answer(server, conn, req.Body)
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	s := New([]Worker{{ID: "engine-1", Kind: carawayspread.KindPlain, Address: server.Address()}})
	t.Cleanup(s.Close)
	serving := httptest.NewServer(s)
	t.Cleanup(serving.Close)
	client := sidecarhttp.NewClient(5 * time.Second)
	t.Cleanup(client.Close)
	got, err := client.Do(t.Context(), sidecarhttp.Attempt{
		ID: "1", Endpoint: "engine-1", Address: serving.Listener.Addr().String(), Method: http.MethodPost, Path: "/x", Header: http.Header{},
		Body: []byte(strings.Repeat("x", size)),
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	return got.Status, string(text), err
}

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// Guards against a part of an answer that counts as complete: its endpoint reset the connection while the request was
// still being written, or ended it in order and was lost.
func TestAnswerThatIsNotProvedIsNotComplete(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }
	for name, goOn := range map[string]func(*raw.Server, *net.TCPConn, io.Reader){
		"reset at once": func(_ *raw.Server, conn *net.TCPConn, _ io.Reader) { reset(conn) },
		"reset after 200 kB more": func(_ *raw.Server, conn *net.TCPConn, upload io.Reader) {
			_, _ = io.CopyN(io.Discard, upload, 200_000)
			reset(conn)
		},
		"ended in order, then reset": func(_ *raw.Server, conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		},
		"lost with its machine": func(server *raw.Server, _ *net.TCPConn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			qt.Check(t, server.Hang(), qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var all sync.WaitGroup
			for range 8 {
				all.Go(func() {
					status, body, err := upload(t, func(server *raw.Server, conn *net.TCPConn, upload io.Reader) {
						_, _ = io.WriteString(conn, unframed+"the who")
						goOn(server, conn, upload)
					})
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d %q", status, body))
				})
			}
			all.Wait()
		})
	}
}

// Guards against whole answers that count as broken off, since they began before their request had been read.
func TestWholeAnswerToAnUploadIsComplete(t *testing.T) {
	readAll := func(_ *raw.Server, _ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }
	for name, test := range map[string]struct {
		head, body string
		goOn       func(*raw.Server, *net.TCPConn, io.Reader)
	}{
		"reads all, then ends": {unframed, "the whole", readAll},
		"ends, then reads all": {unframed, "the whole", func(s *raw.Server, conn *net.TCPConn, upload io.Reader) {
			_ = conn.CloseWrite()
			readAll(s, conn, upload)
		}},
		"has a length": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "the whole", readAll},
		"ends with its closing event, and is reset": {
			strings.Replace(unframed, "\r\n", "\r\n"+streamHeader, 1), events + closing,
			func(_ *raw.Server, conn *net.TCPConn, _ io.Reader) {
				_ = conn.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetLinger(0)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := upload(t, func(server *raw.Server, conn *net.TCPConn, upload io.Reader) {
				_, _ = io.WriteString(conn, test.head+test.body)
				test.goOn(server, conn, upload)
			})
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, fmt.Sprint(status, " ", body), qt.Equals, "200 "+test.body)
		})
	}
}

// Guards against a head that is none of an answer and is passed on: by its status, a blank in the name of a field, also
// of one that frames the body, and chunks of a version without them.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n",
		"status 099":               "HTTP/1.1 099 OK\r\n",
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\n",
		"status 600":               "HTTP/1.1 600 OK\r\n",
		"another version":          "HTTP/2.0 200 OK\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
		"blank before a name":      "HTTP/1.1 200 OK\r\nX-Seal: s\r\n X-Odd: 1\r\n",
		"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
		"a length":                 "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
		"chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"chunks of another length": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding : chunked\r\n",
		"chunks of version 1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			worker := endpointAnswering(t, head+"\r\n5\r\nhello\r\n0\r\n\r\n", false)
			s := New([]Worker{worker})
			t.Cleanup(s.Close)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/run/engine-1/x", strings.NewReader("{}")))
			qt.Check(t, w.Code, qt.Equals, http.StatusBadGateway)
			qt.Check(t, w.Header().Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeEndpointFailed))
			qt.Check(t, w.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, "false")
			qt.Check(t, w.Header().Get(sidecarhttp.HeaderCrashed), qt.Equals, "")
		})
	}
}
