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

// speedOfOne is what a reader reads, in tokens a second.
const speedOfOne = 80000

// bench is a fleet whose engines change as the policy says.
type bench struct {
	clock   *clockwork.FakeClock
	policy  *Policy
	engines []carawayspread.RoleState
	done    map[carawayspread.EndpointID]time.Time // when a change is through
	changes int
	only    bool // answers bear no reading beside them
}

func newBench(readers, answerers int) *bench {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	b := &bench{clock: clock, policy: New(carawayspread.Environment{Clock: clock}), done: map[carawayspread.EndpointID]time.Time{}}
	for i := range readers + answerers {
		engine := carawayspread.RoleState{Endpoint: carawayspread.EndpointID(fmt.Sprint("e", i)), Role: carawayspread.RoleDecode}
		if i < readers {
			engine.Role, engine.PrefillRate = carawayspread.RolePrefill, speedOfOne
		}
		b.engines = append(b.engines, engine)
	}
	return b
}

func (b *bench) readers() int {
	n := 0
	for _, engine := range b.engines {
		if engine.Role == carawayspread.RolePrefill {
			n++
		}
	}
	return n
}

// run lets work come for a while: reading as what so many readers read if they
// do nothing else, and so many running answers in all.
func (b *bench) run(d time.Duration, reading, running float64) {
	for range int(d / time.Second) {
		b.clock.Advance(time.Second)
		now := b.clock.Now()
		answerers := len(b.engines) - b.readers()
		for i := range b.engines {
			engine := &b.engines[i]
			engine.Changing = now.Before(b.done[engine.Endpoint])
			engine.Running = 0
			engine.PrefillDelaysDecode = b.only && engine.Role != carawayspread.RolePrefill
			if engine.Role != carawayspread.RolePrefill {
				engine.Running = int(running) / max(1, answerers)
			}
		}
		for _, change := range b.policy.Plan(b.engines, carawayspread.Demand{MeasuredAt: now, Classes: []carawayspread.ClassDemand{{PrefillTokens: reading * speedOfOne}}}) {
			b.changes++
			b.done[change.Endpoint] = now.Add(6 * time.Second)
			for i := range b.engines {
				if b.engines[i].Endpoint == change.Endpoint {
					b.engines[i].Role, b.engines[i].PrefillRate = change.To, 0
					if change.To == carawayspread.RolePrefill {
						b.engines[i].PrefillRate = speedOfOne
					}
				}
			}
		}
	}
}

// Callers whose answers bear no reading beside them wait for readers alone. Most of
// the engines answer when the work comes, a few of them would do, and prompts queue
// before the readers: half of the fleet changes within seconds, and nothing after.
// Where answers bear it, the same work moves one engine after the other.
func TestSplitThatIsFarOffMovesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		only   bool
		soon   int // changes within three seconds
		atMost int
	}{
		"answers bear no reading": {true, 4, 5},
		"answers bear reading":    {false, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(4, 8)
			b.only = c.only
			b.run(3*time.Second, 4.4, 40)
			qt.Check(t, b.changes, qt.Equals, c.soon)
			b.run(30*time.Second, 4.4, 40)
			t.Logf("%d changes, %d readers", b.changes, b.readers())
			qt.Check(t, b.changes <= c.atMost, qt.IsTrue)
		})
	}
}

// Callers' answers crowd on the few engines that are left for them, when the split is
// found in the first second: prompts are waiting, and hardly an answer has begun. A
// third of the engines goes on answering, and no engine has to come back.
func TestFewAnswersAtTheStartLeaveEnoughToAnswer(t *testing.T) {
	b := newBench(4, 8)
	b.only = true
	b.run(3*time.Second, 8, 3)
	b.run(20*time.Second, 4.4, 40)
	qt.Check(t, b.readers() <= 8, qt.IsTrue, qt.Commentf("%d readers", b.readers()))
	qt.Check(t, b.changes <= 4, qt.IsTrue, qt.Commentf("%d changes", b.changes))
}

// Callers wait before readers that are busy three quarters of their time, while
// engines that answer have little to do. A few change, once.
func TestBusyReadersGetHelp(t *testing.T) {
	b := newBench(6, 12)
	b.run(time.Hour, 4.6, 110)
	qt.Check(t, b.readers(), qt.Equals, 8)
	qt.Check(t, b.changes, qt.Equals, 2)
}

