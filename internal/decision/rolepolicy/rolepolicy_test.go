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
	planInterval = 5 * time.Second
	testDuration = time.Hour
)

// TestMain fixes the seed, so that the result is the same on every run; -rapid.seed sets another
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// harness runs a policy on loads given as fractions of the fleet's capacity.
type harness struct {
	clock         *clockwork.FakeClock
	policy        carawayspread.RolePolicy
	engines       []carawayspread.RoleState
	changingUntil map[carawayspread.EndpointID]time.Time
	lastChange    map[carawayspread.EndpointID]time.Time
	changes       int
	missed        float64 // engine-seconds, as predicted by the model
}

func newHarness(name string, n int) *harness {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	factory, _ := carawayspread.RolePolicies.Get(name)
	h := &harness{
		clock: clock, policy: factory(carawayspread.Environment{Clock: clock}),
		changingUntil: map[carawayspread.EndpointID]time.Time{}, lastChange: map[carawayspread.EndpointID]time.Time{},
	}
	for i := range n {
		h.engines = append(h.engines, carawayspread.RoleState{
			Endpoint: carawayspread.EndpointID(fmt.Sprint(i)), Role: carawayspread.RoleBoth, PrefillRate: 8000, DecodeRate: 1000,
		})
	}
	return h
}

var (
	batchTarget       = carawayspread.NewTarget(0, 0, time.Minute, .9)
	shortTarget       = carawayspread.NewTarget(time.Second, 50*time.Millisecond, 0, .95)
	interactiveTarget = carawayspread.NewTarget(2*time.Second, 50*time.Millisecond, 0, .98)
)

// demand is a mix of long prompts under one target and short answers.
func (h *harness) demand(long carawayspread.Target, prefill, decode float64) carawayspread.Demand {
	n := float64(len(h.engines))
	return carawayspread.Demand{MeasuredAt: h.clock.Now(), Classes: []carawayspread.ClassDemand{
		{Class: carawayspread.NewClass("long", long, false), PrefillTokens: 8000 * n * prefill, DecodeTokens: 1000 * n * .05},
		{Class: carawayspread.NewClass("short", shortTarget, false), PrefillTokens: 8000 * n * .04, DecodeTokens: 1000 * n * decode},
	}}
}

// planOnce plans once, carries out the changes, and returns how many there were.
func (h *harness) planOnce(demand carawayspread.Demand) int {
	h.clock.Advance(planInterval)
	demand.MeasuredAt = h.clock.Now()
	now := h.clock.Now()
	for i := range h.engines {
		h.engines[i].Changing = now.Before(h.changingUntil[h.engines[i].Endpoint])
	}
	f := newFleet(h.engines)
	m := model{prefillStall: defaultPrefillStall, baseGap: defaultBaseGap.Seconds(), tightestGap: tightestGap(demand.Classes, defaultBaseGap)}
	h.missed += m.missed(f.split, newLoad(demand, f, time.Minute)) * planInterval.Seconds()
	changes := h.policy.Plan(h.engines, demand)
	for _, c := range changes {
		for i := range h.engines {
			if h.engines[i].Endpoint == c.Endpoint {
				h.engines[i].Role = c.To
			}
		}
		h.changingUntil[c.Endpoint] = now.Add(defaultDowntime)
		h.lastChange[c.Endpoint] = now
	}
	h.changes += len(changes)
	return len(changes)
}

// Guards against planning on old information, which makes answers slow when reports pause: the
// policy would change roles on the last known demand again and again, take engines out of service
// for a mix that has long passed, and once more when reports resume.
func TestPlanIgnoresStaleDemand(t *testing.T) {
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
			h := newHarness("forecast", 20)
			for range 8 {
				h.planOnce(h.demand(batchTarget, .2, .3))
			}
			qt.Assert(t, h.changes, qt.Equals, 0)
			h.clock.Advance(test.age)
			for range 60 {
				h.clock.Advance(planInterval)
				demand := h.demand(batchTarget, .6, .2)
				demand.MeasuredAt = h.clock.Now().Add(-test.age)
				if test.twice {
					h.policy.Plan(nil, demand)
				}
				h.changes += len(h.policy.Plan(h.engines, demand))
			}
			qt.Check(t, h.changes > 0, qt.Equals, test.changes)
		})
	}
}

