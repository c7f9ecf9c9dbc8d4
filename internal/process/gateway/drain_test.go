package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// plainStreams makes the harness route all streams to a service without engines.
func (b *harness) plainStreams() {
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{
		route("resume", carawayspread.RetryResume, true, 2), route("once", carawayspread.RetryNever, true, 3),
	}, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 1 << 20}))
}

// drainOf8s is a drain of a process with a grace period of 8 s, which has been told to shut down now.
func (b *harness) drainOf8s() {
	now := b.clock.Now()
	b.gateway.Drain(now.Add(3*time.Second), now.Add(7200*time.Millisecond))
}

// postSlowly sends a request whose body is complete only after call has returned.
func (b *harness) postSlowly(t *testing.T, path string, call func(), header ...string) *http.Response {
	t.Helper()
	body, more := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, body)
	qt.Assert(t, err, qt.IsNil)
	req.Host = "a.example"
	req.ContentLength = 10
	req.Header.Set("Carawayspread-Request-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	go func() {
		_, _ = more.Write([]byte("first"))
		for b.gateway.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // until the process reads the body
		call()
		_, _ = more.Write([]byte("last."))
		_ = more.Close()
	}()
	resp, err := http.DefaultTransport.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against streams that are cut at shutdown, since the time in which their body arrived was left out of what
// is left.
func TestTimeOfTheBodyCountsInADrain(t *testing.T) {
	for name, test := range map[string]struct {
		after, body time.Duration // from the signal to the header, and from that to the end of the body
		path        string
		status      int
	}{
		"begun late, slow":      {3150 * time.Millisecond, 3400 * time.Millisecond, "/once/x", 503},
		"begun early, slow":     {2 * time.Second, 4500 * time.Millisecond, "/once/x", 503},
		"deadline before end":   {-2 * time.Second, 7500 * time.Millisecond, "/resume/x", 200},
		"ends early in a drain": {time.Second, time.Second, "/once/x", 200},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(1, 2, io.EOF))
			b.plainStreams()
			b.clock.Advance(10 * time.Second)
			rest := test.body
			if test.after >= 0 {
				b.drainOf8s()
				b.clock.Advance(test.after)
			}
			resp := b.postSlowly(t, test.path, func() {
				if test.after < 0 {
					b.clock.Advance(-test.after)
					b.drainOf8s()
					rest += test.after
				}
				b.clock.Advance(rest)
			}, tokens, "628,80", "Carawayspread-Deadline-Ms", "8000")
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			if test.status == http.StatusServiceUnavailable {
				qt.Check(t, b.transport.all(), qt.HasLen, 0)
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// Guards against streams that are cut at shutdown, since they were accepted by a guess of when their answers end.
func TestLateAnswerIsNotCutByADrain(t *testing.T) {
	for name, test := range map[string]struct {
		after        time.Duration // from the signal to the request
		tokens, left string
		path         string
		status       int
	}{
		"few tokens, deadline after the end":    {3300 * time.Millisecond, "628,80", "8000", "/once/x", 503},
		"one token, route's timeout":            {3300 * time.Millisecond, "628,1", "", "/resume/x", 503},
		"many tokens, deadline before the end":  {3300 * time.Millisecond, "628,9000", "3500", "/once/x", 200},
		"deadline in the margin before the end": {3300 * time.Millisecond, "628,1", "3700", "/once/x", 503},
		"in the first seconds":                  {2900 * time.Millisecond, "628,80", "8000", "/once/x", 200},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(1, 2, io.EOF))
			b.plainStreams()
			b.drainOf8s()
			b.clock.Advance(test.after)
			headers := []string{tokens, test.tokens}
			if test.left != "" {
				headers = append(headers, "Carawayspread-Deadline-Ms", test.left)
			}
			resp, _, err := b.post(t, test.path, "body", headers...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, len(b.transport.all()) > 0, qt.Equals, test.status == http.StatusOK)
			qt.Check(t, resp.Header.Get("Retry-After") != "", qt.Equals, test.status != http.StatusOK)
		})
	}
}

