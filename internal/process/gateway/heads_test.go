package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// checkMalformed checks that an answer of endpoints did not reach the caller, who got a final answer that does not say
// that the request has not run.
func checkMalformed(t *testing.T, b *harness, path string, got received, arrived int32) {
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
				checkMalformed(t, b, path, got, arrived)
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

// Guards against a line of a head that was passed on, folded into another or dropped, and against bodies that are framed
// as their endpoint did not mean, since the name of a field holds a blank or a control byte.
func TestAnswerWithAMalformedNameIsNotRelayed(t *testing.T) {
	lines := map[string]string{
		"blank in the name":           "X Odd: 1",
		"blank behind the name":       "X-Odd : 1",
		"tab behind the name":         "X-Odd\t: 1",
		"blank before the name":       " X-Odd: 1",
		"tab before the name":         "\tX-Odd: 1",
		"only blanks":                 "   ",
		"no name":                     ": 1",
		"only a blank as the name":    " : 1",
		"no colon":                    "X-Odd",
		"a length":                    "Content-Length : 5",
		"a length, blank before":      " Content-Length: 5",
		"a length, twice":             "Content-Length : 5\r\nContent-Length: 10",
		"chunks":                      "Transfer-Encoding : chunked",
		"chunks, blank before":        " Transfer-Encoding: chunked",
		"chunks beside a length":      "Content-Length: 7\r\nTransfer-Encoding : chunked",
		"an encoding":                 "Content-Encoding : gzip",
		"the end of the connection":   "Connection : close",
		"a separator":                 "X(Odd): 1",
		"a byte of another character": "X-\xc3\xb6dd: 1",
	}
	for _, control := range []string{"\x00", "\x01", "\x0b", "\x0c", "\x1f", "\x7f", "\r", "\x80"} {
		lines["control byte "+strconv.Quote(control)] = "X-" + control + "Odd: 1"
		lines["control byte first "+strconv.Quote(control)] = control + "X-Odd: 1"
		lines["control byte last "+strconv.Quote(control)] = "X-Odd" + control + ": 1"
	}
	for name, line := range lines {
		for _, path := range uploadPaths {
			for place, head := range map[string]string{"first": line + "\r\n" + answerFields, "last": answerFields + line + "\r\n"} {
				t.Run(strings.Join([]string{name, place, path}, ","), func(t *testing.T) {
					body := "5\r\nhello\r\n0\r\n\r\n"
					if isStreamPath(path) {
						body = wholeStream
					}
					b, got, arrived := answeredWith(t, path, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
					checkMalformed(t, b, path, got, arrived)
				})
			}
		}
	}
}

// Guards against a body that was framed as the version of its answer does not know: chunks came with their sizes.
func TestAnswerFramedByAnotherVersionIsNotRelayed(t *testing.T) {
	for _, path := range uploadPaths {
		t.Run(path, func(t *testing.T) {
			b, got, arrived := answeredWith(t, path, "HTTP/1.0 200 OK\r\n"+answerFields+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
			checkMalformed(t, b, path, got, arrived)
		})
	}
}

// Guards against answers that are refused for what concerns neither their head nor their body.
func TestAnswerWithAnOddLineBesideItsHeadIsRelayed(t *testing.T) {
	const head, ended = "HTTP/1.1 200 OK\r\n" + answerFields, "\r\nhello\r\n0\r\n"
	for name, answer := range map[string]string{
		"a value with blanks":          head + "X-Odd:  a  b \t\r\nContent-Length: 5\r\n\r\nhello",
		"no value":                     head + "X-Odd:\r\nContent-Length: 5\r\n\r\nhello",
		"a value of other characters":  head + "X-Odd: \xc3\xb6\r\nContent-Length: 5\r\n\r\nhello",
		"a rare name":                  head + "!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 5\r\n\r\nhello",
		"a body that begins odd":       head + "Content-Length: 5\r\n\r\n a: b",
		"an interim answer":            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
		"an interim answer with blank": "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n b: c\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
		"a trailer":                    head + "Transfer-Encoding: chunked\r\n\r\n5" + ended + "X-Odd: 1\r\n\r\n",
		"a trailer with a blank":       head + "Transfer-Encoding: chunked\r\n\r\n5" + ended + "X Odd: 1\r\nContent-Length : 3\r\n\r\n",
		"line feeds alone":             strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 5\n\nhello",
		"version 1.0":                  strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			_, got, arrived := answeredWith(t, "/never/x", answer)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, len(got.body), qt.Equals, 5, qt.Commentf("%q", got.body))
			qt.Check(t, got.complete(), qt.IsTrue)
			qt.Check(t, arrived, qt.Equals, int32(1))
		})
	}
}

// Guards against a stream that ends as complete, or goes on with what is no answer, as the answer that is to continue
// it is malformed.
func TestMalformedContinuationIsNotJoined(t *testing.T) {
	const rest = "id: 3\ndata: part 3\n\n"
	for name, head := range map[string]string{
		"status 000":            "HTTP/1.1 000 OK\r\n",
		"status 101":            "HTTP/1.1 101 Switching Protocols\r\n",
		"a blank in a name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
		"a length with a blank": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
		"chunks with a blank":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"chunks of version 1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			b, endpoints := framingHarness(t, func(*rawEndpoint) {})
			var list []carawayspread.Endpoint
			for i := range endpoints {
				server, err := raw.New(func(conn *net.TCPConn, _ *http.Request) {
					if arrived.Add(1) == 1 { // half of the stream, whose end would be marked
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+answerFields+"Transfer-Encoding: chunked\r\n\r\n28\r\n"+wholeStream[:40]+"\r\n")
						return
					}
					_, _ = io.WriteString(conn, head+answerFields+"\r\n"+rest)
				})
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(server.Close)
				list = append(list, carawayspread.NewEndpoint(carawayspread.EndpointID("c"+strconv.Itoa(i)), "s", "z", server.Address(), false,
					carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
			}
			b.gateway.SetEndpoints(list)
			got := receive(t, b, "HTTP/1.1", "/resume/x")
			qt.Check(t, got, qt.Equals, received{status: http.StatusOK, framing: carawayspread.FramingChunks, end: endReset, body: wholeStream[:40]})
			qt.Check(t, arrived.Load(), qt.Equals, int32(2))
		})
	}
}
