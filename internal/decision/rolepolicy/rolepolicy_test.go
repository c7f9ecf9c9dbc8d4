package rolepolicy

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"carawayspread"
)

const (
	pace  = 5 * time.Second
	trial = time.Hour
)

// TestMain fixes the draws, so that the verdict is the same on every run;
// -rapid.seed tries others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// bench drives a policy with loads given in engines' worth of work.
type bench struct {
	clock   *clockwork.FakeClock
	policy  carawayspread.RolePolicy
	engines []carawayspread.RoleState
	until   map[carawayspread.EndpointID]time.Time
	last    map[carawayspread.EndpointID]time.Time
	changes int
	missed  float64 // engine-seconds, as the model sees it
}

func newBench(name string, n int) *bench {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	factory, _ := carawayspread.RolePolicies.Get(name)
	b := &bench{
		clock: clock, policy: factory(carawayspread.Environment{Clock: clock}),
		until: map[carawayspread.EndpointID]time.Time{}, last: map[carawayspread.EndpointID]time.Time{},
	}
	for i := range n {
		b.engines = append(b.engines, carawayspread.RoleState{
			Endpoint: carawayspread.EndpointID(fmt.Sprint(i)), Role: carawayspread.RoleBoth, PrefillRate: 8000, DecodeRate: 1000,
		})
	}
	return b
}

var (
	patient = carawayspread.NewTarget(0, 0, time.Minute, .9)
	answers = carawayspread.NewTarget(time.Second, 50*time.Millisecond, 0, .95)
	waiting = carawayspread.NewTarget(2*time.Second, 50*time.Millisecond, 0, .98)
)

// demand is long prompts under one target beside short answers.
func (b *bench) demand(long carawayspread.Target, prefill, decode float64) carawayspread.Demand {
	n := float64(len(b.engines))
	return carawayspread.Demand{MeasuredAt: b.clock.Now(), Classes: []carawayspread.ClassDemand{
		{Class: carawayspread.NewClass("long", long, false), PrefillTokens: 8000 * n * prefill, DecodeTokens: 1000 * n * .05},
		{Class: carawayspread.NewClass("short", answers, false), PrefillTokens: 8000 * n * .04, DecodeTokens: 1000 * n * decode},
	}}
}

// step plans once, carries out the changes, and returns how many there were.
func (b *bench) step(demand carawayspread.Demand) int {
	b.clock.Advance(pace)
	demand.MeasuredAt = b.clock.Now()
	now := b.clock.Now()
	for i := range b.engines {
		b.engines[i].Changing = now.Before(b.until[b.engines[i].Endpoint])
	}
	f := newFleet(b.engines)
	m := model{stall: defaultStall, base: defaultBaseGap.Seconds(), tight: tightest(demand.Classes, defaultBaseGap)}
	b.missed += m.missed(f.split, newLoad(demand, f, time.Minute)) * pace.Seconds()
	changes := b.policy.Plan(b.engines, demand)
	for _, c := range changes {
		for i := range b.engines {
			if b.engines[i].Endpoint == c.Endpoint {
				b.engines[i].Role = c.To
			}
		}
		b.until[c.Endpoint] = now.Add(defaultDown)
		b.last[c.Endpoint] = now
	}
	b.changes += len(changes)
	return len(changes)
}

// Callers see slow answers after a pause of the reports: had the policy changed
// roles on the last demand that it knew, again and again, engines would be away
// for a mix that is long gone, and away again once reports return.
func TestPlanNothingNew(t *testing.T) {
	tests := map[string]struct {
		age     time.Duration // of the demand when it is planned for
		twice   bool          // the same demand was planned for before
		changes bool
	}{
		"fresh":      {changes: true},
		"seen":       {twice: true},
		"minute old": {age: time.Minute},
		"hour old":   {age: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench("forecast", 20)
			for range 8 {
				b.step(b.demand(patient, .2, .3))
			}
			qt.Assert(t, b.changes, qt.Equals, 0)
			b.clock.Advance(test.age)
			for range 60 {
				b.clock.Advance(pace)
				demand := b.demand(patient, .6, .2)
				demand.MeasuredAt = b.clock.Now().Add(-test.age)
				if test.twice {
					b.policy.Plan(nil, demand)
				}
				b.changes += len(b.policy.Plan(b.engines, demand))
			}
			qt.Check(t, b.changes > 0, qt.Equals, test.changes)
		})
	}
}

// An outage of an hour passes: the averages must not compare the load of now
// with that of before, and the first demand after it says little.
func TestPlanStartsAnewAfterGap(t *testing.T) {
	b := newBench("forecast", 20)
	for range 24 {
		b.step(b.demand(patient, .1, .3))
	}
	b.clock.Advance(time.Hour)
	qt.Check(t, b.step(b.demand(patient, .6, .2)), qt.Equals, 0)
	qt.Check(t, b.policy.(*Policy).forecast.warm(), qt.IsFalse)
}

// The load calls for changes, but every engine has just changed: taking one
// away again so soon would cost callers more than the targets allow.
func TestPlanLeavesRolesForDwell(t *testing.T) {
	b := newBench("forecast", 20)
	p := b.policy.(*Policy)
	start := b.clock.Now()
	for _, engine := range b.engines {
		p.changed[engine.Endpoint] = start.Add(5 * time.Minute)
	}
	for b.changes == 0 && b.clock.Now().Before(start.Add(10*time.Minute)) {
		b.step(b.demand(patient, .6, .2))
	}
	qt.Check(t, b.changes > 0, qt.IsTrue)
	qt.Check(t, b.clock.Now().Sub(start) >= 5*time.Minute+minDwell*defaultDown, qt.IsTrue)
}

