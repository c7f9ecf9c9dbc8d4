package overload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// promptCost takes a second of a slot, or 0.28 s with its prefix cached.
var promptCost = carawayspread.Cost{Prefill: 4000, Decode: 10}

// answer is a class whose target leaves room for a prompt without its cache.
var answer = carawayspread.NewClass("answer", carawayspread.NewTarget(3*time.Second, 0, 0, 0.95), false)

// prompts returns a load that fits only when prefixes are found in a cache.
func prompts(engines, prefixes int, load float64, to time.Duration) stream {
	return stream{
		workspace: "w", class: answer, cost: promptCost, prefixes: prefixes,
		rate: load * float64(engines*slotsEach) / 0.28, to: to,
	}
}

var routerScenarios = map[string]scenario{
	// Prompts share four times as many prefixes as one engine can cache. In
	// turn, each engine sees all prefixes and evicts them before they return:
	// the engines compute prompts again and again, and callers are refused.
	"prefixes": {
		engines: 8, sent: time.Minute, without: modules{"fairQueue", "roundRobin", "gradient"},
		load: func(w *world) { w.send(prompts(8, 4*cacheSize, 0.7, time.Minute)) },
		check: func(t *testing.T, got, without *world) {
			qt.Check(t, goodput(got, "") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(without, "") < goodput(got, "")-0.1, qt.IsTrue)
		},
	},
	// A third of the prompts share one prefix, more than one engine can serve.
	"hot key": {
		engines: 8, sent: time.Minute, without: modules{"fairQueue", "roundRobin", "gradient"},
		load: func(w *world) {
			w.send(prompts(8, 4*cacheSize, 0.45, time.Minute))
			hot := prompts(8, 1, 0.25, time.Minute)
			hot.workspace = "hot"
			w.send(hot)
		},
		check: func(t *testing.T, got, without *world) {
			qt.Check(t, goodput(got, "hot") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(got, "") > 0.9, qt.IsTrue)
			qt.Check(t, goodput(without, "") < goodput(got, "")-0.05, qt.IsTrue)
		},
	},
	// No report ever comes, and answers alone tell of the load.
	"missing reports": {
		engines: 8, sent: time.Minute, without: modules{"fifo", "hashRouter", "gradient"},
		load: func(w *world) {
			w.reports = 0
			w.send(rulings(8, 1.2, time.Minute)...)
		},
		check: func(t *testing.T, got, without *world) {
			qt.Check(t, goodput(got, "") > 0.78, qt.IsTrue)
			qt.Check(t, goodput(without, "") < 0.3, qt.IsTrue)
		},
	},
}

func TestRouter(t *testing.T) {
	for name, s := range routerScenarios {
		t.Run(name, func(t *testing.T) { s.check(t, s.run(t, ours), s.run(t, s.without)) })
	}
}
