package main

import (
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
)

// crashFleet starts an engine beside each of six sidecars, and two entries.
// The engines are back soon after a crash, so that each could be a victim.
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

// The caller of a request that crashes its engine gets a final refusal and
// sends it again and again through both entries.
// The first run crashes an engine, the one trial that the fleet claims crashes
// a second; every later copy is refused at once, through either entry.
func TestCrashingRequestHasTwoVictims(t *testing.T) {
	_, entries, engines := crashFleet(t)
	last := ""
	for i := range 12 {
		got := stream(entries[i%2], engine.CrashMarker, 5, nil)
		qt.Check(t, got.whole(), qt.IsFalse)
		qt.Check(t, got.notRun(), qt.Equals, i > 0) // the first one ran
		last = got.code()
	}
	qt.Check(t, last, qt.Equals, string(carawayspread.CodeQuarantined))
	qt.Check(t, crashes(engines), qt.Equals, 2)
}

// Copies of the request arrive at once through both entries. All meet at the
// two engines that the request maps to, so the fleet loses no third one.
func TestConcurrentCopiesHaveTwoVictims(t *testing.T) {
	_, entries, engines := crashFleet(t)
	var running sync.WaitGroup
	for i := range 12 {
		running.Go(func() { stream(entries[i%2], engine.CrashMarker, 5, nil) })
	}
	running.Wait()
	stream(entries[0], engine.CrashMarker, 5, nil)
	victims := slices.DeleteFunc(engines, func(e *engine.Engine) bool { return e.Crashes() == 0 })
	qt.Check(t, len(victims) <= 2, qt.IsTrue, qt.Commentf("%d endpoints crashed", len(victims)))
}

// An innocent request shares the engine with one that crashes it.
// Both become suspects; the innocent one resumes as a trial on another engine,
// is served whole, and is cleared: its next copy runs as any other.
func TestInnocentRequestIsCleared(t *testing.T) {
	_, entries, engines := crashFleet(t)
	want := stream(entries[0], "innocent", 60, nil)
	got := stream(entries[0], "innocent", 60, func() {
		for _, e := range engines {
			if e.Running() > 0 {
				e.Crash()
			}
		}
	})
	qt.Check(t, got.whole(), qt.IsTrue, qt.Commentf("%s", got.body))
	qt.Check(t, got.text(), qt.Equals, want.text())
	qt.Check(t, stream(entries[1], "innocent", 60, nil).whole(), qt.IsTrue)
}