// The same work under targets that leave less slack and fewer misses must get
// fewer changes at a time and a longer dwell. Nothing but targets differs.
func TestTargetsSetThePrice(t *testing.T) {
	b := newBench("forecast", 20)
	p := New(carawayspread.Environment{Clock: b.clock})
	before := math.Inf(1)
	dwell := time.Duration(0)
	for _, long := range []carawayspread.Target{
		carawayspread.NewTarget(0, 0, 2*time.Minute, .8), patient,
		carawayspread.NewTarget(0, 0, 10*time.Second, .95), waiting,
	} {
		got := tolerance(b.demand(long, .6, .2).Classes, defaultDown)
		qt.Check(t, got < before, qt.IsTrue)
		qt.Check(t, p.dwell(got) >= dwell, qt.IsTrue)
		before, dwell = got, p.dwell(got)
	}
}

func expect(t rapid.TB, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}

// swing draws a mix that swings. Swings shorter than an answer average out in
// the engines and are none.
func swing(t *rapid.T) (n int, long carawayspread.Target, period time.Duration, prefill, decode float64) {
	n = rapid.IntRange(3, 60).Draw(t, "engines")
	long = rapid.SampledFrom([]carawayspread.Target{patient, waiting}).Draw(t, "target")
	period = time.Duration(rapid.IntRange(30, 900).Draw(t, "seconds")) * time.Second
	prefill = rapid.Float64Range(.3, .7).Draw(t, "prefill")
	decode = rapid.Float64Range(.4, .8).Draw(t, "decode")
	return n, long, period, prefill, decode
}

// Whatever swings, a plan keeps an engine for each phase, lets no more than a
// quarter change at once, changes no engine that changes already, and leaves
// each its role for a dwell time.
func TestPlanKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, long, period, prefill, decode := swing(t)
		b := newBench("forecast", n)
		for at := time.Duration(0); at < 20*time.Minute; at += pace {
			demand := b.demand(long, prefill, .1)
			if at/period%2 == 1 {
				demand = b.demand(long, .05, decode)
			}
			last := map[carawayspread.EndpointID]time.Time{}
			for id, when := range b.last {
				last[id] = when
			}
			b.step(demand)
			f := newFleet(b.engines)
			expect(t, f.split.complete(), "bound broken")
			changing := 0
			for id, until := range b.until {
				if b.clock.Now().Before(until) {
					changing++
				}
				if before, ok := last[id]; ok && b.last[id].After(before) {
					expect(t, b.last[id].Sub(before) >= minDwell*defaultDown, "bound broken")
				}
			}
			expect(t, changing <= max(1, n/4), "bound broken")
		}
	})
}

// The mix swings to the other side each time that the policy has changed roles
// for this one, or at any period: engines would spend the swings changing, and
// callers would wait for the engines that are away. Over an hour changes may
// take as much of the engines' time as the targets allow misses, and together
// with what is missed may exceed what is missed without any by 5% of that time
// (where the mix is adverse, three times what is missed without any).
func TestPlanDoesNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, long, period, prefill, decode := swing(t)
		adverse := rapid.Bool().Draw(t, "adverse")
		oscillate(t, n, long, period, prefill, decode, adverse)
	})
}

// Callers miss more than without any change of roles. The mix swings every
// 156 s and the class is content with 9 of 10, so that changes seem to earn
// their price. It turns before a change has earned it: the first engines go back,
// which ends the bet and raises the margin, and the rest stay for the whole swing
// in a split that serves neither side. Found with seed 3.
func TestPlanAgainstThresholdAtShortSwings(t *testing.T) {
	oscillate(t, 32, patient, 156*time.Second, .7, .8, false)
}

func oscillate(t rapid.TB, n int, long carawayspread.Target, period time.Duration, prefill, decode float64, adverse bool) {
	var sides []bool // as our policy provoked them
	ours, side, turned := newBench("forecast", n), false, time.Duration(0)
	load := func(b *bench, side bool) carawayspread.Demand {
		if side {
			return b.demand(long, .05, decode)
		}
		return b.demand(long, prefill, .1)
	}
	for at := time.Duration(0); at < trial; at += pace {
		sides = append(sides, side)
		changed := ours.step(load(ours, side)) > 0
		if adverse && changed || !adverse && at-turned >= period {
			side, turned = !side, at
		}
	}
	still, others := newBench("static", n), newBench("threshold", n)
	for _, side := range sides {
		still.step(load(still, side))
		others.step(load(others, side))
	}
	away := float64(ours.changes) * defaultDown.Seconds() / float64(n) / trial.Seconds()
	expect(t, away <= .05, "%d changes of %d engines", ours.changes, n)
	cost := ours.missed + float64(ours.changes)*defaultDown.Seconds()
	bound := still.missed + 0.05*float64(n)*trial.Seconds()
	if adverse {
		bound += 2 * still.missed // between two states no deterministic rule guarantees less than three times
	}
	expect(t, cost <= bound, "%.0f against %.0f", cost, still.missed)
	expect(t, adverse || ours.changes <= others.changes, "%d changes against %d", ours.changes, others.changes)
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 200, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bench := newBench("forecast", n)
			for i := range 400 {
				bench.step(bench.demand(patient, .1+.5*float64(i/50%2), .3))
			}
			demands := []carawayspread.Demand{bench.demand(patient, .6, .2), bench.demand(patient, .1, .6)}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				bench.clock.Advance(pace)
				demand := demands[i/50%2]
				demand.MeasuredAt = bench.clock.Now()
				bench.policy.Plan(bench.engines, demand)
			}
		})
	}
}
