package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/direct"
	"carawayspread/internal/standin/worker"
)

// Guards against requests that are cut at shutdown, since they were placed in time in a drain and sent only after they
// had waited for a reservation or a connection.
func TestRequestIsNotSentLateInADrain(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		header  []string
		reserve bool
		waits   string // what is sent late: "reservation", "whole", "prefill" or "decode"
		status  int
	}{
		"a slow connection":                 {path: "/never/x", waits: "whole", status: 503},
		"a slow connection, may be retried": {path: "/safe/x", waits: "whole", status: 503},
		"a slow connection, prefill":        {path: "/once/stream/x", header: []string{tokens, "5000,50"}, waits: "prefill", status: 503},
		"a slow connection, decode":         {path: "/once/stream/x", header: []string{tokens, "5000,50"}, waits: "decode", status: 503},
		"decode, may be taken up":           {path: "/resume/stream/x", header: []string{tokens, "5000,50"}, waits: "decode", status: 200},
		"a slow reservation":                {path: "/once/stream/x", header: []string{tokens, "100,50"}, reserve: true, waits: "reservation", status: 503},
		"deadline before the end":           {path: "/never/x", header: []string{"Carawayspread-Deadline-Ms", "3500"}, waits: "whole", status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			client := direct.New()
			t.Cleanup(client.Close)
			b := newHarness(t)
			if test.reserve {
				b.gateway.placer = contestedPlacer{b.placer}
			}
			var listed []carawayspread.Endpoint
			var decoders []*worker.Worker
			for id, role := range map[string]carawayspread.Role{"p0": carawayspread.RolePrefill, "d0": carawayspread.RoleDecode, "d1": carawayspread.RoleDecode} {
				w, err := worker.New(id)
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(w.Close)
				if role == carawayspread.RoleDecode {
					decoders = append(decoders, w)
				}
				listed = append(listed, carawayspread.NewEndpoint(carawayspread.EndpointID(id), "s", "z", w.Address(), false, carawayspread.WithRole(role), carawayspread.WithSlots(8)))
			}
			b.gateway.SetEndpoints(listed)
			var once sync.Once
			b.gateway.transport = slowConnect{client, func(_ carawayspread.EndpointID, out carawayspread.Outbound) {
				what := "whole"
				switch {
				case out.Target == "/-/hold-take":
					what = "reservation"
				case out.Header.Get("Carawayspread-Stage") != "":
					what = "prefill"
				case out.Header.Get("Carawayspread-Kv-Source") != "":
					what = "decode"
				}
				if what == test.waits {
					once.Do(func() { b.clock.Advance(200 * time.Millisecond) })
				}
			}}
			b.drainOf8s()
			b.clock.Advance(2900 * time.Millisecond)
			resp, body, err := b.post(t, test.path, "body", test.header...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			var ran int
			for _, w := range decoders {
				ran += w.Runs()
			}
			qt.Check(t, ran > 0, qt.Equals, test.status == http.StatusOK)
			if test.status == http.StatusServiceUnavailable {
				qt.Check(t, body, qt.Contains, "this process is leaving")
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// Guards against a second attempt beside a slow one that is begun so late in a drain that it can only be cut.
func TestNoSecondAttemptBesideOneLateInADrain(t *testing.T) {
	for name, test := range map[string]struct {
		end  time.Duration // of the drain, from now
		sent int
	}{
		"deadline after the end":  {5 * time.Second, 1},
		"deadline before the end": {10 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRace(answer(200), nil)
			b := racing(t, r, 0.02)
			now := b.gateway.clock.Now()
			b.gateway.Drain(now.Add(30*time.Millisecond), now.Add(test.end))
			resp, _, err := b.post(t, "/safe/x", "body")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			r.mu.Lock()
			defer r.mu.Unlock()
			qt.Check(t, r.sent, qt.HasLen, test.sent)
		})
	}
}

// Guards against a run that is stopped for its move right before the process ends, so that nobody goes on with it
// although its own engine would have ended it.
func TestRunIsNotStoppedRightBeforeTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end time.Duration // of the drain, from the first event
		at  []string      // engines that ran a part of the request
	}{
		"less is left than a stop may take": {800 * time.Millisecond, []string{"a"}},
		"enough is left":                    {7 * time.Second, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFleet(t, "a", "b")
			f.list("a")
			s := f.begin(t, "/once/stream/x")
			now := f.gateway.clock.Now()
			f.gateway.Drain(now, now.Add(test.end))
			f.list("a:leaving", "b")
			body, err := s.rest()
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, eventsUpTo(worker.Events))
			qt.Check(t, f.ranAt(), qt.DeepEquals, test.at)
			f.checkNothingLeft(t)
		})
	}
}
