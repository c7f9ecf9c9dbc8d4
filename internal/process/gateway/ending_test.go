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

// holding is a carawayspread.EndpointTransport of endpoints that hold requests for ever: those of
// the last step, after the steps before it.
type holding struct {
	script
	held chan struct{} // gets a word for each request that is held
}

func (h *holding) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	h.mu.Lock()
	more := len(h.steps) > 0
	h.mu.Unlock()
	if more {
		r, err := h.script.Send(ctx, to, out)
		if err == nil {
			r.Body = &heldBody{r.Body, ctx, h.held}
		}
		return r, err
	}
	h.held <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// heldBody has no end after its last byte, unless it is an error.
type heldBody struct {
	io.ReadCloser
	ctx  context.Context
	held chan struct{}
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 || err != io.ErrNoProgress { //nolint:errorlint // a mark, never wrapped
		return n, err
	}
	b.held <- struct{}{}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// begins answers with some events, and then nothing.
func begins(last int) step {
	return func(s sent) (*carawayspread.Reply, error) {
		var b strings.Builder
		for n := 1; n <= last; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
		}
		return reply(s, 200, b.String(), io.ErrNoProgress), nil
	}
}

// Guards against a request that is left without an answer, or with one that is not true,
// where its endpoint still holds it as the process ends.
func TestHeldRequestsAreAnsweredAsTheProcessEnds(t *testing.T) {
	const all = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n"
	for name, c := range map[string]struct {
		steps    []step
		prefill  bool // one engine reads prompts for the others
		path     string
		headers  []string
		status   int
		comeBack bool
		body     string // what came before the answer broke off; empty where it did not
	}{
		"a safe one":                    {path: "/safe/x", status: 504},
		"one that must not run twice":   {path: "/never/x", status: 504},
		"its second attempt":            {steps: []step{cut()}, path: "/safe/x", status: 504},
		"after a refusal":               {steps: []step{notRun(503)}, path: "/never/x", status: 504},
		"a stream without an event":     {path: "/resume/x", headers: []string{tokens, "5000,50"}, status: 504},
		"a stream in its middle":        {steps: []step{begins(2)}, path: "/resume/x", headers: []string{tokens, "5000,50"}, status: 200, body: all},
		"a prompt that is being read":   {prefill: true, path: "/once/x", headers: []string{tokens, "5000,50"}, status: 503, comeBack: true},
		"a prompt that was read before": {steps: []step{handle()}, prefill: true, path: "/once/x", headers: []string{tokens, "5000,50"}, status: 504},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if c.prefill {
				b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
			}
			h := &holding{script: script{steps: c.steps}, held: make(chan struct{}, 10)}
			b.gateway.exchange = h
			serving, end := context.WithCancelCause(context.Background())
			b.server = httptest.NewUnstartedServer(b.gateway)
			b.server.Config.BaseContext = func(net.Listener) context.Context { return serving }
			b.server.Start()
			t.Cleanup(b.server.Close)
			go func() {
				<-h.held
				b.gateway.Leave(b.clock.Now(), b.clock.Now())
				end(carawayspread.ErrShutdown)
			}()
			resp, body, err := b.ask(t, c.path, "body", c.headers...)
			if c.body != "" {
				qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
				qt.Check(t, body, qt.Equals, c.body)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.status)
			qt.Check(t, resp.Header.Get("Retry-After") != "", qt.Equals, c.comeBack)
			qt.Check(t, resp.Close, qt.IsTrue)
			b.log.Flush()
			qt.Check(t, b.lines.String(), qt.Not(qt.Contains), "callerLeft")
		})
	}
}

// Guards against a caller that is reset where the process ends before it has sent all of
// its request: nothing of it has run, and it can be told so.
func TestHalfSentRequestIsRefusedAsTheProcessEnds(t *testing.T) {
	b := newBench(t)
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
		b.gateway.Leave(b.clock.Now(), b.clock.Now())
		end(carawayspread.ErrShutdown)
	}()
	resp, err := http.DefaultTransport.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Header.Get("Retry-After") != "", qt.IsTrue)
	qt.Check(t, b.exchange.all(), qt.HasLen, 0)
}
