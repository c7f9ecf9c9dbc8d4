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
func drains(leaving carawayspread.EndpointID) func(carawayspread.EndpointID, int) (int, http.Header) {
	return func(id carawayspread.EndpointID, _ int) (int, http.Header) {
		h := http.Header{}
		if id == leaving {
			h.Set("Server-Leaving", "1")
		}
		return http.StatusOK, h
	}
}

// An endpoint says in its answers that it leaves while the list of endpoints, which the
// store cannot give, goes on naming it as ready: it got as many requests as before.
func TestEndpointThatSaysItLeavesGetsNothingNew(t *testing.T) {
	const (
		endpoints = 4
		step      = time.Second / 150
		grace     = 2 * time.Second
	)
	for name, c := range map[string]struct {
		processes int
		lists     func(f *feedbackFleet) // what the processes read of the list meanwhile
	}{
		"one process":                   {1, func(*feedbackFleet) {}},
		"some processes":                {4, func(*feedbackFleet) {}},
		"the list is read again":        {4, func(f *feedbackFleet) { f.list(endpoints) }},
		"the entry lapses and is back":  {4, func(f *feedbackFleet) { f.list(0); f.list(endpoints) }},
		"the entry is gone for a while": {4, func(f *feedbackFleet) { f.list(0); f.clock.Advance(time.Minute); f.list(endpoints) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeedbackFleet(c.processes, endpoints)
			f.play(time.Second, step)
			f.says = drains("w0")
			f.play(grace, step)
			before := len(f.arrivals["w0"])
			qt.Assert(t, before > 0, qt.IsTrue)
			for range 5 {
				c.lists(f)
				f.play(2*time.Second, step)
			}
			qt.Check(t, len(f.arrivals["w0"])-before, qt.Equals, 0)
			qt.Check(t, f.refused, qt.Equals, 0, qt.Commentf("the others have room"))
		})
	}
}

// Prompts are read by one engine and answered by others, of which one says that it
// leaves: the second halves of requests went on to be sent there.
func TestHandOverPassesByAnEngineThatSaysItLeaves(t *testing.T) {
	const leaving, asks = "w1", 40
	b := newBench(t)
	b.engines(carawayspread.RolePrefill, carawayspread.RoleDecode, carawayspread.RoleDecode)
	for range 2 * asks {
		b.exchange.steps = append(b.exchange.steps, func(s sent) (*carawayspread.Reply, error) {
			if s.out.Header.Get("Carawayspread-Stage") != "" {
				return handle()(s)
			}
			r, err := events(1, 2, io.EOF)(s)
			if s.to == leaving {
				r.Header.Set("Server-Leaving", "1")
			}
			return r, err
		})
	}
	for n := range asks {
		_, _, err := b.ask(t, "/once/x", strconv.Itoa(n), tokens, "5000,50")
		qt.Assert(t, err, qt.IsNil)
	}
	var there, read int
	for _, s := range b.exchange.all() {
		switch {
		case s.out.Header.Get("Carawayspread-Stage") != "":
			read++
		case s.to == leaving:
			there++
		}
	}
	qt.Check(t, read, qt.Equals, asks, qt.Commentf("all are handed over"))
	qt.Check(t, there, qt.Equals, 1, qt.Commentf("the answer that said so is the last"))
}
