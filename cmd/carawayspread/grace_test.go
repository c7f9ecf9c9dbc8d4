package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// Guards against requests that an ending entry sends to an endpoint so late that their answers are aborted: their
// bodies were still arriving when it was told to end.
func TestSlowBodyIsNotBegunAtTheEndOfAnEntry(t *testing.T) {
	const grace = 5 * time.Second // of which requests have 3.5 s
	for name, test := range map[string]struct {
		body     time.Duration // from the signal to the end of the body
		deadline time.Duration // from the signal; zero for none
		status   int
	}{
		"late":                          {2300 * time.Millisecond, 0, http.StatusServiceUnavailable},
		"late, deadline before the end": {2300 * time.Millisecond, 3100 * time.Millisecond, http.StatusOK},
		"early":                         {500 * time.Millisecond, 0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var runs atomic.Int64
			f.sidecar("sidecar-1", endpoint{"record-1", "records", "plain", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Method == http.MethodPut { // no probe
					runs.Add(1)
				}
			})})
			entry := f.entryWith(strings.Replace(entrySettings, `"timeouts": {`, fmt.Sprintf(`"timeouts": {"grace": "%v", `, grace), 1), "entry-1")
			conn, err := net.Dial("tcp4", entry.row.Address)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			header := ""
			if test.deadline > 0 {
				header = "X-Deadline: " + time.Now().Add(test.deadline).Format(time.RFC3339Nano) + "\r\n"
			}
			_, err = fmt.Fprintf(conn, "PUT /services/records/1 HTTP/1.1\r\nHost: a\r\nX-Workspace: demo\r\nX-Class: interactive\r\n%sContent-Length: 4\r\n\r\nbo", header)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond) // the entry reads the body
			entry.signal(terminate)
			time.Sleep(test.body)
			_, err = io.WriteString(conn, "dy")
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, resp.Header.Get("Retry-After") != "", qt.Equals, test.status != http.StatusOK)
			qt.Check(t, runs.Load() > 0, qt.Equals, test.status == http.StatusOK)
			<-entry.ended
			qt.Check(t, entry.cmd.ProcessState.ExitCode(), qt.Equals, 0)
		})
	}
}