// Guards against callers that learn only after they have sent a long body that a process which drains cannot answer,
// and against resets that take the refusal from those that go on sending.
func TestDrainRefusesBeforeTheBody(t *testing.T) {
	const (
		length = 1 << 20
		chunk  = length / 16
		pause  = 50 * time.Millisecond // all chunks take longer than net/http waits for a caller that still sends
	)
	for name, begun := range map[string]time.Duration{
		"begun late":                    3150 * time.Millisecond,
		"begun before the last seconds": 2900 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.plainStreams()
			b.drainOf8s()
			b.clock.Advance(begun)
			conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			send := func(text string) {
				_, err := io.WriteString(conn, text)
				qt.Assert(t, err, qt.IsNil)
			}
			send(fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: a.example\r\nCarawayspread-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", length))
			send(strings.Repeat("b", chunk))
			for b.gateway.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(pause)
			b.clock.Advance(time.Second)
			send(strings.Repeat("b", chunk))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			answers := bufio.NewReader(conn)
			resp, err := http.ReadResponse(answers, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, resp.Close, qt.IsTrue)
			for range length/chunk - 2 {
				time.Sleep(pause)
				send(strings.Repeat("b", chunk))
			}
			_, err = io.Copy(io.Discard, resp.Body)
			qt.Check(t, err, qt.IsNil)
			_, err = answers.ReadByte()
			qt.Check(t, err, qt.ErrorIs, io.EOF)
			qt.Check(t, b.transport.all(), qt.HasLen, 0)
		})
	}
}

// Guards against streams that are cut at shutdown, since they waited or were refused by an endpoint until too late in
// a drain: the time that is left was looked at when they arrived.
func TestRequestIsNotBegunLateInADrain(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		prefill bool                               // one engine prefills for the others
		waits   bool                               // there is no room until the last seconds
		steps   func(later func(step) step) []step // later makes an answer arrive in the last seconds
		status  int
		sends   int
	}{
		"waited for room": {path: "/once/x", waits: true, status: 503},
		"refused":         {path: "/once/x", steps: func(later func(step) step) []step { return []step{later(notRun(503))} }, status: 503, sends: 1},
		"unreachable":     {path: "/never/x", steps: func(later func(step) step) []step { return []step{later(unreachable())} }, status: 503, sends: 1},
		"may have run":    {path: "/safe/x", steps: func(later func(step) step) []step { return []step{later(disconnect())} }, status: 200, sends: 2},
		"prefilled":       {path: "/resume/x", prefill: true, steps: func(later func(step) step) []step { return []step{later(kvHandle()), events(1, 2, io.EOF)} }, status: 200, sends: 2},
		"prefilled, only run": {path: "/once/x", prefill: true, steps: func(later func(step) step) []step {
			return []step{later(kvHandle()), answer(200), events(1, 2, io.EOF)}
		}, status: 503, sends: 1},
		"prefill is refused": {path: "/once/x", prefill: true, steps: func(later func(step) step) []step { return []step{later(notRun(503))} }, status: 503, sends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			if test.prefill {
				b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
			}
			if test.steps != nil {
				b.transport.steps = test.steps(func(s step) step {
					return func(a sentAttempt) (*carawayspread.Reply, error) {
						b.clock.Advance(200 * time.Millisecond)
						return s(a)
					}
				})
			}
			placer := &fullPlacer{Placer: b.placer}
			placer.full.Store(test.waits)
			b.gateway.placer, b.gateway.maxWaiting = placer, 4
			b.drainOf8s()
			b.clock.Advance(2900 * time.Millisecond)
			if test.waits {
				go func() {
					for b.gateway.waitingRequests() == 0 {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(20 * time.Millisecond)
					placer.full.Store(false)
					b.clock.Advance(150 * time.Millisecond)
				}()
			}
			resp, body, err := b.post(t, test.path, "body", tokens, "100,50")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			var sends int
			for _, s := range b.transport.all() {
				if s.out.Method == http.MethodPost { // not the release of a KV cache
					sends++
				}
			}
			qt.Check(t, sends, qt.Equals, test.sends)
			if test.status == http.StatusServiceUnavailable {
				qt.Check(t, body, qt.Contains, "this process is leaving")
			}
		})
	}
}

// Guards against callers that are told to return so late that they miss their target, or so early that the process
// which has refused them is still there.
func TestRetryAfterInADrain(t *testing.T) {
	for name, test := range map[string]struct {
		fleet int
		known bool
		after string
	}{
		"others can take it":   {3, true, "0.010"},
		"no other process":     {1, true, "3.700"},
		"the fleet is unknown": {1, false, "0.500"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.gateway.fleet = func() (int, bool) { return test.fleet, test.known }
			b.drainOf8s()
			b.clock.Advance(3500 * time.Millisecond)
			resp, _, err := b.post(t, "/once/x", "body", tokens, "100,50")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, test.after)
		})
	}
}
