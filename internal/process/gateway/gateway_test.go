package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	_ "carawayspread/internal/decision/ejection"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/placement"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/platform/wire"
)

// sentAttempt is one attempt as the transport received it.
type sentAttempt struct {
	to  carawayspread.EndpointID
	out carawayspread.Outbound
}

// scriptedTransport is a carawayspread.EndpointTransport that answers from a list of steps.
type scriptedTransport struct {
	mu    sync.Mutex
	steps []func(s sentAttempt) (*carawayspread.Reply, error)
	sent  []sentAttempt
}

func (s *scriptedTransport) Send(_ context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := sentAttempt{to.ID(), out}
	s.sent = append(s.sent, attempt)
	if len(s.steps) == 0 {
		return answer(200)(attempt)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(attempt)
}

func (s *scriptedTransport) all() []sentAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sentAttempt(nil), s.sent...)
}

type step = func(s sentAttempt) (*carawayspread.Reply, error)

// cutBody returns its text and then an error.
type cutBody struct {
	io.Reader
	err error
}

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}
func (cutBody) Close() error { return nil }

func reply(s sentAttempt, status int, body string, end error, header ...string) *carawayspread.Reply {
	h := http.Header{"Carawayspread-Request-Id": {s.out.Header.Get("Carawayspread-Request-Id")}, "Carawayspread-Server-Seal": {"seal-" + string(s.to)}}
	for i := 0; i+1 < len(header); i += 2 {
		h[header[i]] = []string{header[i+1]}
		if header[i+1] == "" {
			delete(h, header[i])
		}
	}
	return &carawayspread.Reply{Status: status, Header: h, Body: cutBody{strings.NewReader(body), end}, Length: -1}
}

func answer(status int, header ...string) step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		return reply(s, status, "whole of "+string(s.to), io.EOF, header...), nil
	}
}

func truncated() step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		return reply(s, 200, "who", io.ErrUnexpectedEOF), nil
	}
}

func notRun(status int) step { return answer(status, "Carawayspread-Not-Executed", "1") }

func disconnect() step {
	return func(sentAttempt) (*carawayspread.Reply, error) { return nil, io.ErrUnexpectedEOF }
}

func unreachable() step {
	return func(sentAttempt) (*carawayspread.Reply, error) { return nil, carawayspread.ErrUnsent }
}

// events answers with the events from first to last.
func events(first, last int, end error) step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		var b strings.Builder
		for n := first; n <= last; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
		}
		if end != io.EOF { //nolint:errorlint // the one value that ends a complete answer
			b.WriteString("id: 99\ndata: half an ev")
		}
		return reply(s, 200, b.String(), end), nil
	}
}

func kvHandle() step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		return reply(s, 200, `{"kv_handle":"h1","tokens":9}`, io.EOF, "Carawayspread-Server-Seal", ""), nil
	}
}

type harness struct {
	transport *scriptedTransport
	gateway   *Gateway
	server    *httptest.Server
	clock     *clockwork.FakeClock
	placer    *placement.Placer
	log       *decisionlog.Log
	lines     *bytes.Buffer // what the log has written after Flush
}

func route(name string, retry carawayspread.RetryPolicy, stream bool, attempts int) *carawayspread.Route {
	return &carawayspread.Route{
		Name: name, Host: "a.example", Prefix: "/" + name + "/", Shares: []carawayspread.Share{{Service: "s", Weight: 1}},
		Retry: retry, Stream: stream, Prompt: stream, MaxAttempts: attempts, Timeout: 8 * time.Second, TargetLatency: 300 * time.Millisecond,
	}
}

func newHarness(t *testing.T, steps ...step) *harness {
	t.Helper()
	b := &harness{transport: &scriptedTransport{steps: steps}, clock: clockwork.NewFakeClock()}
	b.placer = placement.New(carawayspread.Environment{Clock: b.clock, Zone: "z"})
	b.lines = &bytes.Buffer{}
	b.log = decisionlog.New(b.lines)
	b.gateway = New(b.transport, wire.Protocol{}, b.placer, b.clock, b.log,
		WithRetryBudget(fleetbudget.Limits{Ratio: 1, Slack: 10, Window: 10 * time.Second}, func() (int, bool) { return 1, true }))
	b.gateway.start = b.clock.Now().Add(-time.Minute) // a process that has just started has none of the slack
	b.gateway.Adopt(carawayspread.NewRouting(1, []*carawayspread.Route{
		route("safe", carawayspread.RetryIdempotent, false, 2),
		route("never", carawayspread.RetryNever, false, 3),
		route("resume", carawayspread.RetryResume, true, 2),
		route("once", carawayspread.RetryNever, true, 3),
	}, map[string]carawayspread.RoutedService{"s": {Name: "s", Engine: &carawayspread.EngineTraits{Slots: 8, KVTokens: 1e6, KVBytesPerToken: 1}}},
		carawayspread.CallerLimits{BodyBytes: 100}))
	b.engines(carawayspread.RoleDecode, carawayspread.RoleDecode, carawayspread.RoleDecode)
	b.server = httptest.NewServer(b.gateway)
	t.Cleanup(b.server.Close)
	return b
}

