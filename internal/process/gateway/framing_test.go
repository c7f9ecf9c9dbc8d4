package gateway

import (
	"bufio"
	"bytes"
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

// How an endpoint's or the gateway's answer ends.
type ending int

const (
	endMarked ending = iota // by its framing: the last chunk, or the announced length
	endFIN                  // the connection is closed in order, without such a mark
	endReset                // the connection is reset
	endGone                 // as endFIN, and nothing listens at the address any more
)

func (e ending) String() string { return [...]string{"marked", "FIN", "reset", "gone"}[e] }

const (
	wholeStream = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\nid: 3\ndata: part 3\n\n"
	wholeBody   = "the whole answer"
)

// rawEndpoint answers every request in the same way on a real socket.
type rawEndpoint struct {
	*raw.Server
	framing carawayspread.Framing
	whole   string // its length is announced with FramingLength
	sent    string // the part of whole that is sent
	end     ending
	head    string // if not empty, all that is sent
	arrived atomic.Int32
	// strangers are requests that the test did not send, with their remote addresses.
	mu        sync.Mutex
	strangers []string
	// passedOn is closed once the caller has the header of the answer; nil if an endReset does not wait
	// for that. A reset throws away what its receiver has not read.
	passedOn chan struct{}
}

func newRawEndpoint(t *testing.T) *rawEndpoint {
	t.Helper()
	e := &rawEndpoint{}
	var err error
	e.Server, err = raw.New(e.answer)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Close)
	return e
}

func (e *rawEndpoint) answer(conn *net.TCPConn, req *http.Request) {
	e.arrived.Add(1)
	if id := req.Header.Get("Carawayspread-Request-Id"); id != ownRequestID {
		e.mu.Lock()
		e.strangers = append(e.strangers, fmt.Sprint(id, " ", req.Method, " ", req.RequestURI, " from ", conn.RemoteAddr()))
		e.mu.Unlock()
	}
	if e.head != "" {
		_, _ = io.WriteString(conn, e.head)
		return
	}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nCarawayspread-Request-Id: %s\r\nCarawayspread-Server-Seal: s\r\n", req.Header.Get("Carawayspread-Request-Id"))
	switch e.framing {
	case carawayspread.FramingLength:
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(e.whole), e.sent)
	case carawayspread.FramingChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if e.sent != "" {
			_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e.sent), e.sent)
		}
		if e.end == endMarked {
			b.WriteString("0\r\n\r\n")
		}
	case carawayspread.FramingClose:
		b.WriteString("Connection: close\r\n\r\n" + e.sent)
	}
	_, _ = conn.Write(b.Bytes())
	switch e.end {
	case endReset:
		if e.passedOn != nil {
			<-e.passedOn
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		_ = conn.SetLinger(0)
	case endGone:
		e.Close()
	}
}

// received is an answer as its caller received it.
type received struct {
	status  int
	framing carawayspread.Framing
	end     ending
	body    string
}

// complete reports whether the caller has been told that the answer is complete.
func (r received) complete() bool { return r.end == endMarked }

const ownRequestID = "id-1"

// receive sends a request and reads its answer from the socket. onHeader is called when its header has
// arrived.
func receive(t *testing.T, b *harness, proto, path string, onHeader ...func()) received {
	t.Helper()
	return receiveFor(t, b, proto, path, "body", onHeader...)
}

// receiveFor is receive for a request with that body.
func receiveFor(t *testing.T, b *harness, proto, path, sent string, onHeader ...func()) received {
	t.Helper()
	conn, err := net.Dial("tcp4", b.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: a.example\r\nCarawayspread-Request-Id: %s\r\n%s: 100,50\r\nContent-Length: %d\r\n\r\n%s", path, proto, ownRequestID, tokens, len(sent), sent)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{end: endReset}
	}
	for _, f := range onHeader {
		f()
	}
	body, err := io.ReadAll(resp.Body)
	got := received{status: resp.StatusCode, body: string(body), end: endMarked}
	switch {
	case resp.ContentLength >= 0:
		got.framing = carawayspread.FramingLength
	case len(resp.TransferEncoding) == 0:
		got.framing, got.end = carawayspread.FramingClose, endFIN
	}
	if err != nil {
		got.end = endReset
	}
	return got
}

