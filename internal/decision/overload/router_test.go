package overload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// promptCost takes a second of a slot, or 0.28 s with its prefix cached.
var promptCost = carawayspread.Cost{Prefill: 4000, Decode: 10}

// answer is a class whose target leaves time to prefill a prompt whose prefix is not cached.
var answer = carawayspread.NewClass("answer", carawayspread.NewTarget(3*time.Second, 0, 0, 0.95), false)

// promptWorkload returns a load that fits the engines only when prefixes are found in a cache.
func promptWorkload(engines, prefixes int, load float64, to time.Duration) workload {
	return workload{
		workspace: "w", class: answer, cost: promptCost, prefixes: prefixes,
		rate: load * float64(engines*slotsPerEngine) / 0.28, to: to,
	}
}

var routerScenarios = map[string]scenario{
	// Prompts share four times as many prefixes as one engine can cache. With round robin each
	// engine gets all prefixes and evicts them before they are used again: the engines compute
	// prompts again and again, and callers are refused.
	"prefixes": {
		engines: 8, duration: time.Minute, baseline: modules{"fairQueue", "roundRobin", "gradient", "outlier"},
		load: func(sim *simulation) { sim.addWorkloads(promptWorkload(8, 4*cachedPrefixes, 0.7, time.Minute)) },
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(baseline, "") < goodput(got, "")-0.1, qt.IsTrue)
		},
	},
	// A third of the prompts share one prefix, more than one engine can serve.
	"hot key": {
		engines: 8, duration: time.Minute, baseline: modules{"fairQueue", "roundRobin", "gradient", "outlier"},
		load: func(sim *simulation) {
			sim.addWorkloads(promptWorkload(8, 4*cachedPrefixes, 0.45, time.Minute))
			hot := promptWorkload(8, 1, 0.25, time.Minute)
			hot.workspace = "hot"
			sim.addWorkloads(hot)
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "hot") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(got, "") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(baseline, "") < goodput(got, "")-0.05, qt.IsTrue)
		},
	},
	// One engine of eight becomes twenty times slower and then recovers. Its answers are late, and
	// so are those of the jobs in its queue.
	"slow endpoint": {
		engines: 8, duration: 2 * time.Minute, baseline: modules{"fairQueue", "hashRouter", "gradient", "never"},
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(8, 0.7, 2*time.Minute)...)
			sim.schedule(30*time.Second, func() { sim.engines[3].slowdown = 20 })
			sim.schedule(80*time.Second, func() { sim.engines[3].slowdown = 1 })
		},
		check: func(t *testing.T, got, baseline *simulation) {
			late, baselineLate := got.sum(nil).late, baseline.sum(nil).late
			qt.Check(t, goodput(got, "") > 0.99, qt.IsTrue)
			qt.Check(t, late < baselineLate/2, qt.IsTrue, qt.Commentf("%d, baseline %d", late, baselineLate))
			qt.Check(t, got.engines[3].served > got.engines[2].served/4, qt.IsTrue) // it gets requests again
		},
	},
	// One engine of eight fails every request at once, and so looks idle. Without ejection it gets
	// more than its share of the requests and uses up the retry budget.
	"failing endpoint": {
		engines: 8, duration: 2 * time.Minute, baseline: modules{"fairQueue", "hashRouter", "gradient", "never"},
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(8, 0.7, 2*time.Minute)...)
			sim.schedule(30*time.Second, func() { sim.engines[3].failing = true })
			sim.schedule(80*time.Second, func() { sim.engines[3].failing = false })
		},
		check: func(t *testing.T, got, baseline *simulation) {
			failed, baselineFailed := got.sum(nil).failed, baseline.sum(nil).failed
			qt.Check(t, goodput(got, "") > 0.99, qt.IsTrue)
			qt.Check(t, failed < baselineFailed/10, qt.IsTrue, qt.Commentf("%d, baseline %d", failed, baselineFailed))
			qt.Check(t, got.engines[3].served > got.engines[2].served/4, qt.IsTrue) // it gets requests again
		},
	},
	// No load report ever arrives; the only evidence of load is in the answers.
	"missing reports": {
		engines: 8, duration: time.Minute, baseline: modules{"fifo", "hashRouter", "gradient", "outlier"},
		load: func(sim *simulation) {
			sim.reportInterval = 0
			sim.addWorkloads(rulingWorkloads(8, 1.2, time.Minute)...)
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "") > 0.78, qt.IsTrue)
			qt.Check(t, goodput(baseline, "") < 0.3, qt.IsTrue)
		},
	},
}

func TestRouter(t *testing.T) {
	for name, s := range routerScenarios {
		t.Run(name, func(t *testing.T) { s.check(t, s.run(t, defaultModules), s.run(t, s.baseline)) })
	}
}
