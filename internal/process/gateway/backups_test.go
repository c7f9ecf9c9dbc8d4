package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/runbackups"
	"carawayspread/internal/standin/worker"
)

// An engine ends in the middle of an answer that nobody may make again, and its caller loses it though another
// engine has a copy. Or the request goes on at that engine while the first one, which only broke the answer off,
// is still at work on it.
func TestRunGoesOnFromItsCopy(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		engines []string
		first   worker.Behaviour // of the engine that gets the request
		refuse  bool             // the engine with the copy has lost it
		events  int
		runs    int
		copies  bool // one is asked for
	}{
		"its engine ends":            {path: "/once/stream/x", engines: []string{"a", "b"}, first: worker.CrashMidway, events: worker.Events, runs: 2, copies: true},
		"its engine goes dark":       {path: "/once/stream/x", engines: []string{"a", "b"}, first: worker.DarkMidway, events: worker.Events, runs: 2, copies: true},
		"dark, another attempt":      {path: "/resume/stream/x", engines: []string{"a", "b"}, first: worker.DarkMidway, events: worker.Events, runs: 2},
		"its engine breaks off":      {path: "/once/stream/x", engines: []string{"a", "b"}, first: worker.Truncate, events: 1, runs: 1, copies: true},
		"the copy is lost":           {path: "/once/stream/x", engines: []string{"a", "b"}, first: worker.CrashMidway, refuse: true, events: 1, runs: 1, copies: true},
		"nothing fails":              {path: "/once/stream/x", engines: []string{"a", "b"}, events: worker.Events, runs: 1, copies: true},
		"no other engine":            {path: "/once/stream/x", engines: []string{"a"}, first: worker.CrashMidway, events: 1, runs: 1},
		"no other of its build":      {path: "/once/stream/x", engines: []string{"a", "b:v2"}, first: worker.CrashMidway, events: 1, runs: 1},
		"another attempt is allowed": {path: "/resume/stream/x", engines: []string{"a", "b"}, events: worker.Events, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFleet(t, "a", "b")
			f.gateway.backups = runbackups.New(carawayspread.SystemClock(), 1, func() (int, bool) { return 1, true })
			first := f.engines["a"]
			first.AppendScript(test.first)
			f.list(test.engines...)
			if test.engines[len(test.engines)-1] != "a" {
				f.engines["b"].AppendScript(test.first)
			}
			s := f.begin(t, test.path)
			if s.resp.Header.Get("Carawayspread-Server-Seal") == "b.id-1" {
				first = f.engines["b"]
			}
			for _, w := range f.engines {
				if w != first {
					w.ClearScript()
				}
				if w != first && test.refuse {
					w.ForgetMemories()
				}
			}
			body, err := s.rest()
			qt.Check(t, body, qt.Equals, eventsUpTo(test.events))
			qt.Check(t, err == nil, qt.Equals, test.events == worker.Events, qt.Commentf("%v", err))
			qt.Check(t, f.ranAt(), qt.HasLen, test.runs)
			qt.Check(t, first.Requests()[0].Header.Get("Carawayspread-Kv-Backup") != "", qt.Equals, test.copies)
			for _, w := range f.engines {
				qt.Check(t, w.Violations(), qt.HasLen, 0)
			}
		})
	}
}