func (b *harness) engines(roles ...carawayspread.Role) {
	var endpoints []carawayspread.Endpoint
	for i, role := range roles {
		id := carawayspread.EndpointID(fmt.Sprint("w", i))
		endpoints = append(endpoints, carawayspread.NewEndpoint(id, "s", "z", fmt.Sprint("10.0.0.1:", 100+i), false,
			carawayspread.WithRole(role), carawayspread.WithSlots(8), carawayspread.WithVersion("v1")))
	}
	b.gateway.SetEndpoints(endpoints)
}

func (b *harness) post(t *testing.T, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "a.example"
	req.Header.Set("Carawayspread-Request-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// Checks the caller's answer and the number of endpoints that received the request, for each
// outcome of attempts. It guards against retrying a request that may have run where its route
// forbids that, against reporting "not run" without a proof, and against relaying anything but the
// endpoint's complete answer to this request.
func TestAnswerByOutcomeOfAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		steps  []step
		status int
		body   string
		sends  int
	}{
		"served":                                {"/never/x", nil, 200, "whole of ", 1},
		"server error is relayed":               {"/never/x", []step{answer(500)}, 500, "whole of ", 1},
		"server error, idempotent":              {"/safe/x", []step{answer(500)}, 200, "whole of ", 2},
		"two server errors":                     {"/safe/x", []step{answer(500), answer(500)}, 500, "whole of ", 2},
		"disconnect, no retry allowed":          {"/never/x", []step{disconnect()}, 502, "endpoint_failed", 1},
		"disconnect, idempotent":                {"/safe/x", []step{disconnect()}, 200, "whole of ", 2},
		"two disconnects, attempts used":        {"/safe/x", []step{disconnect(), disconnect()}, 502, "endpoint_failed", 2},
		"truncated, no retry allowed":           {"/never/x", []step{truncated()}, 502, "endpoint_failed", 1},
		"truncated, idempotent":                 {"/safe/x", []step{truncated()}, 200, "whole of ", 2},
		"not run goes elsewhere":                {"/never/x", []step{notRun(503)}, 200, "whole of ", 2},
		"wrong endpoint goes elsewhere":         {"/never/x", []step{answer(421)}, 200, "whole of ", 2},
		"unreachable goes elsewhere":            {"/never/x", []step{unreachable()}, 200, "whole of ", 2},
		"not run anywhere":                      {"/never/x", []step{notRun(503), notRun(503), notRun(503)}, 503, `"notRun":true`, 3},
		"unreachable everywhere":                {"/never/x", []step{unreachable(), unreachable(), unreachable()}, 503, `"notRun":true`, 3},
		"503 without a proof":                   {"/never/x", []step{answer(503)}, 502, `"notRun":false`, 1},
		"429 without a proof":                   {"/never/x", []step{answer(429)}, 502, `"notRun":false`, 1},
		"408 without a proof":                   {"/never/x", []step{answer(408)}, 502, `"notRun":false`, 1},
		"answer to another request":             {"/never/x", []step{answer(200, "Carawayspread-Request-Id", "id-2")}, 502, "endpoint_failed", 1},
		"answer to another request, idempotent": {"/safe/x", []step{answer(200, "Carawayspread-Request-Id", "id-2")}, 200, "whole of ", 2},
		"success without a signature":           {"/never/x", []step{answer(200, "Carawayspread-Server-Seal", "")}, 502, "endpoint_failed", 1},
		"unsupported content encoding":          {"/never/x", []step{answer(200, "Content-Encoding", "br")}, 502, "endpoint_failed", 1},
		"may have run, then not run":            {"/safe/x", []step{disconnect(), notRun(503), notRun(503)}, 502, `"notRun":false`, 3},
		"no route":                              {"/other/x", nil, 404, "not_found", 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			resp, body, err := b.post(t, test.path, "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, body, qt.Contains, test.body)
			sent := b.transport.all()
			qt.Check(t, sent, qt.HasLen, test.sends)
			to := map[carawayspread.EndpointID]bool{}
			for _, s := range sent {
				qt.Check(t, to[s.to], qt.IsFalse, qt.Commentf("%s twice", s.to))
				to[s.to] = true
			}
			if resp.StatusCode == http.StatusServiceUnavailable {
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			if resp.StatusCode >= 500 && strings.Contains(body, "error") {
				qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "", qt.Commentf("the gateway's own answer must not be signed"))
			}
		})
	}
}

