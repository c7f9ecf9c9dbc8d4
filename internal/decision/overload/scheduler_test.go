package overload_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

var (
	ruling   = carawayspread.NewClass("ruling", carawayspread.NewTarget(time.Second, 0, 0, 0.95), false)
	register = carawayspread.NewClass("register", carawayspread.NewTarget(0, 0, 2*time.Minute, 0.95), false)

	rulingCost   = carawayspread.Cost{Prefill: 500, Decode: 10}    // 0.3 s of a slot
	registerCost = carawayspread.Cost{Prefill: 20000, Decode: 800} // 20 s of a slot
)

// rulingsAtCapacity returns the rate of rulings, per second, that n engines can serve.
func rulingsAtCapacity(n int) float64 { return float64(n*slotsPerEngine) / 0.3 }

// rulingWorkloads returns the workloads of ten workspaces that together send load times the
// capacity of n engines.
func rulingWorkloads(n int, load float64, to time.Duration) (workloads []workload) {
	const workspaces = 10
	for i := range workspaces {
		workloads = append(workloads, workload{
			workspace: "w" + strconv.Itoa(i), class: ruling, cost: rulingCost,
			rate: load * rulingsAtCapacity(n) / workspaces, to: to,
		})
	}
	return workloads
}

func keyContains(part string) func(string) bool {
	return func(key string) bool { return strings.Contains(key, part) }
}

// Guards against the loss of goodput under overload: callers send more than the engines can serve,
// for minutes. With a FIFO queue every job that is served has waited behind jobs that were late
// already, so that hardly any answer is in time although every engine is busy. Refusing on arrival
// the jobs that cannot be in time keeps the others in time.
func TestOverload(t *testing.T) {
	const engines, duration = 4, 2 * time.Minute
	for name, load := range map[string]float64{"1.2": 1.2, "2": 2, "5": 5} {
		t.Run(name, func(t *testing.T) {
			run := func(m modules, load float64) tally {
				sim := newSimulation(m, 2, engines)
				sim.addWorkloads(rulingWorkloads(engines, load, duration)...)
				sim.runToCompletion(duration)
				t.Logf("%s load %g: %+v jain %.3f", m.scheduler, load, sim.sum(nil), sim.jain())
				return sim.sum(nil)
			}
			atCapacity, got, baseline := run(defaultModules, 1), run(defaultModules, load), run(fifoModules, load)
			qt.Check(t, float64(got.inTarget) >= 0.9*float64(atCapacity.inTarget), qt.IsTrue)
			qt.Check(t, got.lost+got.doubled, qt.Equals, 0)
			qt.Check(t, got.later <= got.offered/20, qt.IsTrue, qt.Commentf("%d refused late", got.later))
			qt.Check(t, got.late <= got.offered/20, qt.IsTrue)
			qt.Check(t, baseline.inTarget < got.inTarget/2, qt.IsTrue)
		})
	}
}

// scenario is a workload with the checks of what callers receive from the default modules and from
// a baseline, in which one module is replaced.
type scenario struct {
	engines  int
	duration time.Duration
	load     func(sim *simulation)
	baseline modules
	check    func(t *testing.T, got, baseline *simulation)
}

func (s scenario) run(t *testing.T, m modules) *simulation {
	sim := newSimulation(m, 2, s.engines)
	s.load(sim)
	sim.runToCompletion(s.duration)
	total := sim.sum(nil)
	t.Logf("%v: %+v worst %s jain %.3f hits %d", m, total, sim.worst(), sim.jain(), sim.cacheHits)
	qt.Check(t, total.lost+total.doubled, qt.Equals, 0)
	return sim
}

func goodput(sim *simulation, part string) float64 {
	total := sim.sum(keyContains(part))
	return total.goodput()
}

