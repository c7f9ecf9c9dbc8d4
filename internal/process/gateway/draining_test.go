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

// drains makes an endpoint say in all its answers that it leaves.
func drainingAnswers(draining carawayspread.EndpointID) func(carawayspread.EndpointID, int) (int, http.Header) {
	return func(id carawayspread.EndpointID, _ int) (int, http.Header) {
		h := http.Header{}
		if id == draining {
			h.Set("Server-Leaving", "1")
		}
		return http.StatusOK, h
	}
}

// An endpoint says in its answers that it leaves while the list of endpoints, which the
// store cannot give, goes on naming it as ready: it got as many requests as before.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	const (
		endpoints = 4
		step      = time.Second / 150
		grace     = 2 * time.Second
	)
	for name, c := range map[string]struct {
		processes int
		refresh   func(f *feedbackFleet) // what the processes read of the list meanwhile
	}{
		"one process":                   {1, func(*feedbackFleet) {}},
		"some processes":                {4, func(*feedbackFleet) {}},
		"the list is read again":        {4, func(f *feedbackFleet) { f.setEndpoints(endpoints) }},
		"the entry lapses and is back":  {4, func(f *feedbackFleet) { f.setEndpoints(0); f.setEndpoints(endpoints) }},
		"the entry is gone for a while": {4, func(f *feedbackFleet) { f.setEndpoints(0); f.clock.Advance(time.Minute); f.setEndpoints(endpoints) }},
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
			qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the others have room"))
		})
	}
}

// Prompts are read by one engine and answered by others, of which one says that it
// leaves: the second halves of requests went on to be sent there.
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
	qt.Check(t, prefills, qt.Equals, requests, qt.Commentf("all are handed over"))
	qt.Check(t, toDraining, qt.Equals, 1, qt.Commentf("the answer that said so is the last"))
}
