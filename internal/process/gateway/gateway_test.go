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

// sent is what one attempt looked like.
type sent struct {
	to  carawayspread.EndpointID
	out carawayspread.Outbound
}

// script is a carawayspread.EndpointTransport that answers from a list.
type script struct {
	mu    sync.Mutex
	steps []func(s sent) (*carawayspread.Reply, error)
	sent  []sent
}

func (s *script) Send(_ context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := sent{to.ID(), out}
	s.sent = append(s.sent, one)
	if len(s.steps) == 0 {
		return answer(200)(one)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(one)
}

func (s *script) all() []sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sent(nil), s.sent...)
}

type step = func(s sent) (*carawayspread.Reply, error)

// cutBody gives its text and then an error.
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

func reply(s sent, status int, body string, end error, header ...string) *carawayspread.Reply {
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
	return func(s sent) (*carawayspread.Reply, error) {
		return reply(s, status, "whole of "+string(s.to), io.EOF, header...), nil
	}
}

func cut() step {
	return func(s sent) (*carawayspread.Reply, error) {
		return reply(s, 200, "who", io.ErrUnexpectedEOF), nil
	}
}

func notRun(status int) step { return answer(status, "Carawayspread-Not-Executed", "1") }

func breaks() step {
	return func(sent) (*carawayspread.Reply, error) { return nil, io.ErrUnexpectedEOF }
}

func unreachable() step {
	return func(sent) (*carawayspread.Reply, error) { return nil, carawayspread.ErrUnsent }
}

// events answers with the events from first to last.
func events(first, last int, end error) step {
	return func(s sent) (*carawayspread.Reply, error) {
		var b strings.Builder
		for n := first; n <= last; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
		}
		if end != io.EOF { //nolint:errorlint // the one value that ends a whole answer
			b.WriteString("id: 99\ndata: half an ev")
		}
		return reply(s, 200, b.String(), end), nil
	}
}

func handle() step {
	return func(s sent) (*carawayspread.Reply, error) {
		return reply(s, 200, `{"kv_handle":"h1","tokens":9}`, io.EOF, "Carawayspread-Server-Seal", ""), nil
	}
}

type bench struct {
	exchange *script
	gateway  *Gateway
	server   *httptest.Server
	clock    *clockwork.FakeClock
	placer   *placement.Placer
	log      *decisionlog.Log
	lines    *bytes.Buffer // what the log wrote when it was flushed
}

func route(name string, repeat carawayspread.RetryPolicy, stream bool, attempts int) *carawayspread.Route {
	return &carawayspread.Route{
		Name: name, Host: "a.example", Prefix: "/" + name + "/", Shares: []carawayspread.Share{{Service: "s", Weight: 1}},
		Retry: repeat, Stream: stream, Prompt: stream, MaxAttempts: attempts, Timeout: 8 * time.Second, TargetLatency: 300 * time.Millisecond,
	}
}