const tokens = "Carawayspread-Token-Count"

// Guards against streams with lost or repeated events, and against a truncated stream that looks
// complete. The engine breaks off in the middle of an event: a resumable stream continues at
// another engine after the last complete event, in the same answer; any other one is reset. The
// incomplete event is never relayed.
func TestStreamAfterAnInterruption(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		steps    []step
		parts    int
		complete bool
		sends    int
	}{
		"whole":                         {"/once/x", []step{events(1, 4, io.EOF)}, 4, true, 1},
		"cut, not resumable":            {"/once/x", []step{events(1, 2, io.ErrUnexpectedEOF)}, 2, false, 1},
		"cut, resumed":                  {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), events(3, 4, io.EOF)}, 4, true, 2},
		"cut twice, attempts used":      {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), events(3, 3, io.ErrUnexpectedEOF)}, 3, false, 2},
		"cut, then refused, then taken": {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), notRun(503), events(3, 4, io.EOF)}, 4, true, 3},
		"cut, then a failure":           {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), answer(500)}, 2, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			resp, body, err := b.post(t, test.path, "p", tokens, "100,50")
			qt.Check(t, err == nil, qt.Equals, test.complete)
			if resp == nil {
				body = ""
			} else {
				qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "seal-"+string(b.transport.all()[0].to))
			}
			if test.complete {
				want := ""
				for n := 1; n <= test.parts; n++ {
					want += fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
				}
				qt.Check(t, body, qt.Equals, want)
			}
			qt.Check(t, body, qt.Not(qt.Contains), "half")
			sent := b.transport.all()
			qt.Check(t, sent, qt.HasLen, test.sends)
			if test.sends > 1 {
				qt.Check(t, sent[1].out.Header.Get("Last-Event-Id"), qt.Equals, "2")
				qt.Check(t, sent[1].to, qt.Not(qt.Equals), sent[0].to)
			}
		})
	}
}