// Guards against comparing the load after an outage of an hour with the load before it. The first
// demand after the outage is not enough evidence for a change.
func TestPlanResetsAveragesAfterGap(t *testing.T) {
	h := newHarness("forecast", 20)
	for range 24 {
		h.planOnce(h.demand(batchTarget, .1, .3))
	}
	h.clock.Advance(time.Hour)
	qt.Check(t, h.planOnce(h.demand(batchTarget, .6, .2)), qt.Equals, 0)
	qt.Check(t, h.policy.(*Policy).forecast.warmedUp(), qt.IsFalse)
}

// Guards against changing an engine twice in a short time: the load calls for changes, but every
// engine has just changed, and more downtime so soon would cost callers more than the targets
// allow.
func TestPlanKeepsRolesForDwellTime(t *testing.T) {
	h := newHarness("forecast", 20)
	p := h.policy.(*Policy)
	start := h.clock.Now()
	for _, engine := range h.engines {
		p.lastChange[engine.Endpoint] = start.Add(5 * time.Minute)
	}
	for h.changes == 0 && h.clock.Now().Before(start.Add(10*time.Minute)) {
		h.planOnce(h.demand(batchTarget, .6, .2))
	}
	qt.Check(t, h.changes > 0, qt.IsTrue)
	qt.Check(t, h.clock.Now().Sub(start) >= 5*time.Minute+minDwell*defaultDowntime, qt.IsTrue)
}

// The same work under targets that leave less slack and fewer misses must get a lower tolerance and
// a longer dwell time. Only the targets differ.
func TestTargetsDetermineTolerance(t *testing.T) {
	h := newHarness("forecast", 20)
	p := New(carawayspread.Environment{Clock: h.clock})
	before := math.Inf(1)
	dwell := time.Duration(0)
	for _, long := range []carawayspread.Target{
		carawayspread.NewTarget(0, 0, 2*time.Minute, .8), batchTarget,
		carawayspread.NewTarget(0, 0, 10*time.Second, .95), interactiveTarget,
	} {
		got := tolerance(h.demand(long, .6, .2).Classes, defaultDowntime)
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

// drawSwing draws a mix that swings. Swings shorter than an answer are not drawn, as they average
// out in the engines.
func drawSwing(t *rapid.T) (n int, long carawayspread.Target, period time.Duration, prefill, decode float64) {
	n = rapid.IntRange(3, 60).Draw(t, "engines")
	long = rapid.SampledFrom([]carawayspread.Target{batchTarget, interactiveTarget}).Draw(t, "target")
	period = time.Duration(rapid.IntRange(30, 900).Draw(t, "seconds")) * time.Second
	prefill = rapid.Float64Range(.3, .7).Draw(t, "prefill")
	decode = rapid.Float64Range(.4, .8).Draw(t, "decode")
	return n, long, period, prefill, decode
}

// Under any swing a plan keeps an engine for each phase, lets at most a quarter of the engines
// change at one time, changes no engine that is already changing, and leaves each engine in its
// role for a dwell time.
func TestPlanKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, long, period, prefill, decode := drawSwing(t)
		h := newHarness("forecast", n)
		for at := time.Duration(0); at < 20*time.Minute; at += planInterval {
			demand := h.demand(long, prefill, .1)
			if at/period%2 == 1 {
				demand = h.demand(long, .05, decode)
			}
			last := map[carawayspread.EndpointID]time.Time{}
			for id, when := range h.lastChange {
				last[id] = when
			}
			h.planOnce(demand)
			f := newFleet(h.engines)
			expect(t, f.split.coversBothPhases(), "a phase has no engine")
			changing := 0
			for id, until := range h.changingUntil {
				if h.clock.Now().Before(until) {
					changing++
				}
				if before, ok := last[id]; ok && h.lastChange[id].After(before) {
					expect(t, h.lastChange[id].Sub(before) >= minDwell*defaultDowntime, "an engine changed again within its dwell time")
				}
			}
			expect(t, changing <= max(1, n/4), "too many engines change at one time")
		}
	})
}

