package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
)

// Guards against a daemon that waits without end for a request which its endpoint holds:
// the platform kills it, and the callers of all that run there get no answer.
func TestRequestThatOutlastsTheGraceOfADaemonIsAnswered(t *testing.T) {
	const grace = 5 * time.Second
	type asked func(entry *process) answer
	plain := func(entry *process) answer {
		return call(entry, http.MethodGet, "/services/records/1", "interactive", "", nil)
	}
	once := func(entry *process) answer {
		return call(entry, http.MethodPost, "/services/records/1", "finding", "text", nil, "Idempotency-Key", "key-1")
	}
	events := func(entry *process) answer { return stream(entry, "x", 500, nil) }
	for name, c := range map[string]struct {
		leaves string
		ask    asked
		code   carawayspread.Code // empty: what came before is followed by an error event
	}{
		"entry, a call":                           {"entry", plain, carawayspread.CodeDeadlineExceeded},
		"entry, one that runs at most once":       {"entry", once, carawayspread.CodeUnknownOutcome},
		"entry, a stream in its middle":           {"entry", events, ""},
		"sidecar, one that runs at most once":     {"sidecar", once, carawayspread.CodeUnknownOutcome},
		"sidecar, a stream that nobody can go on": {"sidecar", events, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			running := make(chan struct{}, 10)
			holds := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				<-r.Context().Done()
			})
			e := engine.New(engine.TokenEvery(50*time.Millisecond), engine.ChecksFence())
			text := strings.Replace(sidecarSettings, `"endpoints"`, fmt.Sprintf(`"timeouts": {"grace": "%v"}, "endpoints"`, grace), 1)
			daemons := map[string]*process{}
			daemons["sidecar"] = f.sidecarWith(text, "sidecar-1", model("engine-1", e), endpoint{"record-1", "records", "plain", holds})
			text = strings.Replace(entrySettings, `"timeouts": {`, fmt.Sprintf(`"timeouts": {"grace": "%v", `, grace), 1)
			daemons["entry"] = f.entryWith(text, "entry-1")
			got := make(chan answer, 1)
			go func() { got <- c.ask(daemons["entry"]) }()
			f.eventually(func() bool { return len(running) > 0 || e.Running() > 0 })
			time.Sleep(200 * time.Millisecond) // some events are out
			leaving := daemons[c.leaves]
			leaving.signal(terminate)
			select {
			case <-leaving.ended:
			case <-time.After(grace):
				t.Fatalf("it runs on at the end of its grace:\n%s", leaving.logged())
			}
			qt.Check(t, leaving.cmd.ProcessState.ExitCode(), qt.Equals, 0)
			a := <-got
			qt.Assert(t, a.err, qt.IsNil)
			if c.code == "" {
				qt.Check(t, a.status, qt.Equals, http.StatusOK)
				qt.Check(t, a.whole(), qt.IsFalse)
				qt.Check(t, a.body, qt.Contains, `"error"`)
				return
			}
			qt.Check(t, a.code(), qt.Equals, string(c.code), qt.Commentf("%d %s", a.status, a.body))
			qt.Check(t, a.notRun(), qt.IsFalse)
		})
	}
}