// framingHarness is a gateway before three endpoints with real sockets.
func framingHarness(t *testing.T, answers func(e *rawEndpoint)) (*harness, []*rawEndpoint) {
	t.Helper()
	b := newHarness(t)
	client := direct.New()
	t.Cleanup(client.Close)
	b.gateway.transport, b.gateway.prober = client, client
	b.gateway.clock = carawayspread.SystemClock() // as fast as the sockets
	var list []*rawEndpoint
	var endpoints []carawayspread.Endpoint
	for i := range 3 {
		e := newRawEndpoint(t)
		answers(e)
		list = append(list, e)
		endpoints = append(endpoints, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("w", i)), "s", "z", e.Address(), false,
			carawayspread.WithRole(carawayspread.RoleDecode), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
	return b, list
}

// A broken answer is passed on as complete because it has neither a length nor chunks, or because its
// stream ends inside an event.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	type point struct{ stream, body string } // what is sent of either kind of answer
	firstEvent, twoEvents := wholeStream[:20], wholeStream[:40]
	points := map[string]point{
		"nothing":         {"", ""},
		"in an event":     {firstEvent + "id: 2\nda", wholeBody[:9]},
		"in a line break": {twoEvents + "id: 3\ndata: part 3\n", wholeBody[:15]},
		"after an event":  {twoEvents, wholeBody[:9]},
	}
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, path := range []string{"/never/x", "/safe/x", "/once/x", "/resume/x"} {
			stream := path == "/once/x" || path == "/resume/x"
			for _, framing := range []carawayspread.Framing{carawayspread.FramingChunks, carawayspread.FramingLength, carawayspread.FramingClose} {
				for _, end := range []ending{endMarked, endFIN, endReset, endGone} {
					for name, p := range points {
						sent := p.body
						if stream {
							sent = p.stream
						}
						inEvent := stream && sent != "" && !strings.HasSuffix(sent, "\n\n")
						if end == endMarked && (framing != carawayspread.FramingChunks || !inEvent) {
							continue // not a broken answer
						}
						t.Run(strings.Join([]string{proto, path, framing.String(), end.String(), name}, ","), func(t *testing.T) {
							b, _ := framingHarness(t, func(e *rawEndpoint) {
								e.framing, e.end, e.sent, e.whole = framing, end, sent, wholeBody
								if stream {
									e.whole = wholeStream
								}
							})
							got := receive(t, b, proto, path)
							if got.status >= http.StatusInternalServerError {
								return
							}
							qt.Check(t, got.complete(), qt.IsFalse, qt.Commentf("%+v", got))
							// Only where nothing tells that the answer is broken may it end like one
							// whose end is not marked.
							undecidable := framing == carawayspread.FramingClose && end == endFIN && !inEvent
							qt.Check(t, undecidable || got.end == endReset, qt.IsTrue, qt.Commentf("%+v", got))
						})
					}
				}
			}
		}
	}
}

// Harmless answers are lost or cut short because of how they are framed or how long they are.
func TestWholeAnswerReachesItsCaller(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 9<<20/16)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, path := range []string{"/never/x", "/safe/x", "/once/x", "/resume/x"} {
			stream := path == "/once/x" || path == "/resume/x"
			bodies := map[string]string{"short": wholeBody, "long": long, "empty": ""}
			if stream {
				bodies = map[string]string{
					"events":                  wholeStream,
					"a comment after them":    wholeStream + ": keep-alive\n",
					"line breaks after them":  wholeStream + "\n",
					"lines with two marks":    strings.ReplaceAll(wholeStream, "\n", "\r\n"),
					"the closing event":       wholeStream + "data: [DONE]\n\n",
					"an event of many chunks": "data: " + long[:512<<10] + "\n\n" + wholeStream,
				}
			}
			for _, framing := range []carawayspread.Framing{carawayspread.FramingChunks, carawayspread.FramingLength, carawayspread.FramingClose} {
				for name, body := range bodies {
					t.Run(strings.Join([]string{proto, path, framing.String(), name}, ","), func(t *testing.T) {
						end := endMarked
						if framing == carawayspread.FramingClose {
							end = endFIN
						}
						b, endpoints := framingHarness(t, func(e *rawEndpoint) { e.framing, e.end, e.sent, e.whole = framing, end, body, body })
						got := receive(t, b, proto, path)
						qt.Check(t, got.status, qt.Equals, http.StatusOK)
						qt.Check(t, got.body == body, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got.body), len(body)))
						qt.Check(t, got.end, qt.Not(qt.Equals), endReset)
						if framing == carawayspread.FramingClose {
							qt.Check(t, got.framing, qt.Equals, carawayspread.FramingClose, qt.Commentf("a proof that the endpoint did not give"))
						}
						arrived := int32(0)
						var strangers []string
						for _, e := range endpoints {
							arrived += e.arrived.Load()
							e.mu.Lock()
							strangers = append(strangers, e.strangers...)
							e.mu.Unlock()
						}
						qt.Check(t, arrived, qt.Equals, int32(1), qt.Commentf("not sent by this test: %v", strangers))
					})
				}
			}
		}
	}
}

