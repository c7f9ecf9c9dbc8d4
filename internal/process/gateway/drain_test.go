package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// plainStreams makes the harness route all streams to a service without engines.
func (b *harness) plainStreams() {
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{
		route("resume", carawayspread.RetryResume, true, 2), route("once", carawayspread.RetryNever, true, 3),
	}, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100}))
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
