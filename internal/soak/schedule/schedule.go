// Package schedule generates from a seed which faults a soak injects, and when.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds. Faults of gateways are injected by signals, the others by the relays and the
// stand-ins.
const (
	Kill        Kind = "kill"        // a gateway gets SIGKILL and is restarted
	KillAll     Kind = "killAll"     // the same for all gateways at once
	Replace     Kind = "replace"     // a gateway gets SIGTERM and is restarted
	Pause       Kind = "pause"       // a gateway gets SIGSTOP, then SIGCONT
	PauseAll    Kind = "pauseAll"    // the same for all gateways at once
	Reload      Kind = "reload"      // a gateway gets SIGHUP
	Delayed     Kind = "delayed"     // connections to a worker, see relay.Delayed
	Silent      Kind = "silent"      // the same, see relay.Silent
	OneWay      Kind = "oneWay"      // the same, see relay.OneWay
	Refused     Kind = "refused"     // the same, see relay.Refused
	StoreDown   Kind = "storeDown"   // the store answers 503
	StoreSilent Kind = "storeSilent" // the connections to the store, see relay.Silent
	StoreForgot Kind = "storeForgot" // the store compacts its history
	Misbehave   Kind = "misbehave"   // a worker answers some requests wrongly
	Drain       Kind = "drain"       // a worker is listed as draining, and another joins
	Routes      Kind = "routes"      // a newer version of the routes is published

	Restore Kind = "restore" // the store is restored from a copy that is as old as the step is long
	Leaving Kind = "leaving" // a worker reports that it is draining in its answers only
	Limited Kind = "limited" // a worker reports a rate limit in its answers

	LeavePaused  Kind = "leavePaused"  // a worker leaves while a gateway is paused
	LeaveStarved Kind = "leaveStarved" // the same while half of the gateways get little of the processor
	LeaveCut     Kind = "leaveCut"     // the same while a gateway alone has no answers of the store

	StopAgain Kind = "stopAgain" // a gateway gets SIGTERM, also while it ends after another one

	Release Kind = "release" // the workers of models are replaced, one after the other, by ones of another version
	Strand  Kind = "strand"  // one gateway alone misses the beginning of a release, and all others are killed

	Narrow Kind = "narrow" // the bandwidth to the store is that of a small instance
)

// rareKinds occur once in several seconds. They are generated from a random source of their own.
var rareKinds = []Kind{Restore, Leaving, Limited}

// leaveKinds make workers leave while a gateway is behind.
var leaveKinds = []Kind{LeavePaused, LeaveStarved, LeaveStarved, LeaveCut}

// idleRouteCounts are how many unused routes a configuration may hold.
var idleRouteCounts = []int{0, 0, 3000, 12000}

var commonKinds = []Kind{
	Kill, Kill, KillAll, Replace, Replace, Pause, Pause, Reload, Delayed, Silent, OneWay, Refused,
	StoreDown, StoreSilent, StoreForgot, Misbehave, Misbehave, Misbehave, Drain, Drain, Routes, Routes,
}

// stopKinds make many shutdowns coincide with requests that workers stall.
var stopKinds = []Kind{
	Replace, Replace, Replace, Replace, Replace, Replace, Misbehave, Misbehave, Misbehave, Misbehave, Misbehave,
	Silent, Silent, Silent, OneWay,
}

// drainKinds make shutdowns, restarts, signals and changes overlap while all workers are sound.
var drainKinds = []Kind{Replace, Replace, Replace, Replace, StopAgain, StopAgain, Reload, Reload, Routes, Routes, Drain, Kill}

// failingKinds make processes forget what they have spent, or miss time.
var failingKinds = []Kind{Kill, Kill, Kill, KillAll, KillAll, Replace, Pause, PauseAll, StoreDown}

// releaseKinds make processes miss, learn late or forget which versions of the workers' software serve.
var releaseKinds = []Kind{
	Release, Release, Release, Strand, Strand, Kill, KillAll, Replace, Pause, PauseAll, LeaveCut, LeavePaused, Drain, Refused, Delayed, StoreDown, StoreSilent, StoreForgot,
}

// harmfulKinds are faults of processes and of the store.
var harmfulKinds = []Kind{Kill, Replace, Pause, StoreDown, Drain}

