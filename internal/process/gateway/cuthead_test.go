package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/raw"
)

// Guards against an answer that reaches its caller as whole, empty or short, though its endpoint closed the
// connection in the middle of the head.
func TestAnswerWithACutHeadIsNotRelayed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: id-1\r\nCarawayspread-Server-Seal: seal\r\n"
	for name, test := range map[string]struct{ head, path string }{
		"length":             {head + "Content-Length: 120\r\n\r\n", "/never/x"},
		"length first":       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + head[len("HTTP/1.1 200 OK\r\n"):] + "\r\n", "/never/x"},
		"chunks":             {head + "Transfer-Encoding: chunked\r\n\r\n", "/never/x"},
		"connection":         {head + "Connection: close\r\n\r\n", "/never/x"},
		"interim answer":     {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "\r\n", "/never/x"},
		"bare line feeds":    {"HTTP/1.1 200 OK\nCarawayspread-Request-Id: id-1\nCarawayspread-Server-Seal: seal\n\n", "/never/x"},
		"stream, chunks":     {head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "/once/x"},
		"stream, connection": {head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			var cut int
			endpoint, err := raw.New(func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, test.head[:cut])
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(endpoint.Close)
			b := newHarness(t)
			b.gateway.Adopt(carawayspread.NewRouting(3, []*carawayspread.Route{
				route("never", carawayspread.RetryNever, false, 1), route("once", carawayspread.RetryNever, true, 1),
			}, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100}))
			b.gateway.transport = direct.New()
			for cut = range len(test.head) {
				id := carawayspread.EndpointID(fmt.Sprint("w-", cut)) // the last one gets nothing for a while after its failure
				b.gateway.SetEndpoints([]carawayspread.Endpoint{carawayspread.NewEndpoint(id, "s", "z", endpoint.Address(), false, carawayspread.WithSlots(8))})
				resp, body, err := b.post(t, test.path, fmt.Sprint("body ", cut))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("cut after %q: %q", test.head[:cut], body))
				qt.Assert(t, body, qt.Contains, `"notRun":false`)
			}
		})
	}
}
