package sidecar

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/standin/raw"
)

// Guards against an answer that reaches its entry as whole, empty or short, though the endpoint closed the connection
// in the middle of the head.
func TestAnswerWithACutHeadIsNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 120\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"connection": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cut int
			endpoint, err := raw.New(func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, head[:cut]) })
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(endpoint.Close)
			s := New([]Worker{{ID: "records-1", Kind: carawayspread.KindPlain, Address: endpoint.Address()}})
			for cut = range len(head) {
				w := httptest.NewRecorder()
				s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/run/records-1/receipts", strings.NewReader("{}")))
				qt.Assert(t, w.Code >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d after %q", w.Code, head[:cut]))
				qt.Assert(t, w.Header().Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeEndpointFailed))
				qt.Assert(t, w.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, "false")
			}
		})
	}
}