// Guards against failing a request because its handover failed: one engine prefills the prompt and
// the other cannot fetch the KV cache. The next attempt runs on a single engine, and the caller
// loses only time.
func TestFailedHandover(t *testing.T) {
	for name, test := range map[string]struct {
		steps []step
		want  []string // for each attempt: the header that shows its phase
	}{
		"handed over":                   {[]step{kvHandle(), events(1, 2, io.EOF)}, []string{"prefill", "10.0.0.1:100/h1"}},
		"cache not available":           {[]step{kvHandle(), notRun(503), events(1, 2, io.EOF)}, []string{"prefill", "10.0.0.1:100/h1", ""}},
		"prefill refused":               {[]step{notRun(503), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"prefill engine disconnects":    {[]step{disconnect(), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"prefill engine unreachable":    {[]step{unreachable(), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"answer without a cache handle": {[]step{answer(200), events(1, 2, io.EOF)}, []string{"prefill", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.steps...)
			b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
			resp, body, err := b.post(t, "/once/x", "p", tokens, "5000,50")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			qt.Check(t, strings.Count(body, "data:"), qt.Equals, 2)
			var got []string
			for _, s := range b.transport.all() {
				got = append(got, s.out.Header.Get("Carawayspread-Stage")+s.out.Header.Get("Carawayspread-Kv-Source"))
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against retries beyond the budget that all processes share. Every endpoint refuses, and
// each request could be sent to three of them.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var steps []step
	for range 300 {
		steps = append(steps, notRun(503))
	}
	b := newHarness(t, steps...)
	b.gateway.retryBudget = fleetbudget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	b.gateway.fleet = func() (int, bool) { return 4, true }
	const requests = 50
	for range requests {
		resp, _, err := b.post(t, "/never/x", "body")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 503)
	}
	extra := len(b.transport.all()) - requests
	qt.Check(t, extra <= requests/5+10/4, qt.IsTrue, qt.Commentf("%d retries", extra))
	qt.Check(t, extra > 0, qt.IsTrue)
}

// Guards against a retry that the budget allows and that is not made, because attempts that reached no endpoint
// were charged: of two endpoints one refuses and one cannot be reached, and one retry is left.
func TestUnsentAttemptsAreNotCharged(t *testing.T) {
	b := newHarness(t, notRun(503), unreachable(), answer(200))
	b.gateway.retryBudget = fleetbudget.Limits{Slack: 1 / fleetbudget.UsedFraction, Window: 10 * time.Second}
	resp, _, err := b.post(t, "/never/x", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, b.transport.all(), qt.HasLen, 3)
}

// Guards against a retry that the fleet has left and that is not sent, because the share of this process is spent.
func TestRetryIsClaimedWhereTheShareIsSpent(t *testing.T) {
	for name, c := range map[string]struct {
		claimed bool
		want    int
	}{"the fleet has one left": {true, 200}, "it has none": {false, 503}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, notRun(503), answer(200))
			b.gateway.retryBudget = fleetbudget.Limits{Slack: 10, Claimed: 10, Window: 10 * time.Second}
			b.gateway.claimRetry = func(_ context.Context, service string) bool { return c.claimed && service == "s" }
			resp, _, err := b.post(t, "/never/x", "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.want)
		})
	}
}

// Guards against requests that waited while the process stood still, and that pay for retries as if they had just
// been sent.
func TestRequestsThatWaitedPayForNothing(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		want   bool
	}{"read as they are sent": {0, true}, "waited for a window": {10 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			var steps []step
			for range 30 {
				steps = append(steps, notRun(503))
			}
			b := newHarness(t, steps...)
			b.gateway.retryBudget = fleetbudget.Limits{Ratio: 1, Window: 10 * time.Second}
			b.gateway.waitingSince = func() time.Time { return b.clock.Now().Add(-c.waited) }
			for range 10 {
				_, _, err := b.post(t, "/never/x", "body")
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Check(t, len(b.transport.all()) > 10, qt.Equals, c.want)
		})
	}
}

// Guards against callers that set reserved headers: these must not reach an endpoint. The remaining
// time of the caller must.
func TestReservedHeadersAreSetByTheGateway(t *testing.T) {
	b := newHarness(t, disconnect())
	_, _, err := b.post(t, "/safe/x?q=1", "body", "Carawayspread-Deadline-Ms", "1500", "Carawayspread-Kv-Hold", "forged",
		"Carawayspread-Stage", "prefill", "Carawayspread-Pin-Ms", "1", "Carawayspread-Kv-Backup", "x", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "1")
	qt.Assert(t, err, qt.IsNil)
	sent := b.transport.all()
	qt.Assert(t, sent, qt.HasLen, 2)
	for _, s := range sent {
		h := s.out.Header
		qt.Check(t, h.Get("Carawayspread-Expect-Instance"), qt.Equals, string(s.to))
		qt.Check(t, h.Get("Carawayspread-Deadline-Ms"), qt.Equals, "1500")
		qt.Check(t, h.Get("X-Own"), qt.Equals, "kept")
		for _, name := range []string{"Carawayspread-Kv-Hold", "Carawayspread-Stage", "Carawayspread-Pin-Ms", "Carawayspread-Kv-Backup", "X-Hop", "Connection"} {
			qt.Check(t, h.Get(name), qt.Equals, "", qt.Commentf(name))
		}
		qt.Check(t, s.out.Target, qt.Equals, "/safe/x?q=1")
	}
}

// Guards against a too large request, or malformed prompt headers, that keep later requests from
// being served.
func TestBadRequestDoesNotAffectTheNext(t *testing.T) {
	b := newHarness(t)
	resp, _, err := b.post(t, "/never/x", strings.Repeat("x", 101))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	resp, _, err = b.post(t, "/never/x", "p", tokens, "many,-5", "Carawayspread-Prefix-Hash", "zz:1,:,a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Guards against refusals that the log does not explain: the line must have the best engine, the
// expected time there and its parts, and the target.
func TestRefusalLogsTheExpectedTimes(t *testing.T) {
	b := newHarness(t)
	var updates []carawayspread.LoadUpdate
	for i := range 3 {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, "w", i)
		updates = append(updates, carawayspread.LoadUpdate{EndpointHash: h.Sum32(), Running: 1, PrefillTime: 2 * time.Second})
	}
	b.placer.ApplyLoadUpdates("peer", updates)
	resp, _, err := b.post(t, "/resume/x", "text", "Carawayspread-Token-Count", "1000,10", "Carawayspread-Prefix-Hash", "a1:600,b2:400")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, b.transport.all(), qt.HasLen, 0)
	b.log.Flush()
	line := b.lines.String()
	for _, want := range []string{"outcome=refused", "waitMs=2000.0", "targetMs=300.0", "best=w"} {
		qt.Check(t, line, qt.Contains, want)
	}
	qt.Check(t, line, qt.Not(qt.Contains), "expectedMs=0.0")
	qt.Check(t, line, qt.Not(qt.Contains), "workMs=0.0")
}
