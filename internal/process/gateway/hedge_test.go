package gateway

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/hedging"
)

var errReset = errors.New("connection reset")

// race is a transport whose first and second attempt end as a test has it.
type race struct {
	mu         sync.Mutex
	sent       []sentAttempt
	secondSent chan struct{} // closed when the second attempt is sent
	firstEnded chan struct{} // closed when the first one has ended
	cancelled  [2]chan struct{}
	// first and second end the attempts; a nil one hangs until it is cancelled.
	first, second step
}

func newRace(first, second step) *race {
	return &race{
		secondSent: make(chan struct{}), firstEnded: make(chan struct{}),
		cancelled: [2]chan struct{}{make(chan struct{}), make(chan struct{})}, first: first, second: second,
	}
}

func (r *race) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	r.mu.Lock()
	n := len(r.sent)
	attempt := sentAttempt{to.ID(), out}
	r.sent = append(r.sent, attempt)
	r.mu.Unlock()
	if n > 1 {
		return nil, errors.New("a third attempt")
	}
	end, wait := r.first, r.secondSent
	if n == 1 {
		close(r.secondSent)
		end, wait = r.second, nil
		if r.first != nil {
			wait = r.firstEnded
		}
	}
	if end == nil {
		<-ctx.Done()
		close(r.cancelled[n])
		return nil, ctx.Err()
	}
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(300 * time.Millisecond): // nobody sends a second one
		}
	}
	if n == 0 {
		defer close(r.firstEnded)
	}
	return end(attempt)
}

func reset(sentAttempt) (*carawayspread.Reply, error) { return nil, errReset }

// racing returns a harness with three plain endpoints whose answers took 40 ms so far.
func racing(t *testing.T, r *race, share float64) *harness {
	b := newHarness(t)
	b.gateway.transport = r
	b.gateway.clock = carawayspread.SystemClock()
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{
		route("safe", carawayspread.RetryIdempotent, false, 2), route("never", carawayspread.RetryNever, false, 3),
	}, map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100}))
	b.engines("", "", "")
	if share > 0 {
		b.gateway.hedging = hedging.New(b.gateway.clock, share, 0)
		for range 200 {
			for _, route := range []string{"safe", "never"} {
				_, _ = b.gateway.hedging.Begin(route)
				b.gateway.hedging.Answered(route, 40*time.Millisecond)
			}
		}
	}
	return b
}

// A caller waits for an endpoint that holds its request although another one is free, gets no answer or an
// error although the other attempt is answered, or the attempt that lost goes on at its endpoint.
func TestSecondAttemptBesideASlowOne(t *testing.T) {
	for name, test := range map[string]struct {
		first, second step
		status        int
		cancelled     int // which attempt; -1 if none is
	}{
		"the second answers":                      {nil, answer(200), 200, 0},
		"the first answers after all":             {answer(200), nil, 200, 1},
		"the first breaks, the second answers":    {reset, answer(200), 200, -1},
		"the first returns an error of its own":   {answer(500), answer(200), 200, -1},
		"both break":                              {reset, reset, 502, -1},
		"the second breaks after the first broke": {answer(500), reset, 502, -1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRace(test.first, test.second)
			b := racing(t, r, 0.02)
			resp, _, err := b.post(t, "/safe/x", "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			r.mu.Lock()
			sent := append([]sentAttempt(nil), r.sent...)
			r.mu.Unlock()
			qt.Assert(t, sent, qt.HasLen, 2)
			qt.Check(t, sent[0].to, qt.Not(qt.Equals), sent[1].to)
			if test.cancelled >= 0 {
				select {
				case <-r.cancelled[test.cancelled]:
				case <-time.After(5 * time.Second):
					t.Error("the attempt that lost goes on")
				}
			}
		})
	}
}

// A request that may not run twice runs twice; a second attempt is sent where operators have not allowed
// any, beyond the retry budget of the fleet, or to the endpoint that is slow already.
func TestNoSecondAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		share     float64
		ratio     float64 // of the retry budget, and a tenth of its slack
		endpoints int
	}{
		"not repeatable":      {"/never/x", 0.02, 1, 3},
		"off":                 {"/safe/x", 0, 1, 3},
		"the budget is spent": {"/safe/x", 0.02, 0, 3},
		"one endpoint":        {"/safe/x", 0.02, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRace(answer(200), answer(200))
			b := racing(t, r, test.share)
			b.gateway.retryBudget = fleetbudget.Limits{Ratio: test.ratio, Slack: 10 * test.ratio, Window: 10 * time.Second}
			b.engines(make([]carawayspread.Role, test.endpoints)...)
			resp, _, err := b.post(t, test.path, "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			qt.Check(t, r.sent, qt.HasLen, 1)
		})
	}
}

// Guards against a request that is taken for one that crashes endpoints, as one of two attempts got a malformed answer.
func TestMalformedAnswerBesideASlowOne(t *testing.T) {
	malformed := func(sentAttempt) (*carawayspread.Reply, error) { return nil, carawayspread.ErrMalformed }
	for name, test := range map[string]struct {
		first, second step
		status        int
	}{
		"the first":  {malformed, answer(200), 200},
		"the second": {answer(200), malformed, 200},
		"both":       {malformed, malformed, 502},
	} {
		t.Run(name, func(t *testing.T) {
			b := racing(t, newRace(test.first, test.second), 0.02)
			resp, body, err := b.post(t, "/safe/x", "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, test.status == 200 || strings.Contains(body, `"notRun":false`), qt.IsTrue, qt.Commentf("%s", body))
			qt.Check(t, b.gateway.quarantine.Len(), qt.Equals, 0)
		})
	}
}