// Guards against oscillation: the mix swings to the other side each time that the policy has
// changed roles for the current one, or with any period, so that engines spend the swings changing
// and callers wait for the missing capacity. Over an hour, changes may take at most 5% of the
// engines' time, half of the misses that batchTarget allows. Their downtime together with the
// missed work may exceed the work missed without any change by at most 5% of that time (with an
// adverse mix, three times the work missed without any change by as much).
func TestPlanDoesNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, long, period, prefill, decode := drawSwing(t)
		adverse := rapid.Bool().Draw(t, "adverse")
		checkOscillation(t, n, long, period, prefill, decode, adverse)
	})
}

// Guards against a policy under which callers miss more than without any change of roles. The mix
// swings every 156 s and the class tolerates 1 miss in 10, so that changes seem to save their cost.
// The mix swings back before a change has saved it: the first engines change back, which ends the
// evaluation and raises the margin, and the other engines stay for the whole swing in a split that
// serves neither side. Found with seed 3.
func TestPlanAgainstThresholdAtShortSwings(t *testing.T) {
	checkOscillation(t, 32, batchTarget, 156*time.Second, .7, .8, false)
}

func checkOscillation(t rapid.TB, n int, long carawayspread.Target, period time.Duration, prefill, decode float64, adverse bool) {
	var sides []bool // which the forecast policy caused
	forecastRun, side, swungAt := newHarness("forecast", n), false, time.Duration(0)
	load := func(h *harness, side bool) carawayspread.Demand {
		if side {
			return h.demand(long, .05, decode)
		}
		return h.demand(long, prefill, .1)
	}
	for at := time.Duration(0); at < testDuration; at += planInterval {
		sides = append(sides, side)
		changed := forecastRun.planOnce(load(forecastRun, side)) > 0
		if adverse && changed || !adverse && at-swungAt >= period {
			side, swungAt = !side, at
		}
	}
	staticRun, thresholdRun := newHarness("static", n), newHarness("threshold", n)
	for _, side := range sides {
		staticRun.planOnce(load(staticRun, side))
		thresholdRun.planOnce(load(thresholdRun, side))
	}
	downtimeShare := float64(forecastRun.changes) * defaultDowntime.Seconds() / float64(n) / testDuration.Seconds()
	expect(t, downtimeShare <= .05, "%d changes of %d engines", forecastRun.changes, n)
	cost := forecastRun.missed + float64(forecastRun.changes)*defaultDowntime.Seconds()
	bound := staticRun.missed + 0.05*float64(n)*testDuration.Seconds()
	if adverse {
		// No deterministic rule guarantees less than three times the optimum between two states.
		bound += 2 * staticRun.missed
	}
	expect(t, cost <= bound, "cost %.0f, missed %.0f without changes", cost, staticRun.missed)
	expect(t, adverse || forecastRun.changes <= thresholdRun.changes, "%d changes, threshold policy %d", forecastRun.changes, thresholdRun.changes)
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 200, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHarness("forecast", n)
			for i := range 400 {
				h.planOnce(h.demand(batchTarget, .1+.5*float64(i/50%2), .3))
			}
			demands := []carawayspread.Demand{h.demand(batchTarget, .6, .2), h.demand(batchTarget, .1, .6)}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.clock.Advance(planInterval)
				demand := demands[i/50%2]
				demand.MeasuredAt = h.clock.Now()
				h.policy.Plan(h.engines, demand)
			}
		})
	}
}