var schedulerScenarios = map[string]scenario{
	// One workspace sends ten times its share, the others stay within theirs. With a FIFO queue all
	// jobs wait behind those of the hot workspace and all are late.
	"hot caller": {
		engines: 4, duration: time.Minute, baseline: fifoModules,
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(4, 0.8, time.Minute)...)
			sim.addWorkloads(workload{workspace: "hot", class: ruling, cost: rulingCost, rate: rulingsAtCapacity(4) * 10 / 11, to: time.Minute})
		},
		check: func(t *testing.T, got, baseline *simulation) {
			for i := range 10 {
				other := goodput(got, "w"+strconv.Itoa(i))
				qt.Check(t, other > 0.95, qt.IsTrue, qt.Commentf("w%d: %.3f", i, other))
			}
			qt.Check(t, goodput(baseline, "w") < 0.2, qt.IsTrue)
		},
	},
	// Registers of twenty seconds arrive among rulings that must start within one second. With a
	// FIFO queue the rulings wait for registers to end.
	"long among short": {
		engines: 4, duration: 4 * time.Minute, baseline: fifoModules,
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(4, 0.55, 4*time.Minute)...)
			sim.addWorkloads(workload{workspace: "long", class: register, cost: registerCost, rate: 0.45 * 32 / 20, to: 4 * time.Minute})
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "/ruling") > 0.95, qt.IsTrue)
			qt.Check(t, goodput(got, "/register") > 0.95, qt.IsTrue)
			qt.Check(t, goodput(baseline, "/ruling") < goodput(got, "/ruling")-0.05, qt.IsTrue)
		},
	},
	// One workspace sends registers and more rulings than fit. A scheduler that goes by urgency
	// alone would pass over its registers until they are late.
	"rulings flood registers": {
		engines: 4, duration: 4 * time.Minute, baseline: fifoModules,
		load: func(sim *simulation) {
			sim.addWorkloads(
				workload{workspace: "both", class: ruling, cost: rulingCost, rate: rulingsAtCapacity(4), to: 4 * time.Minute},
				workload{workspace: "both", class: register, cost: registerCost, rate: 0.3 * 32 / 20, to: 4 * time.Minute},
			)
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "/ruling") > 0.5, qt.IsTrue)
			qt.Check(t, goodput(got, "/register") > 0.5, qt.IsTrue)
			qt.Check(t, goodput(baseline, "/ruling") < 0.2, qt.IsTrue)
		},
	},
	// Ten times the capacity arrives for two seconds. With a FIFO queue the burst makes all answers
	// late until its backlog is served.
	"burst": {
		engines: 4, duration: time.Minute, baseline: fifoModules,
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(4, 0.6, time.Minute)...)
			sim.addWorkloads(workload{workspace: "burst", class: ruling, cost: rulingCost, rate: 10 * rulingsAtCapacity(4), from: 10 * time.Second, to: 12 * time.Second})
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "w") > 0.95, qt.IsTrue)
			qt.Check(t, goodput(baseline, "w") < 0.6, qt.IsTrue)
		},
	},
	// Half of the engines are withdrawn at peak load; the requests that run on them finish. With a
	// FIFO queue the backlog makes all later answers late.
	"withdrawn at the peak": {
		engines: 8, duration: 2 * time.Minute, baseline: fifoModules,
		load: func(sim *simulation) {
			sim.addWorkloads(rulingWorkloads(8, 0.8, 2*time.Minute)...)
			sim.schedule(time.Minute, func() {
				for _, e := range sim.engines[:4] {
					e.withdrawn = true
				}
				sim.publishEngines()
			})
		},
		check: func(t *testing.T, got, baseline *simulation) {
			qt.Check(t, goodput(got, "") > 0.78, qt.IsTrue) // the remaining capacity allows 0.81
			qt.Check(t, goodput(baseline, "") < 0.6, qt.IsTrue)
		},
	},
}

// Guards against unused capacity when a load balancer sends all traffic to one of six entries. If
// each entry had an equal share of the slots, five sixths of the fleet would idle while callers are
// refused; the in-flight window uses the slots that the other entries leave free.
func TestOneBusyEntry(t *testing.T) {
	const duration = 30 * time.Second
	sim := newSimulation(defaultModules, 6, 8)
	sim.skew = true
	sim.addWorkloads(rulingWorkloads(8, 0.8, duration)...)
	sim.runToCompletion(duration)
	t.Logf("%+v, %d refused by full engines", sim.sum(nil), sim.fullRefusals)
	qt.Check(t, goodput(sim, "") > 0.9, qt.IsTrue)
	qt.Check(t, sim.fullRefusals < sim.sum(nil).offered, qt.IsTrue)
}

func TestScheduler(t *testing.T) {
	for name, s := range schedulerScenarios {
		t.Run(name, func(t *testing.T) { s.check(t, s.run(t, defaultModules), s.run(t, s.baseline)) })
	}
}
