package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// An endpoint turns requests away and says for how long it wants none from this process:
// each request tried it all the same, and found out again.
func TestEndpointGetsNothingWhileItAsksForAPause(t *testing.T) {
	const (
		endpoints = 4
		step      = time.Second / 150
		pause     = 3 * time.Second
	)
	for name, c := range map[string]struct {
		processes int
		proves    bool // the refusal says that the request has not run
	}{
		"one process":                   {1, true},
		"each process by itself":        {4, true},
		"a refusal that proves nothing": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.play(time.Second, step)
			asked := map[int]time.Time{} // by process: when it was last asked for a pause
			during := 0
			f.says = func(id carawayspread.EndpointID, process int) (int, http.Header) {
				if id != "w0" {
					return http.StatusOK, http.Header{}
				}
				now := f.clock.Now()
				if at, ok := asked[process]; ok && now.Sub(at) < pause {
					during++
				}
				asked[process] = now
				h := http.Header{"Retry-After": {"3"}}
				if c.proves {
					h.Set("Carawayspread-Not-Executed", "1")
				}
				return http.StatusServiceUnavailable, h
			}
			f.play(10*time.Second, step)
			qt.Check(t, during, qt.Equals, 0)
			qt.Check(t, asked, qt.HasLen, c.processes, qt.Commentf("one process's pause is not another's"))
			if c.proves {
				qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the others have room"))
			}
		})
	}
}

// A reader that turns a prompt away asks for a pause as any endpoint does.
func TestReaderGetsNothingWhileItAsksForAPause(t *testing.T) {
	b := newBench(t, answer(503, "Retry-After", "5", "Carawayspread-Server-Seal", ""), events(1, 2, io.EOF))
	b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
	ask := func() int {
		before := len(b.exchange.all())
		_, _, err := b.ask(t, "/once/x", "p", tokens, "5000,50")
		qt.Assert(t, err, qt.IsNil)
		reads := 0
		for _, s := range b.exchange.all()[before:] {
			if s.out.Header.Get("Carawayspread-Stage") != "" {
				reads++
			}
		}
		return reads
	}
	qt.Check(t, ask(), qt.Equals, 1)
	b.exchange.steps = []step{events(1, 2, io.EOF)}
	qt.Check(t, ask(), qt.Equals, 0)
	b.clock.Advance(5 * time.Second)
	b.exchange.steps = []step{handle(), events(1, 2, io.EOF)}
	qt.Check(t, ask(), qt.Equals, 1)
}

// All endpoints of a service ask for a pause: its callers are refused at once and told
// when the first of these ends.
func TestRefusalNamesTheEndOfThePause(t *testing.T) {
	f := newFeedbackFleet(1, 2)
	f.says = func(id carawayspread.EndpointID, _ int) (int, http.Header) {
		after := map[carawayspread.EndpointID]string{"w0": "4", "w1": "2.5"}
		return http.StatusServiceUnavailable, http.Header{"Carawayspread-Not-Executed": {"1"}, "Retry-After": {after[id]}}
	}
	_ = f.ask(0)
	_ = f.ask(0)
	f.clock.Advance(time.Second)
	w := f.ask(0)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "1.500")
	qt.Check(t, w.Body.String(), qt.Contains, `"notRun":true`)
	qt.Check(t, len(f.arrivals["w0"])+len(f.arrivals["w1"]), qt.Equals, 2)
}
