// Package schedule draws from a seed which faults a soak injects, and when.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what happens.
type Kind string

// Kinds. Those of gateways come by signals, the others by the relays and stand-ins.
const (
	Kill        Kind = "kill"        // SIGKILL, then a new process
	KillAll     Kind = "killAll"     // of all gateways at once
	Replace     Kind = "replace"     // SIGTERM, then a new process
	Pause       Kind = "pause"       // SIGSTOP, then SIGCONT
	Reload      Kind = "reload"      // SIGHUP
	Delayed     Kind = "delayed"     // the way to a worker
	Silent      Kind = "silent"      // the same
	OneWay      Kind = "oneWay"      // the same
	Refused     Kind = "refused"     // the same
	StoreDown   Kind = "storeDown"   // it answers 503
	StoreSilent Kind = "storeSilent" // the way to it
	StoreForgot Kind = "storeForgot" // its history
	Misbehave   Kind = "misbehave"   // a worker, for some requests
	Drain       Kind = "drain"       // a worker leaves, and another comes
	Routes      Kind = "routes"      // a newer version of the routes

	Restore Kind = "restore" // the store comes back from a copy that is so old
	Leaving Kind = "leaving" // a worker says in its answers alone that it leaves
	Limited Kind = "limited" // a worker names in its answers a rate that it takes

	Narrow Kind = "narrow" // the way to the store carries no more than that of a small instance
)

// rare come once in some seconds, drawn apart from the others.
var rareKinds = []Kind{Restore, Leaving, Limited}

// sizes are how many routes that nobody uses a configuration holds.
var idleRouteCounts = []int{0, 0, 3000, 12000}

var commonKinds = []Kind{
	Kill, Kill, KillAll, Replace, Replace, Pause, Pause, Reload, Delayed, Silent, OneWay, Refused,
	StoreDown, StoreSilent, StoreForgot, Misbehave, Misbehave, Misbehave, Drain, Drain, Routes, Routes,
}

// stops have many orders to end meet requests that workers hold.
var stopKinds = []Kind{
	Replace, Replace, Replace, Replace, Replace, Replace, Misbehave, Misbehave, Misbehave, Misbehave, Misbehave,
	Silent, Silent, Silent, OneWay,
}

const (
	// longest is how long one fault lasts at most: callers of the routes wait for
	// two to four seconds.
	maxDuration = 2500 * time.Millisecond
	// apart is the mean time from one step to the next: faults that last one and a
	// quarter second on the mean overlap, two or three at a time.
	meanInterval = 450 * time.Millisecond
	// rareApart is the same of those that are drawn apart, and limitedFor the least time
	// for which a worker names a rate: most of it is left to what is under way.
	rareMeanInterval   = 5 * time.Second
	minLimitedDuration = 6 * time.Second
	// unlistedFor is the least time for which a worker that leaves is listed as ready:
	// longer than what processes have to stop in.
	minUnlistedDuration = 4 * time.Second
)

// Step is one fault.
type Step struct {
	At, Duration time.Duration
	Kind         Kind
	Which        int // gateway or worker, to be taken modulo their number
	Random       uint64
}

// Schedule is what happens in one soak.
type Schedule struct {
	seed       uint64
	steps      []Step
	idleRoutes int
}

// Generate returns the schedule of a seed, for so long.
func Generate(seed uint64, length time.Duration) *Schedule {
	return generate(seed, length, commonKinds)
}

// GenerateStops returns a schedule in which most faults are orders to end, and workers that
// hold requests.
func GenerateStops(seed uint64, length time.Duration) *Schedule {
	return generate(seed, length, stopKinds)
}

func generate(seed uint64, length time.Duration, common []Kind) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, meanInterval, common)
	s.addSteps(rand.New(rand.NewPCG(seed, 1)), length, rareMeanInterval, rareKinds)
	r := rand.New(rand.NewPCG(seed, 2))
	s.idleRoutes = idleRouteCounts[r.IntN(len(idleRouteCounts))]
	s.addSteps(r, length, rareMeanInterval, []Kind{Narrow})
	slices.SortStableFunc(s.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s
}

func (s *Schedule) addSteps(r *rand.Rand, length, interval time.Duration, kinds []Kind) {
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(interval))
		if at >= length {
			return
		}
		step := Step{
			At: at.Truncate(time.Millisecond), Duration: time.Duration(r.Float64() * float64(maxDuration)).Truncate(time.Millisecond),
			Kind: kinds[r.IntN(len(kinds))], Which: r.IntN(1 << 16), Random: r.Uint64(),
		}
		switch step.Kind {
		case Limited:
			step.Duration += minLimitedDuration
		case Leaving:
			step.Duration += minUnlistedDuration
		}
		s.steps = append(s.steps, step)
	}
}

// Seed returns what the schedule was drawn from.
func (s *Schedule) Seed() uint64 { return s.seed }

// IdleRoutes returns how many routes that nobody uses the configuration holds.
func (s *Schedule) IdleRoutes() int { return s.idleRoutes }

// Steps returns the steps in their order.
func (s *Schedule) Steps() []Step { return slices.Clone(s.steps) }

// String returns the schedule, a step a line.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d idle routes\n", s.seed, s.idleRoutes)
	for _, step := range s.steps {
		fmt.Fprintf(&b, "%v %s which=%d for=%v\n", step.At, step.Kind, step.Which, step.Duration)
	}
	return b.String()
}
