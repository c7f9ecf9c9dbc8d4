package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
	"carawayspread/internal/standin/plain"
)

const gap = 20 * time.Millisecond // between tokens of the engines under test

// twoEngines starts two sidecars with one engine each, and an entry. A crashed engine does not
// restart during the test.
func twoEngines(t *testing.T, opts ...engine.Option) (f *fleet, entry *process, sidecars map[*engine.Engine]*process) {
	f = newFleet(t)
	sidecars = map[*engine.Engine]*process{}
	for _, id := range []string{"1", "2"} {
		e := engine.New(append(opts, engine.TokenEvery(gap), engine.ChecksFence(), engine.Restart(time.Hour))...)
		sidecars[e] = f.sidecar("sidecar-"+id, model("engine-"+id, e))
		sidecars[e].link = f.insertLink(sidecars[e])
	}
	return f, f.entry("entry-1"), sidecars
}

// busy returns the engine that runs a request.
func busy(sidecars map[*engine.Engine]*process) *engine.Engine {
	for e := range sidecars {
		if e.Running() > 0 {
			return e
		}
	}
	return nil
}

func logs(entry *process, sidecars map[*engine.Engine]*process) string {
	all := entry.logged()
	for _, sidecar := range sidecars {
		all += sidecar.logged()
	}
	return all
}

// Guards against an answer that is incomplete or differs between a streamed and an unstreamed
// completion, through separate entry and sidecar processes. A plain service is called as well.
func TestWholePath(t *testing.T) {
	for name, opts := range map[string][]engine.Option{"framed": nil, "unframed": {engine.Unframed()}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.sidecar("sidecar-1", model("engine-1", engine.New(append(opts, engine.ChecksFence())...)), records("records-1", plain.New(0)))
			entry := f.entry("entry-1")

			streamed := stream(entry, "vereda", 5, nil)
			qt.Check(t, streamed.complete(), qt.IsTrue)
			whole := call(entry, http.MethodPost, "/v1/completions", "interactive", `{"model":"stand-in","prompt":"vereda","max_tokens":5}`, nil)
			qt.Check(t, whole.status, qt.Equals, http.StatusOK)
			qt.Check(t, whole.text(), qt.Equals, streamed.text())
			record := call(entry, http.MethodGet, "/services/records/records/7", "interactive", "", nil)
			qt.Check(t, record.body, qt.Equals, "{\"record\":\"7\"}\n")
		})
	}
}

// Guards against a stream that the caller sees interrupted. After the first tokens the sidecar is
// killed, paused or cut off from the network, while the table is down too, or the engine crashes.
// The entry detects the closed connection or the missing events, and has another engine resume after
// the last event that the caller has.
func TestStreamIsResumed(t *testing.T) {
	kill := func(_ *engine.Engine, sidecar *process) { sidecar.kill() }
	crash := func(e *engine.Engine, _ *process) { e.Crash() }
	tests := map[string]struct {
		fail    func(e *engine.Engine, sidecar *process)
		crash   bool
		engines []engine.Option
	}{
		"sidecar killed":           {kill, false, nil},
		"sidecar killed, unframed": {kill, false, []engine.Option{engine.Unframed()}},
		"sidecar paused":           {func(_ *engine.Engine, sidecar *process) { sidecar.signal(syscall.SIGSTOP) }, false, nil},
		"network cut":              {func(_ *engine.Engine, sidecar *process) { sidecar.link.cut.Store(true) }, false, nil},
		"engine crashed":           {crash, true, nil},
		"engine crashed, unframed": {crash, true, []engine.Option{engine.Unframed()}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, entry, sidecars := twoEngines(t, test.engines...)
			want := stream(entry, "municipio", 40, nil)
			qt.Assert(t, want.complete(), qt.IsTrue, qt.Commentf("%s", want.body))
			// A crash makes the request a suspect, and claiming its trial needs the table.
			f.table.SetDown(!test.crash)
			got := stream(entry, "municipio", 40, func() {
				e := busy(sidecars)
				if e == nil {
					t.Error(entry.logged())
					return
				}
				test.fail(e, sidecars[e])
			})
			qt.Check(t, got.complete(), qt.IsTrue, qt.Commentf("%s\n%s", got.body, logs(entry, sidecars)))
			qt.Check(t, got.text(), qt.Equals, want.text())
			qt.Check(t, strings.Contains(entry.logged(), "attempt failed"), qt.IsTrue)
		})
	}
}

