package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against sending requests to an endpoint that refused one with a Retry-After, before that
// time is over. The Retry-After holds for the process that received it.
func TestEndpointGetsNothingDuringItsRetryAfter(t *testing.T) {
	const (
		endpoints  = 4
		step       = time.Second / 150
		retryAfter = 3 * time.Second
	)
	for name, c := range map[string]struct {
		processes    int
		provesNotRun bool // the refusal proves that the request has not run
	}{
		"one process":                   {1, true},
		"each process by itself":        {4, true},
		"a refusal that proves nothing": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.run(time.Second, step)
			refusedAt := map[int]time.Time{} // by process: when it was last refused
			sentDuring := 0
			f.respond = func(id carawayspread.EndpointID, process int) (int, http.Header) {
				if id != "w0" {
					return http.StatusOK, http.Header{}
				}
				now := f.clock.Now()
				if at, ok := refusedAt[process]; ok && now.Sub(at) < retryAfter {
					sentDuring++
				}
				refusedAt[process] = now
				h := http.Header{"Retry-After": {"3"}}
				if c.provesNotRun {
					h.Set("Carawayspread-Not-Executed", "1")
				}
				return http.StatusServiceUnavailable, h
			}
			f.run(10*time.Second, step)
			qt.Check(t, sentDuring, qt.Equals, 0)
			qt.Check(t, refusedAt, qt.HasLen, c.processes, qt.Commentf("each process is refused for itself"))
			if c.provesNotRun {
				qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the other endpoints have capacity"))
			}
		})
	}
}

// Guards against ignoring the Retry-After of a prefill engine that refuses a prompt.
func TestPrefillEngineGetsNothingDuringItsRetryAfter(t *testing.T) {
	b := newHarness(t, answer(503, "Retry-After", "5", "Carawayspread-Server-Seal", ""), events(1, 2, io.EOF))
	b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
	post := func() int {
		before := len(b.transport.all())
		_, _, err := b.post(t, "/once/x", "p", tokens, "5000,50")
		qt.Assert(t, err, qt.IsNil)
		prefills := 0
		for _, s := range b.transport.all()[before:] {
			if s.out.Header.Get("Carawayspread-Stage") != "" {
				prefills++
			}
		}
		return prefills
	}
	qt.Check(t, post(), qt.Equals, 1)
	b.transport.steps = []step{events(1, 2, io.EOF)}
	qt.Check(t, post(), qt.Equals, 0)
	b.clock.Advance(5 * time.Second)
	b.transport.steps = []step{kvHandle(), events(1, 2, io.EOF)}
	qt.Check(t, post(), qt.Equals, 1)
}

// Guards against a refusal without the right Retry-After: when all endpoints of a service refuse
// with a Retry-After, callers are refused at once and get the time until the earliest one ends.
func TestRefusalCarriesTheEarliestRetryAfter(t *testing.T) {
	f := newFeedbackFleet(1, 2)
	f.respond = func(id carawayspread.EndpointID, _ int) (int, http.Header) {
		after := map[carawayspread.EndpointID]string{"w0": "4", "w1": "2.5"}
		return http.StatusServiceUnavailable, http.Header{"Carawayspread-Not-Executed": {"1"}, "Retry-After": {after[id]}}
	}
	_ = f.post(0)
	_ = f.post(0)
	f.clock.Advance(time.Second)
	w := f.post(0)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "1.500")
	qt.Check(t, w.Body.String(), qt.Contains, `"notRun":true`)
	qt.Check(t, len(f.arrivals["w0"])+len(f.arrivals["w1"]), qt.Equals, 2)
}