// Callers see no engine away for what passes by itself, or for what no split can
// hold: each case ends with the roles that it began with.
func TestRolesStay(t *testing.T) {
	tests := map[string]func(b *bench){
		"comfortable": func(b *bench) { b.run(10*time.Minute, 3, 100) },
		"bursts of seconds": func(b *bench) {
			for range 60 {
				b.run(30*time.Second, 2, 80)
				b.run(6*time.Second, 6, 150)
			}
		},
		"answers would crowd": func(b *bench) { b.run(10*time.Minute, 6, 300) },
		"nothing comes":       func(b *bench) { b.run(10*time.Minute, 0, 0) },
		"first seconds":       func(b *bench) { b.run(4*time.Second, 9, 10) },
		"a reader fails for a second": func(b *bench) {
			b.run(time.Minute, 3.4, 100)
			b.engines[0].Leaving = true
			b.run(time.Second, 3.4, 100)
			b.engines[0].Leaving = false
			b.run(time.Minute, 3.4, 100)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(6, 12)
			run(b)
			qt.Check(t, b.changes, qt.Equals, 0)
		})
	}
}

// With too few engines, no reader, or only one that answers, no role changes.
func TestSmallFleetsStay(t *testing.T) {
	for _, split := range [][2]int{{1, 3}, {0, 18}, {5, 1}} {
		b := newBench(split[0], split[1])
		b.run(10*time.Minute, 9, 10)
		qt.Check(t, b.changes, qt.Equals, 0, qt.Commentf("%v", split))
	}
}

// Callers miss between tokens once the work has turned to answers: a reader goes
// back to answering, one at a time, and none swings to and fro.
func TestReadersGoBack(t *testing.T) {
	b := newBench(9, 9)
	b.run(time.Hour, 2, 250)
	qt.Check(t, b.changes > 0, qt.IsTrue)
	qt.Check(t, b.readers() >= 5, qt.IsTrue)
	changed := b.changes
	b.run(time.Hour, 2, 250)
	qt.Check(t, b.changes, qt.Equals, changed)
}

// A demand that is old, or that was planned for before, says nothing.
func TestNothingNewChangesNothing(t *testing.T) {
	b := newBench(6, 12)
	b.run(7*time.Second, 4.6, 110)
	before := b.changes
	qt.Assert(t, before, qt.Equals, 2)
	b = newBench(6, 12)
	b.run(5*time.Second, 4.6, 110)
	taken := b.clock.Now()
	for range 600 {
		b.clock.Advance(time.Second)
		plan := b.policy.Plan(b.engines, carawayspread.Demand{MeasuredAt: taken, Classes: []carawayspread.ClassDemand{{PrefillTokens: 9 * speedOfOne}}})
		qt.Assert(t, plan, qt.HasLen, 0)
	}
}

// Whatever swings, an engine keeps its role for a minute, no more than an eighth
// change at once, half of them answer, and an hour of it changes no engine more
// often than once in two minutes.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		readers := rapid.IntRange(1, 20).Draw(t, "readers")
		answerers := rapid.IntRange(readers, 40).Draw(t, "answerers")
		n := readers + answerers
		period := rapid.IntRange(5, 300).Draw(t, "seconds")
		b := newBench(readers, answerers)
		last := map[carawayspread.EndpointID]time.Time{}
		for at := 0; at < 3600; at++ {
			before := append([]carawayspread.RoleState(nil), b.engines...)
			side := at / period % 2
			b.run(time.Second, float64(n)*[]float64{.5, .05}[side], float64(n)*[]float64{3, 30}[side])
			changing := 0
			for i, engine := range b.engines {
				if engine.Role == before[i].Role {
					continue
				}
				changing++
				if was, ok := last[engine.Endpoint]; ok && b.clock.Now().Sub(was) < dwell {
					t.Fatalf("%s changed after %v", engine.Endpoint, b.clock.Now().Sub(was))
				}
				last[engine.Endpoint] = b.clock.Now()
			}
			if changing > max(1, n/8) {
				t.Fatalf("%d of %d at once", changing, n)
			}
			if 2*b.readers() > n && b.readers() > readers {
				t.Fatalf("%d readers of %d", b.readers(), n)
			}
		}
		if b.changes > n*30 {
			t.Fatalf("%d changes of %d engines", b.changes, n)
		}
	})
}