const (
	// maxDuration is how long one fault lasts at most: callers of the routes wait for
	// two to four seconds.
	maxDuration = 2500 * time.Millisecond
	// meanInterval is the mean time from one step to the next: faults that last 1.25
	// seconds on average overlap, two or three at a time.
	meanInterval = 450 * time.Millisecond
	// rareMeanInterval is the same for the kinds that are generated separately, and
	// minLimitedDuration the shortest time for which a worker reports a rate: during much of
	// it, requests that were in flight may still arrive above the rate.
	rareMeanInterval = 5 * time.Second
	// seriesMeanInterval is the same for starts in series: several within a window of the retry budget.
	seriesMeanInterval = 2 * time.Second
	minLimitedDuration = 6 * time.Second
	// releaseMeanInterval leaves some of the time to one version alone.
	releaseMeanInterval = time.Second
	// minUnlistedDuration is the shortest time for which a draining worker is still listed as
	// ready: longer than the time in which processes have to stop sending to it.
	minUnlistedDuration = 4 * time.Second
	// minStarvedDuration is the shortest time for which a gateway is starved as a worker leaves: several
	// times the time in which processes have to stop sending to it.
	minStarvedDuration = 7 * time.Second
)

// Step is one fault.
type Step struct {
	At, Duration time.Duration
	Kind         Kind
	Which        int // index of the gateway or worker, modulo their number
	Random       uint64
}

// Schedule holds the steps of one soak.
type Schedule struct {
	seed       uint64
	steps      []Step
	idleRoutes int
}

// Generate returns the schedule of a seed, for so long.
func Generate(seed uint64, length time.Duration) *Schedule {
	return generate(seed, length, commonKinds)
}

// GenerateStops returns a schedule in which most faults are shutdowns, and workers that stall
// requests.
func GenerateStops(seed uint64, length time.Duration) *Schedule {
	return generate(seed, length, stopKinds)
}

// GenerateHarmful returns a schedule with few faults, all of which make processes forget or miss which
// requests are harmful.
func GenerateHarmful(seed uint64, length time.Duration) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, rareMeanInterval, harmfulKinds)
	return s
}

// GenerateFailing returns a schedule in which processes are killed and restarted in series.
func GenerateFailing(seed uint64, length time.Duration) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, seriesMeanInterval, failingKinds)
	return s
}

// GenerateReleases returns a schedule of releases, while processes are killed, paused and cut from the store.
func GenerateReleases(seed uint64, length time.Duration) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, releaseMeanInterval, releaseKinds)
	return s
}

// GenerateStrands returns a schedule of releases whose beginning one gateway misses, while all others are killed.
func GenerateStrands(seed uint64, length time.Duration) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, rareMeanInterval, []Kind{Strand})
	return s
}

// GenerateDrains returns a schedule of shutdowns, restarts, signals and changes in series that overlap.
func GenerateDrains(seed uint64, length time.Duration) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, meanInterval, drainKinds)
	return s
}

func generate(seed uint64, length time.Duration, common []Kind) *Schedule {
	s := &Schedule{seed: seed}
	s.addSteps(rand.New(rand.NewPCG(seed, 0)), length, meanInterval, common)
	s.addSteps(rand.New(rand.NewPCG(seed, 1)), length, rareMeanInterval, rareKinds)
	r := rand.New(rand.NewPCG(seed, 2))
	s.idleRoutes = idleRouteCounts[r.IntN(len(idleRouteCounts))]
	s.addSteps(r, length, rareMeanInterval, []Kind{Narrow})
	s.addSteps(rand.New(rand.NewPCG(seed, 3)), length, rareMeanInterval, leaveKinds)
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
		case LeaveStarved:
			step.Duration += minStarvedDuration
		}
		s.steps = append(s.steps, step)
	}
}

// Seed returns the seed that the schedule was generated from.
func (s *Schedule) Seed() uint64 { return s.seed }

// IdleRoutes returns how many unused routes the configuration holds.
func (s *Schedule) IdleRoutes() int { return s.idleRoutes }

// Steps returns the steps in order of their start.
func (s *Schedule) Steps() []Step { return slices.Clone(s.steps) }

// String returns the schedule with one step per line.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d idle routes\n", s.seed, s.idleRoutes)
	for _, step := range s.steps {
		fmt.Fprintf(&b, "%v %s which=%d for=%v\n", step.At, step.Kind, step.Which, step.Duration)
	}
	return b.String()
}