// framed changes the framing of an answer.
func framed(framing carawayspread.Framing, s step) step {
	return func(a sentAttempt) (*carawayspread.Reply, error) {
		reply, err := s(a)
		if reply != nil {
			reply.Framing = framing
		}
		return reply, err
	}
}

// A stream that goes on elsewhere gets the framing of its first part, although its last part has
// another.
func TestResumedStreamEndsAsItsPartsProve(t *testing.T) {
	const chunks, unmarked = carawayspread.FramingChunks, carawayspread.FramingClose
	for name, test := range map[string]struct {
		first, second carawayspread.Framing
		framing       carawayspread.Framing
		end           ending
	}{
		"marked, then marked":   {chunks, chunks, chunks, endMarked},
		"marked, then unmarked": {chunks, unmarked, chunks, endReset},
		"unmarked, then marked": {unmarked, chunks, unmarked, endFIN},
		"unmarked, twice":       {unmarked, unmarked, unmarked, endFIN},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, framed(test.first, events(1, 2, io.ErrUnexpectedEOF)), framed(test.second, events(3, 4, io.EOF)))
			got := receive(t, b, "HTTP/1.1", "/resume/x")
			qt.Check(t, got.framing, qt.Equals, test.framing)
			qt.Check(t, got.end, qt.Equals, test.end)
			qt.Check(t, got.body, qt.Contains, "part 4")
			qt.Check(t, b.transport.all(), qt.HasLen, 2)
		})
	}
}

// An answer that is too long to be held until it is complete breaks off after its beginning was
// passed on, and looks complete.
func TestBrokenLongAnswerIsNotComplete(t *testing.T) {
	whole := strings.Repeat("0123456789abcdef", 9<<20/16)
	for _, framing := range []carawayspread.Framing{carawayspread.FramingChunks, carawayspread.FramingLength, carawayspread.FramingClose} {
		for _, end := range []ending{endFIN, endReset, endGone} {
			t.Run(framing.String()+","+end.String(), func(t *testing.T) {
				passedOn := make(chan struct{})
				b, endpoints := framingHarness(t, func(e *rawEndpoint) {
					e.framing, e.end, e.whole, e.sent, e.passedOn = framing, end, whole, whole[:len(whole)-100], passedOn
				})
				got := receive(t, b, "HTTP/1.1", "/safe/x", func() { close(passedOn) })
				want := endReset
				if framing == carawayspread.FramingClose && end == endFIN {
					want = endFIN // nothing tells that it is broken
				}
				qt.Check(t, got.end, qt.Equals, want)
				arrived := int32(0)
				for _, e := range endpoints {
					arrived += e.arrived.Load()
				}
				qt.Check(t, arrived, qt.Equals, int32(1))
			})
		}
	}
}

// The length of a body that an answer only announces is passed on as zero.
func TestAnswerWithoutABodyKeepsItsLength(t *testing.T) {
	for name, test := range map[string]struct {
		method, status, header string
		length                 string
	}{
		"HEAD":                    {http.MethodHead, "200 OK", "Content-Length: 800\r\n", "800"},
		"HEAD, no length":         {http.MethodHead, "200 OK", "", ""},
		"HEAD, an empty body":     {http.MethodHead, "200 OK", "Content-Length: 0\r\n", "0"},
		"not modified":            {http.MethodGet, "304 Not Modified", "Content-Length: 800\r\n", ""},
		"not modified, no length": {http.MethodGet, "304 Not Modified", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := framingHarness(t, func(e *rawEndpoint) {
				e.head = "HTTP/1.1 " + test.status + "\r\nCarawayspread-Request-Id: id-1\r\nCarawayspread-Server-Seal: s\r\n" + test.header + "\r\n"
			})
			req, err := http.NewRequest(test.method, b.server.URL+"/safe/x", nil)
			qt.Assert(t, err, qt.IsNil)
			req.Host = "a.example"
			req.Header.Set("Carawayspread-Request-Id", "id-1")
			resp, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.Header.Get("Content-Length"), qt.Equals, test.length)
			qt.Check(t, strings.HasPrefix(test.status, fmt.Sprint(resp.StatusCode)), qt.IsTrue)
		})
	}
}
