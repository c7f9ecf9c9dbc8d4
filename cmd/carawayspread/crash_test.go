package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
)

// crashFleet starts six sidecars with one engine each, and two entries. The engines restart within a
// millisecond of a crash, so that each of them could be crashed.
func crashFleet(t *testing.T) (f *fleet, entries []*process, engines []*engine.Engine) {
	f = newFleet(t)
	for i := range 6 {
		e := engine.New(engine.TokenEvery(gap), engine.ChecksFence(), engine.Restart(time.Millisecond))
		id := string(rune('1' + i))
		f.sidecar("sidecar-"+id, model("engine-"+id, e))
		engines = append(engines, e)
	}
	return f, []*process{f.entry("entry-1"), f.entry("entry-2")}, engines
}

func crashes(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Crashes()
	}
	return n
}

// Guards against a request that crashes one engine after the other. The caller resends it through
// both entries although its refusal is final. The first run crashes an engine, and the only trial
// that the fleet claims crashes a second one; every later copy is refused at once by both entries.
func TestCrashingRequestCrashesTwoEndpoints(t *testing.T) {
	_, entries, engines := crashFleet(t)
	last := ""
	for i := range 12 {
		got := stream(entries[i%2], engine.CrashMarker, 5, nil)
		qt.Check(t, got.complete(), qt.IsFalse)
		qt.Check(t, got.notRun(), qt.Equals, i > 0) // the first one ran
		last = got.code()
	}
	qt.Check(t, last, qt.Equals, string(carawayspread.CodeQuarantined))
	qt.Check(t, crashes(engines), qt.Equals, 2)
}

// Guards against concurrent copies of a crashing request that crash more than two engines. Copies
// arrive at both entries at once, and all are sent to the two engines that the request maps to.
func TestConcurrentCopiesCrashTwoEndpoints(t *testing.T) {
	_, entries, engines := crashFleet(t)
	var running sync.WaitGroup
	for i := range 12 {
		running.Go(func() { stream(entries[i%2], engine.CrashMarker, 5, nil) })
	}
	running.Wait()
	stream(entries[0], engine.CrashMarker, 5, nil)
	crashed := slices.DeleteFunc(engines, func(e *engine.Engine) bool { return e.Crashes() == 0 })
	qt.Check(t, len(crashed) <= 2, qt.IsTrue, qt.Commentf("%d endpoints crashed", len(crashed)))
}

// Guards against the quarantine of a request that runs on an engine while another one crashes it.
// Both become suspects. The harmless one resumes as a trial on another engine, completes and is no
// longer suspect: its next copy runs like any other request.
func TestRequestBesideACrashIsNotQuarantined(t *testing.T) {
	_, entries, engines := crashFleet(t)
	want := stream(entries[0], "innocent", 60, nil)
	got := stream(entries[0], "innocent", 60, func() {
		for _, e := range engines {
			if e.Running() > 0 {
				e.Crash()
			}
		}
	})
	qt.Check(t, got.complete(), qt.IsTrue, qt.Commentf("%s", got.body))
	qt.Check(t, got.text(), qt.Equals, want.text())
	qt.Check(t, stream(entries[1], "innocent", 60, nil).complete(), qt.IsTrue)
}

// killMarker makes the engine of a killingInstance kill its whole instance.
const killMarker = "kill-this-instance"

// killingInstance is an engine whose instance, sidecar included, is lost when a prompt contains
// killMarker.
type killingInstance struct {
	*engine.Engine
	sidecar chan *process
	lost    atomic.Bool
}

func (k *killingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.Contains(body, []byte(killMarker)) && !k.lost.Swap(true) {
		sidecar := <-k.sidecar
		sidecar.kill()
		panic(http.ErrAbortHandler)
	}
	k.Engine.ServeHTTP(w, r)
}

// Guards against a request that takes down one instance after the other, the sidecar with the engine:
// nobody is left to say that the engine crashed, but the entry that lost the connection.
func TestRequestThatTakesDownInstancesIsRefused(t *testing.T) {
	f := newFleet(t)
	var instances []*killingInstance
	for i := range 6 {
		k := &killingInstance{Engine: engine.New(engine.TokenEvery(gap), engine.ChecksFence()), sidecar: make(chan *process, 1)}
		id := string(rune('1' + i))
		k.sidecar <- f.sidecar("sidecar-"+id, endpoint{"engine-" + id, "assistant", "model", k})
		instances = append(instances, k)
	}
	entries := []*process{f.entry("entry-1"), f.entry("entry-2")}
	for i := range 12 {
		got := stream(entries[i%2], killMarker, 5, nil)
		qt.Check(t, got.complete(), qt.IsFalse)
		time.Sleep(200 * time.Millisecond) // callers that send it again take longer
	}
	lost := 0
	for _, k := range instances {
		if k.lost.Load() {
			lost++
		}
	}
	qt.Check(t, lost <= 2, qt.IsTrue, qt.Commentf("%d instances lost", lost))
	got := stream(entries[0], "innocent", 5, nil)
	qt.Check(t, got.complete(), qt.IsTrue, qt.Commentf("%s", got.body))
}

// Requests that share a message of their prompts crash one engine after the other, as no two of them are
// alike and each entry learns of it by itself; or requests that share another message are refused.
func TestMessageThatCrashesEngines(t *testing.T) {
	_, entries, engines := crashFleet(t)
	ask := func(n int, system string) answer {
		body := fmt.Sprintf(`{"model":"stand-in","stream":true,"max_tokens":3,"messages":[{"role":"system","content":"be brief"},{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, system, n)
		return call(entries[n%2], http.MethodPost, "/v1/chat/completions", "interactive", body, nil)
	}
	const requests, crashesUnnoticed, later = 24, 5, 3
	served := 0
	for n := range requests {
		qt.Check(t, ask(n, engine.CrashMarker).complete(), qt.IsFalse)
		if ask(requests+n, "harmless").complete() {
			served++
		}
		time.Sleep(250 * time.Millisecond)
	}
	qt.Check(t, crashes(engines) > 0, qt.IsTrue)
	qt.Check(t, crashes(engines) <= crashesUnnoticed+later, qt.IsTrue, qt.Commentf("%d crashes", crashes(engines)))
	qt.Check(t, 2*served >= requests, qt.IsTrue, qt.Commentf("%d of %d served", served, requests))
}
