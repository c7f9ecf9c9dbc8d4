package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// fullPlacer has no room while full is set.
type fullPlacer struct {
	carawayspread.Placer
	full atomic.Bool
}

func (p *fullPlacer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	if p.full.Load() {
		return carawayspread.Placement{TimeToFirstEvent: 100 * time.Millisecond}, carawayspread.NewError(carawayspread.CodeNoEndpoint, "full",
			carawayspread.NotRun(), carawayspread.RetryAfter(time.Second), carawayspread.CausedBy(carawayspread.ErrNoRoom))
	}
	return p.Placer.Place(req)
}

// waitFor waits until so many requests wait for room.
func waitFor(t *testing.T, g *Gateway, n float64) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); g.waitingRequests() != n; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v wait", g.waitingRequests()))
	}
}

// Callers are refused at once when the engines are full for some milliseconds, and come back late. A request waits
// for room instead while it can be in time, here for 200 of 300 ms, and is told truthfully that it has not run
// where none came. It never waits where operators let none wait, or behind a full queue, or for a caller that left.
func TestRequestWaitsForRoom(t *testing.T) {
	for name, test := range map[string]struct {
		limit   int
		until   time.Duration // until there is room; zero for never
		waiting float64
		status  int
	}{
		"room comes":      {4, 150 * time.Millisecond, 1, 200},
		"room comes late": {4, 0, 1, 503},
		"none may wait":   {0, 0, 0, 503},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, events(1, 2, io.EOF))
			placer := &fullPlacer{Placer: b.placer}
			placer.full.Store(true)
			b.gateway.placer, b.gateway.maxWaiting = placer, test.limit
			done := make(chan *http.Response)
			go func() {
				resp, _, _ := b.post(t, "/once/x", "p", tokens, "100,50")
				done <- resp
			}()
			waitFor(t, b.gateway, test.waiting)
			waited := time.Duration(0)
			for {
				select {
				case resp := <-done:
					qt.Assert(t, resp, qt.IsNotNil)
					qt.Check(t, resp.StatusCode, qt.Equals, test.status)
					qt.Check(t, resp.StatusCode == 200 || resp.Header.Get("Retry-After") == "1.000", qt.IsTrue)
					qt.Check(t, waited <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
					qt.Check(t, b.gateway.waitingRequests(), qt.Equals, 0.0)
					return
				case <-time.After(5 * time.Millisecond):
					b.clock.Advance(10 * time.Millisecond)
					waited += 10 * time.Millisecond
					placer.full.Store(test.until == 0 || waited < test.until)
				}
			}
		})
	}
}

// A burst must not make the process hold requests without bound, and a caller that has left must not keep its place.
func TestWaitingIsBounded(t *testing.T) {
	b := newHarness(t)
	placer := &fullPlacer{Placer: b.placer}
	placer.full.Store(true)
	b.gateway.placer, b.gateway.maxWaiting = placer, 1
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/once/x", strings.NewReader("p"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "a.example"
	req.Header.Set(tokens, "100,50")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	waitFor(t, b.gateway, 1)
	b.clock.Advance(time.Millisecond)
	resp, _, err := b.post(t, "/once/x", "p", tokens, "100,50")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	leave()
	waitFor(t, b.gateway, 0)
}
