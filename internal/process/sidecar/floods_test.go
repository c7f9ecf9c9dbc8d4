package sidecar

import (
	"fmt"
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

// Guards against a sidecar that runs out of memory: engines send long heads, each of megabytes, to many requests at
// once.
func TestLongHeadOfAnEndpointIsNotHeld(t *testing.T) {
	for name, head := range map[string]string{
		"a line":           "HTTP/1.1 200 OK\r\nX-More: " + strings.Repeat("x", 1<<20) + "\r\n",
		"fields":           "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: 1\r\n", 100<<10),
		"a status line":    "HTTP/1.1 200 " + strings.Repeat("x", 1<<20) + "\r\n",
		"an interim head":  "HTTP/1.1 103 X\r\nX-More: " + strings.Repeat("x", 1<<20) + "\r\n\r\nHTTP/1.1 200 OK\r\n",
		"many interim":     strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 100<<10) + "HTTP/1.1 200 OK\r\n",
		"just long enough": "HTTP/1.1 200 OK\r\nX-More: " + strings.Repeat("x", sidecarhttp.MaxHeaderBytes-200) + "\r\n",
	} {
		for method, class := range map[string]bool{http.MethodGet: false, http.MethodPost: true} {
			t.Run(fmt.Sprint(name, ",", method), func(t *testing.T) {
				endpoint, err := raw.New(func(conn *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
				})
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(endpoint.Close)
				s := New([]Worker{{ID: "records-1", Kind: carawayspread.KindPlain, Address: endpoint.Address()}})
				t.Cleanup(s.Close)
				w := httptest.NewRecorder()
				r := httptest.NewRequest(method, "/run/records-1/x", nil)
				r.Close = class
				s.ServeHTTP(w, r)
				if name == "just long enough" {
					qt.Check(t, w.Code, qt.Equals, http.StatusOK)
					return
				}
				qt.Check(t, w.Header().Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeEndpointFailed))
				qt.Check(t, w.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, "false")
				qt.Check(t, w.Header().Get(sidecarhttp.HeaderCrashed), qt.Equals, "")
			})
		}
	}
}
