package placement

import (
	"hash/fnv"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/enginespeed"
)

const (
	// lateNews is how long after a prefill was sent a peer's update may still arrive of one that was sent
	// before it: the interval between messages, twice, on the way through a process that forwards them.
	// Half of them were.
	lateNews = 60 * time.Millisecond
	// speedPull is the part of the difference from the fleet's evidence by which a new share of it moves
	// what this process has learned of an engine.
	speedPull = 0.5
)

// speed is the evidence of an engine's speed that processes exchange.
type speed struct {
	key           uint32 // of the engine, its start and its role
	prefill, step enginespeed.Estimate
	passing       float64   // how many times slower than usual it works; at least 1
	told          float64   // passing as peers know it
	toldAt        time.Time // when peers were last told
}

// priors are the medians of what engines of one service show: they stand for engines that nothing is
// known of.
type priors struct {
	prefill, mixed, step float64
	processes            int // that share the evidence
}

func newSpeed(endpoint carawayspread.Endpoint) speed {
	return speed{key: speedKey(endpoint), passing: 1, told: 1}
}

// speedKey identifies an engine in one of its roles, from one start to the next. Processes whose lists
// differ ignore what others say of an engine that they do not know as such.
func speedKey(endpoint carawayspread.Endpoint) uint32 {
	h := fnv.New32a()
	for _, text := range []string{string(endpoint.ID()), endpoint.Boot(), string(endpoint.Role())} {
		_, _ = h.Write([]byte(text))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}

// presentSlowdown returns the prefill time relative to the nominal one, as of now.
func (e *engine) presentSlowdown() float64 { return e.slowdown * e.speed.passing }

// outstandingPrefill returns the nominal time of a prefill at an engine that only prefills; zero at others,
// which are also busy with decodes.
func (e *engine) outstandingPrefill(prefillTime time.Duration) time.Duration {
	if e == nil || !e.prefillOnly() {
		return 0
	}
	return time.Duration(float64(prefillTime) / e.presentSlowdown())
}

// settle corrects when the known prefills end, by those that have no answer yet: an engine that only
// prefills still has to do all of them but for a part of the first.
//
// Counted down by the time that they were expected to take, the queues of engines that are slower than
// expected seemed to be gone while prompts waited there for seconds.
func (e *engine) settle(now time.Time, l load) {
	if !e.prefillOnly() || l.prefills <= 0 {
		return
	}
	longest := time.Duration(float64(l.prefills) * e.presentSlowdown())
	shortest := longest - longest/time.Duration(max(1, l.running))
	known := e.wait(now)
	if settled := max(shortest, min(longest, known)); settled != known {
		e.backlogShift += settled - known
		e.busyUntil = now.Add(settled)
	}
}

// aheadOf returns the nominal time of what the engine prefills up to the end of a new attempt: those of the
// others that are as urgent, but for half of the first, and its own.
func (e *engine) aheadOf(a *attempt, others load, nominal time.Duration) time.Duration {
	if nominal <= 0 {
		return 0
	}
	waiting := max(0, others.prefills-others.prefills/time.Duration(2*max(1, others.running-1)))
	return nominal + time.Duration((1-a.overtakes)*float64(waiting))
}

// delayMeasurements is called for each prefill that is sent to the engine after those whose time is
// measured: it may have been sent before them, or be more urgent.
func (e *engine) delayMeasurements(now time.Time, nominal time.Duration) {
	for _, a := range e.unanswered {
		if a.ahead <= 0 {
			continue
		}
		share := a.overtakenBy
		if now.Sub(a.sentAt) <= lateNews {
			share = max(share, (1-a.overtakes)/2)
		}
		a.ahead += time.Duration(share * float64(nominal))
	}
}

// observePrefill adds the time of a prefill to the evidence, relative to the nominal time of all that the
// engine has prefilled meanwhile.
//
// Taken for a slowness, a wait behind unknown prefills made every engine look slow to every process. What
// an engine has to do is known here from what has no answer yet, not from how long it was expected to take.
func (e *engine) observePrefill(now time.Time, a *attempt) {
	if a.ahead <= 0 || a.pool == nil {
		return
	}
	took := now.Sub(a.sentAt) - e.delay
	ratio := max(minSlowdown, float64(took)/float64(a.ahead))
	x := float64(a.ahead) / float64(initialDelay)
	e.speed.prefill.Observe(now, ratio, x*x/(1+x*x), a.pool.priors.of(e))
	e.refreshPassing(now)
}

// observeStep adds the time of decode steps, relative to the nominal one, to the evidence.
func (e *engine) observeStep(now time.Time, pool *pool, measured float64) {
	e.speed.step.Observe(now, max(minSlowdown, measured), 1, pool.priors.ofStep())
	e.refreshPassing(now)
}

// followSpeed moves what this process has learned of the engine towards the evidence of all. From its own
// measurements it has learned already.
func (e *engine) followSpeed(now time.Time, pool *pool) {
	if e.speed.prefill.Known() {
		target := min(maxSlowdown, max(minSlowdown, e.speed.prefill.Lasting(pool.priors.of(e))))
		if e.learnedAt.IsZero() {
			e.slowdown, e.learnedAt = target, now
		}
		e.slowdown += speedPull * (target - e.slowdown)
	}
	if e.speed.step.Known() {
		target := min(maxSlowdown, max(minSlowdown, e.speed.step.Lasting(pool.priors.ofStep())))
		e.stepSlowdown += speedPull * (target - e.stepSlowdown)
	}
}

// refreshPassing updates the passing slowness: of an engine that decodes, from its steps.
func (e *engine) refreshPassing(now time.Time) {
	e.speed.passing = e.passingEstimate().Passing(now)
}

func (e *engine) passingEstimate() *enginespeed.Estimate {
	if e.prefillOnly() {
		return &e.speed.prefill
	}
	return &e.speed.step
}

// of returns what engines of the same role show of prefills.
func (p priors) of(e *engine) enginespeed.Prior {
	if e.prefillOnly() {
		return p.with(p.prefill)
	}
	return p.with(p.mixed)
}

func (p priors) ofStep() enginespeed.Prior { return p.with(p.step) }

func (p priors) with(ratio float64) enginespeed.Prior {
	if ratio <= 0 {
		ratio = 1
	}
	return enginespeed.Prior{Ratio: ratio, Weight: 1 / float64(max(1, p.processes))}
}

// updatePriors sets the medians of the engines that something is known of, and lets slowness pass.
func (pool *pool) updatePriors(now time.Time) {
	pool.priors.prefill, _ = pool.medianSlowdown(true)
	pool.priors.mixed, _ = pool.medianSlowdown(false)
	var steps []float64
	for _, e := range pool.ordered {
		e.refreshPassing(now)
		if !e.prefillOnly() && e.speed.step.Known() {
			steps = append(steps, e.stepSlowdown)
		}
	}
	pool.priors.step = 1
	if len(steps) > 0 {
		slices.Sort(steps)
		pool.priors.step = steps[len(steps)/2]
	}
	for _, e := range pool.ordered {
		if !e.prefillOnly() && !e.speed.step.Known() && len(steps) > 0 {
			e.stepSlowdown = pool.priors.step
		}
	}
}
