package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/raw"
)

// maxTaken is what the gateway may take of one answer without end, socket buffers included.
const maxTaken = maxUnboundedBytes + 16<<20

// An endpoint writes without end until its caller closes the connection. The gateway takes all of it until the
// time of the request is over, or passes it on as a whole answer; or the request is a suspect afterwards.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	unframed, chunked := "Connection: close\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	text := strings.Repeat("0123456789abcde\n", 4<<10)
	event := strings.Repeat("data: more\n\n", 4<<10)
	for name, test := range map[string]struct {
		status   int
		head     string // after the seal
		repeated string
		streams  bool // on routes of streams alone
	}{
		"a body, unframed":         {200, unframed, text, false},
		"a body in chunks":         {200, chunked, chunk(text), false},
		"an error, unframed":       {500, unframed, text, false},
		"an error in chunks":       {500, chunked, chunk(text), false},
		"a head":                   {200, "", "X-More: 0123456789\r\n", false},
		"informational heads":      {100, "\r\n", "HTTP/1.1 103 X\r\n\r\n", false},
		"a line of a head":         {200, "X-More: ", text[:15], false},
		"a line of a chunk":        {200, chunked + "5;", text[:15], false},
		"a number of a chunk":      {200, chunked, "0", false},
		"a trailer":                {200, chunked + chunk(text) + "0\r\n", "X-More: 0123456789\r\n", false},
		"a line of a trailer":      {200, chunked + chunk(text) + "0\r\nX-More: ", text[:15], false},
		"blank lines":              {200, chunked, chunk(strings.Repeat("\n", 64<<10)), true},
		"comments":                 {200, unframed, strings.Repeat(": waiting\n\n", 4<<10), true},
		"events":                   {200, chunked, chunk(event), true},
		"events, unframed":         {200, unframed, event, true},
		"one event":                {200, unframed, "data: " + text[:15] + "\n", true},
		"blank lines after events": {200, unframed + "id: 1\ndata: part 1\n\n", strings.Repeat("\n", 64<<10), true},
	} {
		for _, path := range []string{"/never/x", "/safe/x", "/once/x", "/resume/x"} {
			if test.streams && (path == "/never/x" || path == "/safe/x") {
				continue
			}
			t.Run(name+path, func(t *testing.T) {
				var taken atomic.Int64
				b, _ := framingHarness(t, func(*rawEndpoint) {})
				client := direct.New()
				t.Cleanup(client.Close)
				var endpoints []carawayspread.Endpoint
				for i := range 3 {
					server, err := raw.New(func(conn *net.TCPConn, req *http.Request) {
						n, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: s\r\n%s",
							test.status, req.Header.Get("Carawayspread-Request-Id"), test.head)
						for more := []byte(strings.Repeat(test.repeated, 1+(64<<10)/len(test.repeated))); err == nil; n, err = conn.Write(more) {
							if taken.Add(int64(n)) > 6*maxTaken {
								return
							}
						}
					})
					qt.Assert(t, err, qt.IsNil)
					t.Cleanup(server.Close)
					endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("e", i)), "s", "z", server.Address(), false,
						carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
				}
				b.gateway.SetEndpoints(endpoints)
				got := receive(t, b, "HTTP/1.1", path)
				qt.Check(t, got.status < 300 && got.end != endReset, qt.IsFalse, qt.Commentf("status %d, %d bytes", got.status, len(got.body)))
				qt.Check(t, taken.Load() <= 2*maxTaken, qt.IsTrue, qt.Commentf("%d MB", taken.Load()>>20))
				qt.Check(t, b.gateway.quarantine.Len(), qt.Equals, 0)
				qt.Check(t, b.gateway.parts.Empty(), qt.IsTrue)
				qt.Check(t, b.gateway.held.Load(), qt.Equals, int64(0))
			})
		}
	}
}
