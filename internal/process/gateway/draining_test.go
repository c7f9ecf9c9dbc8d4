package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// drainingAnswers makes one endpoint report in all its answers that it is draining.
func drainingAnswers(draining carawayspread.EndpointID) func(carawayspread.EndpointID, int) (int, http.Header) {
	return func(id carawayspread.EndpointID, _ int) (int, http.Header) {
		h := http.Header{}
		if id == draining {
			h.Set("Server-Leaving", "1")
		}
		return http.StatusOK, h
	}
}

// Guards against sending requests to an endpoint that reports in its answers that it is draining,
// while the list of endpoints, which cannot be refreshed from the store, still has it as ready.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	const (
		endpoints = 4
		step      = time.Second / 150
		grace     = 2 * time.Second
	)
	for name, c := range map[string]struct {
		processes int
		refresh   func(f *feedbackFleet) // changes the list of endpoints in the meantime
	}{
		"one process":                       {1, func(*feedbackFleet) {}},
		"several processes":                 {4, func(*feedbackFleet) {}},
		"the list is read again":            {4, func(f *feedbackFleet) { f.setEndpoints(endpoints) }},
		"the entry is lost and restored":    {4, func(f *feedbackFleet) { f.setEndpoints(0); f.setEndpoints(endpoints) }},
		"the entry is missing for a minute": {4, func(f *feedbackFleet) { f.setEndpoints(0); f.clock.Advance(time.Minute); f.setEndpoints(endpoints) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.run(time.Second, step)
			f.respond = drainingAnswers("w0")
			f.run(grace, step)
			before := len(f.arrivals["w0"])
			qt.Assert(t, before > 0, qt.IsTrue)
			for range 5 {
				c.refresh(f)
				f.run(2*time.Second, step)
			}
			qt.Check(t, len(f.arrivals["w0"])-before, qt.Equals, 0)
			qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the other endpoints have capacity"))
		})
	}
}

// Guards against handing requests over to a draining engine: with separate prefill and decode
// engines, one of the decode engines reports in its first answer that it is draining.
func TestHandoverSkipsADrainingEngine(t *testing.T) {
	const draining, requests = "w1", 40
	b := newHarness(t)
	b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
	for range 2 * requests {
		b.transport.steps = append(b.transport.steps, func(s sentAttempt) (*carawayspread.Reply, error) {
			if s.out.Header.Get("Carawayspread-Stage") != "" {
				return kvHandle()(s)
			}
			r, err := events(1, 2, io.EOF)(s)
			if s.to == draining {
				r.Header.Set("Server-Leaving", "1")
			}
			return r, err
		})
	}
	for n := range requests {
		_, _, err := b.post(t, "/once/x", strconv.Itoa(n), tokens, "5000,50")
		qt.Assert(t, err, qt.IsNil)
	}
	var toDraining, prefills int
	for _, s := range b.transport.all() {
		switch {
		case s.out.Header.Get("Carawayspread-Stage") != "":
			prefills++
		case s.to == draining:
			toDraining++
		}
	}
	qt.Check(t, prefills, qt.Equals, requests, qt.Commentf("every request is prefilled on the prefill engine"))
	qt.Check(t, toDraining, qt.Equals, 1, qt.Commentf("the draining engine gets nothing after the answer that reports it"))
}