// Guards against a stream that ended early and looks complete to the caller. The entry is killed
// during the answer: the client gets a closed connection and no final event. The same request
// through another entry is answered completely.
func TestKilledEntryShowsNoCompleteAnswer(t *testing.T) {
	f, entry, _ := twoEngines(t)
	other := f.entry("entry-2")
	got := stream(entry, "parcel", 40, entry.kill)
	qt.Check(t, got.err, qt.IsNotNil)
	qt.Check(t, got.complete(), qt.IsFalse)
	qt.Check(t, stream(other, "parcel", 40, nil).complete(), qt.IsTrue)
}

// Guards against a shutdown that interrupts running answers or has them resumed elsewhere. A sidecar
// or the entry is told to end while streams run: it accepts no new requests and ends after the last
// stream.
func TestGracefulShutdownInterruptsNothing(t *testing.T) {
	const streams = 20
	tests := map[string]func(entry *process, sidecars map[*engine.Engine]*process) *process{
		"sidecar":                       func(_ *process, sidecars map[*engine.Engine]*process) *process { return sidecars[busy(sidecars)] },
		"entry":                         func(entry *process, _ map[*engine.Engine]*process) *process { return entry },
		"entry while the table is down": func(entry *process, _ map[*engine.Engine]*process) *process { return entry },
	}
	for name, choose := range tests {
		t.Run(name, func(t *testing.T) {
			f, entry, sidecars := twoEngines(t)
			f.table.SetDown(name == "entry while the table is down")
			answers := make([]answer, streams)
			var running, first sync.WaitGroup
			first.Add(streams)
			for i := range streams {
				running.Go(func() { answers[i] = stream(entry, strings.Repeat("x", i+1), 40, first.Done) })
			}
			first.Wait()
			draining := choose(entry, sidecars)
			draining.signal(terminate)
			running.Wait()
			for _, a := range answers {
				qt.Check(t, a.complete(), qt.IsTrue, qt.Commentf("%v %s", a.err, a.body))
			}
			qt.Check(t, strings.Contains(entry.logged(), "attempt failed"), qt.IsFalse) // nothing had to be resumed
			<-draining.ended
			qt.Check(t, draining.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", draining.logged()))
		})
	}
}

// Guards against a request that is served under an outdated configuration. The entry is paused, a
// class is deleted, the entry resumes and gets a request at once. Its last confirmation of the
// configuration is older than allowed, so it reads the log before it serves, and finds the class
// deleted.
func TestPausedEntryDoesNotServeUnderOldConfiguration(t *testing.T) {
	f, entry, _ := twoEngines(t)
	qt.Assert(t, stream(entry, "x", 1, nil).status, qt.Equals, http.StatusOK)
	entry.signal(syscall.SIGSTOP)
	f.change(`{"delete": {"classes": ["interactive"]}}`)
	time.Sleep(2500 * time.Millisecond) // longer than configFresh of the entry's settings
	entry.signal(syscall.SIGCONT)
	got := stream(entry, "x", 1, nil)
	qt.Check(t, got.code(), qt.Equals, string(carawayspread.CodeUnknownClass))
	qt.Check(t, got.notRun(), qt.IsTrue)
}

// Guards against requests that fail while the table is down, and against an entry that cannot start
// then: it gets its configuration from its peers.
func TestStoreDown(t *testing.T) {
	f, entry, _ := twoEngines(t)
	f.table.SetDown(true)
	qt.Check(t, stream(entry, "x", 3, nil).complete(), qt.IsTrue)
	late := f.entry("entry-2")
	qt.Check(t, stream(late, "x", 3, nil).complete(), qt.IsTrue)
}

// Guards against a refusal that claims that the request has not run when it may have. The only
// sidecar is killed while its engine runs the request. The second attempt finds no endpoint and has
// not run, but the first may have, and the claim covers both.
func TestRefusalAfterKilledSidecarDoesNotClaimNotRun(t *testing.T) {
	f := newFleet(t)
	e := engine.New(engine.TokenEvery(gap), engine.ChecksFence())
	sidecar := f.sidecar("sidecar-1", model("engine-1", e))
	entry := f.entry("entry-1")
	got := make(chan answer, 1)
	go func() {
		got <- call(entry, http.MethodPost, "/v1/completions", "interactive", `{"model":"stand-in","prompt":"x","max_tokens":500}`, nil)
	}()
	f.eventually(func() bool { return e.Running() > 0 })
	sidecar.kill()
	a := <-got
	qt.Check(t, a.status >= http.StatusInternalServerError, qt.IsTrue)
	qt.Check(t, a.notRun(), qt.IsFalse, qt.Commentf("%s", a.body))
}

// Guards against new requests that a draining endpoint starts, or that fail because of it. The
// endpoint is listed as leaving, drained by an operator, or its sidecar is told to end, while a long
// stream still runs there. With the table down and every load report lost, the entry learns of it
// from refusals alone.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	ways := map[string]func(f *fleet, entry, sidecar *process){
		"listed": func(f *fleet, _, sidecar *process) {
			row := sidecar.row
			row.State = carawayspread.InstanceLeaving
			f.list.Put(row)
		},
		"drained": func(_ *fleet, entry, sidecar *process) {
			_ = exec.Command(binary, "drain", "--instance", sidecar.row.ID, "--server", "http://"+entry.admin, "--actor", "ana").Run()
		},
		"ended": func(_ *fleet, _, sidecar *process) { sidecar.signal(terminate) },
	}
	for way, drain := range ways {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reports and table lost %v", way, lost), func(t *testing.T) {
				t.Parallel()
				f, entry, sidecars := twoEngines(t)
				if lost {
					row := entry.row
					row.Control = "127.0.0.1:9"
					f.list.Put(row)
					f.table.SetDown(true)
				}
				var long sync.WaitGroup
				begun, longAnswer := make(chan *engine.Engine, 1), answer{}
				long.Go(func() { longAnswer = stream(entry, "long", 200, func() { begun <- busy(sidecars) }) })
				e := <-begun
				drain(f, entry, sidecars[e])
				f.eventually(func() bool { return !ready(sidecars[e].row.Control) })
				before := e.Starts()
				for i := range 20 {
					qt.Check(t, stream(entry, fmt.Sprint("new ", i), 1, nil).complete(), qt.IsTrue)
				}
				qt.Check(t, e.Starts(), qt.Equals, before)
				long.Wait()
				qt.Check(t, longAnswer.complete(), qt.IsTrue)
			})
		}
	}
}

func ready(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against requests that fail, or are sent again and again to an instance that is still listed
// after its sidecar was killed. Requests to it cannot be delivered, so the entry sends them elsewhere and ejects
// the endpoint after the first one; a probe some seconds later may be sent to it once more.
func TestUnreachableInstanceIsEjected(t *testing.T) {
	f := newFleet(t)
	gone := f.sidecar("sidecar-1", model("engine-1", engine.New()))
	f.sidecar("sidecar-2", model("engine-2", engine.New()))
	entry := f.entry("entry-1")
	gone.kill()
	for i := range 100 {
		got := stream(entry, fmt.Sprint(i, " vereda"), 1, nil)
		qt.Assert(t, got.complete(), qt.IsTrue, qt.Commentf("%d: %s", i, got.body))
	}
	entry.signal(terminate)
	<-entry.ended
	qt.Check(t, strings.Count(entry.logged(), "attempt failed") <= 3, qt.IsTrue, qt.Commentf("%s", entry.logged()))
}
