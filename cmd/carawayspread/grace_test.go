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

// Guards against a daemon that waits without limit for a request which its endpoint stalls. The
// platform then kills the daemon, and the callers of all requests that run there get no answer.
func TestRequestThatOutlastsTheGraceOfADaemonIsAnswered(t *testing.T) {
	const grace = 5 * time.Second
	type request func(entry *process) answer
	plain := func(entry *process) answer {
		return call(entry, http.MethodGet, "/services/records/1", "interactive", "", nil)
	}
	atMostOnce := func(entry *process) answer {
		return call(entry, http.MethodPost, "/services/records/1", "finding", "text", nil, "Idempotency-Key", "key-1")
	}
	streamed := func(entry *process) answer { return stream(entry, "x", 500, nil) }
	for name, c := range map[string]struct {
		terminated string
		send       request
		code       carawayspread.Code // empty for a stream, which ends with an error event
	}{
		"entry, a call":                               {"entry", plain, carawayspread.CodeDeadlineExceeded},
		"entry, an at-most-once request":              {"entry", atMostOnce, carawayspread.CodeUnknownOutcome},
		"entry, a running stream":                     {"entry", streamed, ""},
		"sidecar, an at-most-once request":            {"sidecar", atMostOnce, carawayspread.CodeUnknownOutcome},
		"sidecar, a stream that no engine can resume": {"sidecar", streamed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			running := make(chan struct{}, 10)
			stall := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				<-r.Context().Done()
			})
			e := engine.New(engine.TokenEvery(50*time.Millisecond), engine.ChecksFence())
			text := strings.Replace(sidecarSettings, `"endpoints"`, fmt.Sprintf(`"timeouts": {"grace": "%v"}, "endpoints"`, grace), 1)
			daemons := map[string]*process{}
			daemons["sidecar"] = f.sidecarWith(text, "sidecar-1", model("engine-1", e), endpoint{"record-1", "records", "plain", stall})
			text = strings.Replace(entrySettings, `"timeouts": {`, fmt.Sprintf(`"timeouts": {"grace": "%v", `, grace), 1)
			daemons["entry"] = f.entryWith(text, "entry-1")
			got := make(chan answer, 1)
			go func() { got <- c.send(daemons["entry"]) }()
			f.eventually(func() bool { return len(running) > 0 || e.Running() > 0 })
			time.Sleep(200 * time.Millisecond) // some events have been sent
			draining := daemons[c.terminated]
			draining.signal(terminate)
			select {
			case <-draining.ended:
			case <-time.After(grace):
				t.Fatalf("the daemon still runs at the end of its grace:\n%s", draining.logged())
			}
			qt.Check(t, draining.cmd.ProcessState.ExitCode(), qt.Equals, 0)
			a := <-got
			qt.Assert(t, a.err, qt.IsNil)
			if c.code == "" {
				qt.Check(t, a.status, qt.Equals, http.StatusOK)
				qt.Check(t, a.complete(), qt.IsFalse)
				qt.Check(t, a.body, qt.Contains, `"error"`)
				return
			}
			qt.Check(t, a.code(), qt.Equals, string(c.code), qt.Commentf("%d %s", a.status, a.body))
			qt.Check(t, a.notRun(), qt.IsFalse)
		})
	}
}