func newBench(t *testing.T, steps ...step) *bench {
	t.Helper()
	b := &bench{exchange: &script{steps: steps}, clock: clockwork.NewFakeClock()}
	b.placer = placement.New(carawayspread.Environment{Clock: b.clock, Zone: "z"})
	b.lines = &bytes.Buffer{}
	b.log = decisionlog.New(b.lines)
	b.gateway = New(b.exchange, wire.Protocol{}, b.placer, b.clock, b.log,
		WithTerms(fleetbudget.Limits{Ratio: 1, Slack: 10, Window: 10 * time.Second}, func() int { return 1 }))
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

func (b *bench) engines(roles ...carawayspread.Role) {
	var endpoints []carawayspread.Endpoint
	for i, role := range roles {
		id := carawayspread.EndpointID(fmt.Sprint("w", i))
		endpoints = append(endpoints, carawayspread.NewEndpoint(id, "s", "z", fmt.Sprint("10.0.0.1:", 100+i), false,
			carawayspread.WithRole(role), carawayspread.WithSlots(8)))
	}
	b.gateway.Listed(endpoints)
}

func (b *bench) ask(t *testing.T, path, body string, header ...string) (*http.Response, string, error) {
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

// What a caller gets, and how many endpoints saw its request, for each way in
// which attempts can go.
// A request that may have run is sent again only where its route allows that;
// only a proof that it has not run is passed on as "not run"; and nothing that
// is not the endpoint's whole answer to this request is passed on at all.
func TestAnswerByOutcomeOfAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		steps  []step
		status int
		body   string
		sends  int
	}{
		"served":                          {"/never/x", nil, 200, "whole of ", 1},
		"own failure is passed on":        {"/never/x", []step{answer(500)}, 500, "whole of ", 1},
		"own failure of a safe request":   {"/safe/x", []step{answer(500)}, 200, "whole of ", 2},
		"twice its own failure":           {"/safe/x", []step{answer(500), answer(500)}, 500, "whole of ", 2},
		"broken, may not repeat":          {"/never/x", []step{breaks()}, 502, "endpoint_failed", 1},
		"broken, safe":                    {"/safe/x", []step{breaks()}, 200, "whole of ", 2},
		"broken twice, attempts used":     {"/safe/x", []step{breaks(), breaks()}, 502, "endpoint_failed", 2},
		"cut, may not repeat":             {"/never/x", []step{cut()}, 502, "endpoint_failed", 1},
		"cut, safe":                       {"/safe/x", []step{cut()}, 200, "whole of ", 2},
		"not run goes elsewhere":          {"/never/x", []step{notRun(503)}, 200, "whole of ", 2},
		"stranger goes elsewhere":         {"/never/x", []step{answer(421)}, 200, "whole of ", 2},
		"unreachable goes elsewhere":      {"/never/x", []step{unreachable()}, 200, "whole of ", 2},
		"nowhere run":                     {"/never/x", []step{notRun(503), notRun(503), notRun(503)}, 503, `"notRun":true`, 3},
		"nowhere reached":                 {"/never/x", []step{unreachable(), unreachable(), unreachable()}, 503, `"notRun":true`, 3},
		"a 503 that promises nothing":     {"/never/x", []step{answer(503)}, 502, `"notRun":false`, 1},
		"a 429 that promises nothing":     {"/never/x", []step{answer(429)}, 502, `"notRun":false`, 1},
		"a 408 that promises nothing":     {"/never/x", []step{answer(408)}, 502, `"notRun":false`, 1},
		"answer to another request":       {"/never/x", []step{answer(200, "Carawayspread-Request-Id", "id-2")}, 502, "endpoint_failed", 1},
		"answer to another request, safe": {"/safe/x", []step{answer(200, "Carawayspread-Request-Id", "id-2")}, 200, "whole of ", 2},
		"success without a signature":     {"/never/x", []step{answer(200, "Carawayspread-Server-Seal", "")}, 502, "endpoint_failed", 1},
		"a body nobody can read":          {"/never/x", []step{answer(200, "Content-Encoding", "br")}, 502, "endpoint_failed", 1},
		"may have run, then not run":      {"/safe/x", []step{breaks(), notRun(503), notRun(503)}, 502, `"notRun":false`, 3},
		"no route":                        {"/other/x", nil, 404, "not_found", 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, test.steps...)
			resp, body, err := b.ask(t, test.path, "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, body, qt.Contains, test.body)
			sent := b.exchange.all()
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
				qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "", qt.Commentf("our own answer bears no signature"))
			}
		})
	}
}

const tokens = "Carawayspread-Token-Count"

// A stream reaches its caller whole, in order and each event once, or ends in a
// way that nobody takes for its end.
// The engine breaks off in the middle of an event. A stream that may be resumed
// goes on at another engine after the last whole event, in the same answer; any
// other one is reset, and the half event is never passed on.
func TestStreamThroughABreak(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		steps []step
		parts int
		whole bool
		sends int
	}{
		"whole":                         {"/once/x", []step{events(1, 4, io.EOF)}, 4, true, 1},
		"cut, not to be resumed":        {"/once/x", []step{events(1, 2, io.ErrUnexpectedEOF)}, 2, false, 1},
		"cut, resumed":                  {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), events(3, 4, io.EOF)}, 4, true, 2},
		"cut twice, attempts used":      {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), events(3, 3, io.ErrUnexpectedEOF)}, 3, false, 2},
		"cut, then refused, then taken": {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), notRun(503), events(3, 4, io.EOF)}, 4, true, 3},
		"cut, then a failure":           {"/resume/x", []step{events(1, 2, io.ErrUnexpectedEOF), answer(500)}, 2, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, test.steps...)
			resp, body, err := b.ask(t, test.path, "p", tokens, "100,50")
			qt.Check(t, err == nil, qt.Equals, test.whole)
			if resp == nil {
				body = ""
			} else {
				qt.Check(t, resp.Header.Get("Carawayspread-Server-Seal"), qt.Equals, "seal-"+string(b.exchange.all()[0].to))
			}
			if test.whole {
				want := ""
				for n := 1; n <= test.parts; n++ {
					want += fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
				}
				qt.Check(t, body, qt.Equals, want)
			}
			qt.Check(t, body, qt.Not(qt.Contains), "half")
			sent := b.exchange.all()
			qt.Check(t, sent, qt.HasLen, test.sends)
			if test.sends > 1 {
				qt.Check(t, sent[1].out.Header.Get("Last-Event-Id"), qt.Equals, "2")
				qt.Check(t, sent[1].to, qt.Not(qt.Equals), sent[0].to)
			}
		})
	}
}

