package rolebalance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"carawayspread"
)

// prefillRatePerEngine is the prefill speed of an engine, in tokens a second.
const prefillRatePerEngine = 80000

// harness is a fleet whose engines change as the policy decides.
type harness struct {
	clock      *clockwork.FakeClock
	policy     *Policy
	engines    []carawayspread.RoleState
	changeEnds map[carawayspread.EndpointID]time.Time // when a change is complete
	changes    int
	decodeOnly bool // decode engines must not prefill
}

func newHarness(prefill, decode int) *harness {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	h := &harness{clock: clock, policy: New(carawayspread.Environment{Clock: clock}), changeEnds: map[carawayspread.EndpointID]time.Time{}}
	for i := range prefill + decode {
		engine := carawayspread.RoleState{Endpoint: carawayspread.EndpointID(fmt.Sprint("e", i)), Role: carawayspread.RoleDecode}
		if i < prefill {
			engine.Role, engine.PrefillRate = carawayspread.RolePrefill, prefillRatePerEngine
		}
		h.engines = append(h.engines, engine)
	}
	return h
}

func (h *harness) prefillEngines() int {
	n := 0
	for _, engine := range h.engines {
		if engine.Role == carawayspread.RolePrefill {
			n++
		}
	}
	return n
}

// run lets work arrive for d: prefillLoad is in fully busy prefill engines, running is the number
// of running answers in all.
func (h *harness) run(d time.Duration, prefillLoad, running float64) {
	for range int(d / time.Second) {
		h.clock.Advance(time.Second)
		now := h.clock.Now()
		decode := len(h.engines) - h.prefillEngines()
		for i := range h.engines {
			engine := &h.engines[i]
			engine.Changing = now.Before(h.changeEnds[engine.Endpoint])
			engine.Running = 0
			engine.PrefillDelaysDecode = h.decodeOnly && engine.Role != carawayspread.RolePrefill
			if engine.Role != carawayspread.RolePrefill {
				engine.Running = int(running) / max(1, decode)
			}
		}
		for _, change := range h.policy.Plan(h.engines, carawayspread.Demand{MeasuredAt: now, Classes: []carawayspread.ClassDemand{{PrefillTokens: prefillLoad * prefillRatePerEngine}}}) {
			h.changes++
			h.changeEnds[change.Endpoint] = now.Add(6 * time.Second)
			for i := range h.engines {
				if h.engines[i].Endpoint == change.Endpoint {
					h.engines[i].Role, h.engines[i].PrefillRate = change.To, 0
					if change.To == carawayspread.RolePrefill {
						h.engines[i].PrefillRate = prefillRatePerEngine
					}
				}
			}
		}
	}
}

// Guards against a slow reaction where decode engines must not prefill, so that callers wait for
// prefill engines alone. When the work arrives, most of the engines are decode engines, of which a
// few would be enough, and prompts queue: a third of the fleet changes within seconds, and hardly
// any engine after. Where decode engines may prefill, the same work moves one engine after the
// other.
func TestFarOffSplitChangesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		decodeOnly bool
		soon       int // changes within three seconds
		atMost     int
	}{
		"decode only":        {true, 4, 5},
		"decode and prefill": {false, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(4, 8)
			h.decodeOnly = c.decodeOnly
			h.run(3*time.Second, 4.4, 40)
			qt.Check(t, h.changes, qt.Equals, c.soon)
			h.run(30*time.Second, 4.4, 40)
			t.Logf("%d changes, %d prefill engines", h.changes, h.prefillEngines())
			qt.Check(t, h.changes <= c.atMost, qt.IsTrue)
		})
	}
}

// Guards against too few decode engines when the split is chosen in the first second: prompts are
// waiting, and hardly an answer has begun, so that answers later overload the engines that are left
// for them. A third of the engines remain decode engines, and no engine has to change back.
func TestFewAnswersAtStartKeepEnoughDecodeEngines(t *testing.T) {
	h := newHarness(4, 8)
	h.decodeOnly = true
	h.run(3*time.Second, 8, 3)
	h.run(20*time.Second, 4.4, 40)
	qt.Check(t, h.prefillEngines() <= 8, qt.IsTrue, qt.Commentf("%d prefill engines", h.prefillEngines()))
	qt.Check(t, h.changes <= 4, qt.IsTrue, qt.Commentf("%d changes", h.changes))
}

// Callers wait for prefill engines that are busy three quarters of their time, while decode engines
// have little to do. Two engines change, and no more within the hour.
func TestBusyPrefillEnginesGetHelp(t *testing.T) {
	h := newHarness(6, 12)
	h.run(time.Hour, 4.6, 110)
	qt.Check(t, h.prefillEngines(), qt.Equals, 8)
	qt.Check(t, h.changes, qt.Equals, 2)
}

