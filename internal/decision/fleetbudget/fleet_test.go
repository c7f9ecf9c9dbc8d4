package fleetbudget

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

const (
	// step is the time between two moments at which the processes of a simulation act.
	step = 100 * time.Millisecond
	// heardAfter is how long a process that has started knows of no other.
	heardAfter = 500 * time.Millisecond
)

// newBudget returns the budget of one of so many processes, which started now.
func newBudget(clock *clockwork.FakeClock, processes int) *Budget {
	start := clock.Now()
	return New(clock, limits, func() (int, bool) {
		if clock.Now().Sub(start) < heardAfter {
			return 1, false
		}
		return processes, true
	}, start)
}

// newClock returns a clock that does not begin where a bucket does.
func newClock(t *rapid.T) *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(time.Unix(1000, 0).Add(time.Duration(rapid.IntRange(0, 499).Draw(t, "ms")) * time.Millisecond))
}

// countRequest counts a request that was sent at some time after since.
func countRequest(b *Budget, since time.Time) { b.CountRequest(since) }

// sendRetry sends a retry that arrives within two seconds, if one is left, and returns the function to call when it arrives.
func sendRetry(b *Budget) (arrived func(), ok bool) {
	r, decision := b.Spend()
	if !decision.Allowed {
		return nil, false
	}
	r.ArrivesWithin(2 * time.Second)
	return func() { r.ArrivesWithin(0) }, true
}

// judge holds what endpoints of one service received, by step. It applies the bound as operators state it.
type judge struct{ requests, retries []int }

func newJudge(steps int) *judge { return &judge{make([]int, steps), make([]int, steps)} }

// check fails if some window has more retries than the requests of that window, of the one before it, or of
// the one half a window before it allow.
func (j *judge) check(t *rapid.T) {
	window := int(limits.Window / step)
	for first := range j.retries {
		sum := func(of []int, from int) (n int) {
			for i := max(0, from); i < min(len(of), from+window); i++ {
				n += of[i]
			}
			return n
		}
		requests := max(sum(j.requests, first), sum(j.requests, first-window), sum(j.requests, first-window/2))
		if got, limit := sum(j.retries, first), limits.Ratio*float64(requests)+limits.Slack; float64(got) > limit {
			t.Fatalf("%d retries from %v, for %d requests, allowed are %.1f", got, time.Duration(first)*step, requests, limit)
		}
	}
}

// Guards against a slack that each start refills: processes are killed and start again, one by one or all at
// once, while endpoints refuse everything.
func TestStartsDoNotRefillTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 400
		clock := newClock(t)
		processes := rapid.IntRange(1, 20).Draw(t, "processes")
		perStep := rapid.IntRange(0, 2).Draw(t, "requests of each in a step")
		startsOf := func(name string) map[int]bool {
			at := map[int]bool{}
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, steps-1), 0, 4).Draw(t, name) {
				at[n] = true
			}
			return at
		}
		allStart := startsOf("all start")
		budgets, starts := make([]*Budget, processes), make([]map[int]bool, processes)
		for i := range budgets {
			budgets[i], starts[i] = newBudget(clock, processes), startsOf("one starts")
		}
		clock.Advance(3 * limits.Window)
		j := newJudge(steps)
		for n := range steps {
			for i := range budgets {
				if allStart[n] || starts[i][n] {
					budgets[i] = newBudget(clock, processes)
				}
				for range perStep {
					countRequest(budgets[i], clock.Now())
					j.requests[n]++
				}
				for arrived, ok := sendRetry(budgets[i]); ok; arrived, ok = sendRetry(budgets[i]) {
					arrived()
					j.retries[n]++
				}
			}
			clock.Advance(step)
		}
		j.check(t)
	})
}

// Guards against retries that are paid by requests of another window than that in which they arrive: callers
// come and go, and a retry arrives while others that were sent after it have arrived already.
func TestRetriesKeepToTheRequestsOfTheirWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 400
		clock := newClock(t)
		processes := rapid.IntRange(1, 4).Draw(t, "processes")
		budgets := make([]*Budget, processes)
		for i := range budgets {
			budgets[i] = newBudget(clock, processes)
		}
		clock.Advance(3 * limits.Window)
		j := newJudge(steps)
		requests := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 8}), steps/20, steps/20).Draw(t, "requests of each in a step")
		wanted := rapid.SliceOfN(rapid.SampledFrom([]int{0, 3, 100}), steps/20, steps/20).Draw(t, "retries wanted")
		delay := rapid.SliceOfN(rapid.IntRange(0, 15), steps/20, steps/20).Draw(t, "steps until retries arrive")
		arrivals := make([][]func(), steps+20)
		for n := range steps {
			for _, arrived := range arrivals[n] {
				arrived()
				j.retries[n]++
			}
			for _, b := range budgets {
				for range requests[n/20] {
					countRequest(b, clock.Now())
					j.requests[n]++
				}
				for range wanted[n/20] {
					arrived, ok := sendRetry(b)
					if !ok {
						break
					}
					if late := delay[n/20]; late > 0 {
						arrivals[n+late] = append(arrivals[n+late], arrived)
						continue
					}
					arrived()
					j.retries[n]++
				}
			}
			clock.Advance(step)
		}
		j.check(t)
	})
}

