package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// stallingTransport is a carawayspread.EndpointTransport that follows the script, and then never
// answers any more.
type stallingTransport struct {
	scriptedTransport
	stalled chan struct{} // receives one value for each request that stalls
}

func (h *stallingTransport) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	h.mu.Lock()
	more := len(h.steps) > 0
	h.mu.Unlock()
	if more {
		r, err := h.scriptedTransport.Send(ctx, to, out)
		if err == nil {
			r.Body = &stallingBody{r.Body, ctx, h.stalled}
		}
		return r, err
	}
	h.stalled <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// stallingBody blocks after its last byte where the scripted body ends with io.ErrNoProgress.
type stallingBody struct {
	io.ReadCloser
	ctx     context.Context
	stalled chan struct{}
}

func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 || err != io.ErrNoProgress { //nolint:errorlint // a sentinel, never wrapped
		return n, err
	}
	b.stalled <- struct{}{}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// stallAfter answers with the events up to last, and then stalls.
func stallAfter(last int) step {
	return func(s sentAttempt) (*carawayspread.Reply, error) {
		var b strings.Builder
		for n := 1; n <= last; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
		}
		return reply(s, 200, b.String(), io.ErrNoProgress), nil
	}
}

// Guards against requests that get no answer, or one that misstates whether they have run, because
// their endpoint has stalled on them when the process ends.
func TestStalledRequestsAreAnsweredAtShutdown(t *testing.T) {
	const all = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n"
	for name, c := range map[string]struct {
		steps      []step
		prefill    bool // one engine prefills for the others
		path       string
		headers    []string
		status     int
		retryAfter bool
		body       string // what arrived before the answer broke off; empty where it did not break off
	}{
		"idempotent":              {path: "/safe/x", status: 504},
		"must not run twice":      {path: "/never/x", status: 504},
		"second attempt":          {steps: []step{truncated()}, path: "/safe/x", status: 504},
		"after a refusal":         {steps: []step{notRun(503)}, path: "/never/x", status: 504},
		"stream without an event": {path: "/resume/x", headers: []string{tokens, "5000,50"}, status: 504},
		"stream after two events": {steps: []step{stallAfter(2)}, path: "/resume/x", headers: []string{tokens, "5000,50"}, status: 200, body: all},
		"prompt in prefill":       {prefill: true, path: "/once/x", headers: []string{tokens, "5000,50"}, status: 503, retryAfter: true},
		"prompt in decode":        {steps: []step{kvHandle()}, prefill: true, path: "/once/x", headers: []string{tokens, "5000,50"}, status: 504},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			if c.prefill {
				b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
			}
			h := &stallingTransport{scriptedTransport: scriptedTransport{steps: c.steps}, stalled: make(chan struct{}, 10)}
			b.gateway.transport = h
			serving, end := context.WithCancelCause(context.Background())
			b.server = httptest.NewUnstartedServer(b.gateway)
			b.server.Config.BaseContext = func(net.Listener) context.Context { return serving }
			b.server.Start()
			t.Cleanup(b.server.Close)
			go func() {
				<-h.stalled
				b.gateway.Drain(b.clock.Now(), b.clock.Now())
				end(carawayspread.ErrShutdown)
			}()
			resp, body, err := b.post(t, c.path, "body", c.headers...)
			if c.body != "" {
				qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
				qt.Check(t, body, qt.Equals, c.body)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.status)
			qt.Check(t, resp.Header.Get("Retry-After") != "", qt.Equals, c.retryAfter)
			qt.Check(t, resp.Close, qt.IsTrue)
			b.log.Flush()
			qt.Check(t, b.lines.String(), qt.Not(qt.Contains), "callerLeft")
		})
	}
}

// Guards against resetting a caller that has sent only a part of its request when the process ends:
// nothing has run, so it must get a refusal that says so.
func TestPartlyReceivedRequestIsRefusedAtShutdown(t *testing.T) {
	b := newHarness(t)
	serving, end := context.WithCancelCause(context.Background())
	b.server = httptest.NewUnstartedServer(b.gateway)
	b.server.Config.BaseContext = func(net.Listener) context.Context { return serving }
	b.server.Start()
	t.Cleanup(b.server.Close)
	body, more := io.Pipe()
	t.Cleanup(func() { _ = more.Close() })
	req, err := http.NewRequest(http.MethodPost, b.server.URL+"/never/x", body)
	qt.Assert(t, err, qt.IsNil)
	req.Host = "a.example"
	req.ContentLength = 10
	go func() {
		_, _ = more.Write([]byte("half"))
		for b.gateway.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.gateway.Drain(b.clock.Now(), b.clock.Now())
		end(carawayspread.ErrShutdown)
	}()
	resp, err := http.DefaultTransport.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Header.Get("Retry-After") != "", qt.IsTrue)
	qt.Check(t, b.transport.all(), qt.HasLen, 0)
}