// Guards against taking engines out of service for a load that passes by itself, or that no split
// can carry: each case ends with the roles that it began with.
func TestRolesStay(t *testing.T) {
	tests := map[string]func(h *harness){
		"comfortable": func(h *harness) { h.run(10*time.Minute, 3, 100) },
		"bursts of seconds": func(h *harness) {
			for range 60 {
				h.run(30*time.Second, 2, 80)
				h.run(6*time.Second, 6, 150)
			}
		},
		"too many answers": func(h *harness) { h.run(10*time.Minute, 6, 300) },
		"no work":          func(h *harness) { h.run(10*time.Minute, 0, 0) },
		"first seconds":    func(h *harness) { h.run(4*time.Second, 9, 10) },
		"a prefill engine fails for a second": func(h *harness) {
			h.run(time.Minute, 3.4, 100)
			h.engines[0].Leaving = true
			h.run(time.Second, 3.4, 100)
			h.engines[0].Leaving = false
			h.run(time.Minute, 3.4, 100)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(6, 12)
			run(h)
			qt.Check(t, h.changes, qt.Equals, 0)
		})
	}
}

// With too few engines, no prefill engine, or only one decode engine, no role changes.
func TestSmallFleetsKeepRoles(t *testing.T) {
	for _, split := range [][2]int{{1, 3}, {0, 18}, {5, 1}} {
		h := newHarness(split[0], split[1])
		h.run(10*time.Minute, 9, 10)
		qt.Check(t, h.changes, qt.Equals, 0, qt.Commentf("%v", split))
	}
}

// Guards against missed between-token targets once the work has shifted to decode: prefill engines
// change to decode one at a time, and none changes back and forth.
func TestPrefillEnginesReturnToDecode(t *testing.T) {
	h := newHarness(9, 9)
	h.run(time.Hour, 2, 250)
	qt.Check(t, h.changes > 0, qt.IsTrue)
	qt.Check(t, h.prefillEngines() >= 5, qt.IsTrue)
	changed := h.changes
	h.run(time.Hour, 2, 250)
	qt.Check(t, h.changes, qt.Equals, changed)
}

// A demand that is old, or that was planned for before, causes no change.
func TestStaleDemandChangesNothing(t *testing.T) {
	h := newHarness(6, 12)
	h.run(7*time.Second, 4.6, 110)
	before := h.changes
	qt.Assert(t, before, qt.Equals, 2)
	h = newHarness(6, 12)
	h.run(5*time.Second, 4.6, 110)
	measuredAt := h.clock.Now()
	for range 600 {
		h.clock.Advance(time.Second)
		plan := h.policy.Plan(h.engines, carawayspread.Demand{MeasuredAt: measuredAt, Classes: []carawayspread.ClassDemand{{PrefillTokens: 9 * prefillRatePerEngine}}})
		qt.Assert(t, plan, qt.HasLen, 0)
	}
}

// Under any swing an engine keeps its role for a minute, at most an eighth of the engines change at
// one time, the policy never makes more than half of them prefill engines, and over an hour the
// engines change at most once in two minutes on average.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill := rapid.IntRange(1, 20).Draw(t, "readers")
		decode := rapid.IntRange(prefill, 40).Draw(t, "answerers")
		n := prefill + decode
		period := rapid.IntRange(5, 300).Draw(t, "seconds")
		h := newHarness(prefill, decode)
		last := map[carawayspread.EndpointID]time.Time{}
		for at := 0; at < 3600; at++ {
			before := append([]carawayspread.RoleState(nil), h.engines...)
			side := at / period % 2
			h.run(time.Second, float64(n)*[]float64{.5, .05}[side], float64(n)*[]float64{3, 30}[side])
			changing := 0
			for i, engine := range h.engines {
				if engine.Role == before[i].Role {
					continue
				}
				changing++
				if was, ok := last[engine.Endpoint]; ok && h.clock.Now().Sub(was) < dwell {
					t.Fatalf("%s changed again after %v", engine.Endpoint, h.clock.Now().Sub(was))
				}
				last[engine.Endpoint] = h.clock.Now()
			}
			if changing > max(1, n/8) {
				t.Fatalf("%d of %d engines changed at one time", changing, n)
			}
			if 2*h.prefillEngines() > n && h.prefillEngines() > prefill {
				t.Fatalf("%d prefill engines of %d", h.prefillEngines(), n)
			}
		}
		if h.changes > n*30 {
			t.Fatalf("%d changes of %d engines", h.changes, n)
		}
	})
}