// Guards against requests that count when they are read: processes stand still for seconds, and then read at
// once what callers had sent meanwhile.
func TestRequestsCountWhenTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 400
		clock := newClock(t)
		processes := rapid.IntRange(1, 4).Draw(t, "processes")
		perStep := rapid.IntRange(1, 8).Draw(t, "requests of each in a step")
		from := rapid.IntRange(0, steps/2).Draw(t, "they stand still from")
		to := from + rapid.IntRange(0, 120).Draw(t, "for steps")
		budgets := make([]*Budget, processes)
		for i := range budgets {
			budgets[i] = newBudget(clock, processes)
		}
		clock.Advance(3 * limits.Window)
		j := newJudge(steps)
		stoodSince, unread := time.Time{}, 0
		for n := range steps {
			j.requests[n] += perStep * processes
			switch {
			case n == from:
				stoodSince = clock.Now()
				fallthrough
			case n > from && n < to:
				unread += perStep
			default:
				for _, b := range budgets {
					for range unread {
						countRequest(b, stoodSince)
					}
					for range perStep {
						countRequest(b, clock.Now())
					}
					for arrived, ok := sendRetry(b); ok; arrived, ok = sendRetry(b) {
						arrived()
						j.retries[n]++
					}
				}
				unread = 0
			}
			clock.Advance(step)
		}
		j.check(t)
	})
}

// Guards against a bound that holds under each disturbance and not under several: processes are killed one by one
// or all at once, stand still and read later what was sent meanwhile, traffic comes and goes, and retries are held
// up.
func TestBoundHoldsUnderSeveralDisturbances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps, phase = 400, 20
		clock := newClock(t)
		processes := rapid.IntRange(1, 6).Draw(t, "processes")
		phases := func(name string, of ...int) []int {
			return rapid.SliceOfN(rapid.SampledFrom(of), steps/phase, steps/phase).Draw(t, name)
		}
		requests := phases("requests of each in a step", 0, 0, 1, 6)
		wanted := phases("retries wanted", 0, 3, 100)
		delay := phases("steps until retries arrive", 0, 0, 5, 15)
		times := func(name string, most int) map[int]bool {
			at := map[int]bool{}
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, steps-1), 0, most).Draw(t, name) {
				at[n] = true
			}
			return at
		}
		allStart, allStop := times("all start", 3), times("all stand still", 1)
		type process struct {
			budget        *Budget
			starts, stops map[int]bool
			stopped       int // steps for which it still stands still
			since         time.Time
			unread        int
		}
		fleet := make([]*process, processes)
		for i := range fleet {
			fleet[i] = &process{budget: newBudget(clock, processes), starts: times("starts", 3), stops: times("stands still", 1)}
		}
		standstill := rapid.IntRange(3, 120).Draw(t, "steps of a standstill")
		clock.Advance(3 * limits.Window)
		j := newJudge(steps)
		arrivals := make([][]func(), steps+20)
		for n := range steps {
			for _, arrived := range arrivals[n] {
				arrived()
				j.retries[n]++
			}
			for _, p := range fleet {
				if allStart[n] || p.starts[n] {
					p.budget, p.stopped, p.unread = newBudget(clock, processes), 0, 0
				}
				if (allStop[n] || p.stops[n]) && p.stopped == 0 {
					p.stopped, p.since = standstill, clock.Now()
				}
				j.requests[n] += requests[n/phase]
				if p.stopped > 0 {
					p.stopped--
					p.unread += requests[n/phase]
					continue
				}
				for range p.unread {
					countRequest(p.budget, p.since)
				}
				p.unread = 0
				for range requests[n/phase] {
					countRequest(p.budget, clock.Now())
				}
				for range wanted[n/phase] {
					arrived, ok := sendRetry(p.budget)
					if !ok {
						break
					}
					if late := delay[n/phase]; late > 0 {
						arrivals[n+late] = append(arrivals[n+late], arrived)
						continue
					}
					arrived()
					j.retries[n]++
				}
			}
			clock.Advance(step)
		}
		j.check(t)
	})
}