// A prompt that was read for nothing costs its caller nothing but time, and no
// engine keeps its memory.
// One engine reads the prompt and the other cannot take it over; the second
// try is made without a hand-over, and counts as one.
func TestHandOverThatFails(t *testing.T) {
	for name, test := range map[string]struct {
		steps []step
		want  []string // of each send: the header that tells its phase
	}{
		"taken over":            {[]step{handle(), events(1, 2, io.EOF)}, []string{"prefill", "10.0.0.1:100/h1"}},
		"cannot be had":         {[]step{handle(), notRun(503), events(1, 2, io.EOF)}, []string{"prefill", "10.0.0.1:100/h1", ""}},
		"reading refused":       {[]step{notRun(503), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"reader breaks":         {[]step{breaks(), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"reader not reached":    {[]step{unreachable(), events(1, 2, io.EOF)}, []string{"prefill", ""}},
		"answer names no cache": {[]step{answer(200), events(1, 2, io.EOF)}, []string{"prefill", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, test.steps...)
			b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
			resp, body, err := b.ask(t, "/once/x", "p", tokens, "5000,50")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			qt.Check(t, strings.Count(body, "data:"), qt.Equals, 2)
			var got []string
			for _, s := range b.exchange.all() {
				got = append(got, s.out.Header.Get("Carawayspread-Stage")+s.out.Header.Get("Carawayspread-Kv-Source"))
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Endpoints get no more than the common budget allows, however many requests fail.
// Every endpoint says that it has no room, and each request could go to three.
func TestRetriesKeepToTheBudget(t *testing.T) {
	var steps []step
	for range 300 {
		steps = append(steps, notRun(503))
	}
	b := newBench(t, steps...)
	b.gateway.terms = fleetbudget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	b.gateway.share = func() int { return 4 }
	const requests = 50
	for range requests {
		resp, _, err := b.ask(t, "/never/x", "body")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 503)
	}
	extra := len(b.exchange.all()) - requests
	qt.Check(t, extra <= requests/5+10/4, qt.IsTrue, qt.Commentf("%d retries", extra))
	qt.Check(t, extra > 0, qt.IsTrue)
}

// A caller's own words for what the system sets never reach an endpoint, and
// what is left of its time does.
func TestEndpointIsToldWhatTheSystemSets(t *testing.T) {
	b := newBench(t, breaks())
	_, _, err := b.ask(t, "/safe/x?q=1", "body", "Carawayspread-Deadline-Ms", "1500", "Carawayspread-Kv-Hold", "forged",
		"Carawayspread-Stage", "prefill", "Carawayspread-Pin-Ms", "1", "Carawayspread-Kv-Backup", "x", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "1")
	qt.Assert(t, err, qt.IsNil)
	sent := b.exchange.all()
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

// A malformed or too large request is refused by itself; the next is served.
func TestBadRequestHarmsNobody(t *testing.T) {
	b := newBench(t)
	resp, _, err := b.ask(t, "/never/x", strings.Repeat("x", 101))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	resp, _, err = b.ask(t, "/never/x", "p", tokens, "many,-5", "Carawayspread-Prefix-Hash", "zz:1,:,a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}

// Whoever asks why a caller was refused finds in the line which engine was best,
// what was expected there, of what it consisted, and what the target is.
func TestRefusalSaysWhatWasExpected(t *testing.T) {
	b := newBench(t)
	var behind []carawayspread.LoadUpdate
	for i := range 3 {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, "w", i)
		behind = append(behind, carawayspread.LoadUpdate{EndpointHash: h.Sum32(), Running: 1, PrefillTime: 2 * time.Second})
	}
	b.placer.ApplyLoadUpdates("peer", behind)
	resp, _, err := b.ask(t, "/resume/x", "text", "Carawayspread-Token-Count", "1000,10", "Carawayspread-Prefix-Hash", "a1:600,b2:400")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, b.exchange.all(), qt.HasLen, 0)
	b.log.Flush()
	line := b.lines.String()
	for _, want := range []string{"outcome=refused", "waitMs=2000.0", "targetMs=300.0", "best=w"} {
		qt.Check(t, line, qt.Contains, want)
	}
	qt.Check(t, line, qt.Not(qt.Contains), "expectedMs=0.0")
	qt.Check(t, line, qt.Not(qt.Contains), "workMs=0.0")
}
