package rolepolicy

import (
	"math"
	"time"
)

const (
	// raiseFactor and relaxFactor change the margin after a change that did not save its cost and
	// one that did.
	raiseFactor = 4.0
	relaxFactor = 0.5
	// maxMargin bounds the margin, so that it decays to 1 within six half-lives.
	maxMargin = 64.0
	// halfLife is the time after which an old failure counts half.
	halfLife = 30 * time.Minute
)

// margin is the hysteresis: the multiple of its cost that a change must be expected to save. Each
// change that did not save its cost raises it.
//
// If the mix swings as fast as the policy reacts, every change comes too late. As each failure
// multiplies the margin, forecasts are soon disregarded, and about one change in each halfLife
// tests whether the swings have changed.
type margin struct {
	value      float64   // at least 1 and at most maxMargin
	setAt      time.Time // when value was last set
	lastGood   split     // the last split whose change saved its cost
	pending    bool      // whether evaluation holds a change whose savings are not known yet
	evaluation evaluation
}

// evaluation measures what a change, with those that followed in the same direction, saves.
type evaluation struct {
	until     time.Time
	step      step
	from, to  split
	cost      float64 // engine-seconds
	saved     float64 // engine-seconds saved so far
	concluded bool
}

// factor returns the margin at a time, after its decay.
func (m *margin) factor(now time.Time) float64 {
	halfLives := now.Sub(m.setAt).Seconds() / halfLife.Seconds()
	return math.Max(1, m.value*math.Exp2(-halfLives))
}

// required returns the multiple of its cost that a step must be expected to save. A step back
// toward lastGood must save its cost only once: a mix that swings back while engines are changing
// would otherwise end one evaluation, raise the margin, and leave the fleet halfway in a split that
// serves neither side.
func (m *margin) required(now time.Time, from, to split) float64 {
	if to.distance(m.lastGood) < from.distance(m.lastGood) {
		return 1
	}
	return m.factor(now)
}

// observe adds what the change saves with the load of the last dt, and adapts the margin when the
// evaluation ends.
func (m *margin) observe(now time.Time, dt time.Duration, model model, work load) {
	if !m.pending {
		return
	}
	m.evaluation.saved += dt.Seconds() * (model.missed(m.evaluation.from, work) - model.missed(m.evaluation.to, work))
	if !now.Before(m.evaluation.until) {
		m.conclude(now)
		m.pending = m.evaluation.saved < 0
	}
}

// regret returns half of what a change has lost so far, for the step that undoes it. The hysteresis
// must not delay leaving a split that loses work.
func (m *margin) regret(s step) float64 {
	if !m.pending || s.from != m.evaluation.step.to || s.to != m.evaluation.step.from {
		return 0
	}
	return -m.evaluation.saved / 2
}

// start starts the evaluation of a change that is made now. One in the direction of the pending
// change extends its evaluation. One in another direction concludes it: what the pending change
// lost while the mix had already swung back counts against it.
func (m *margin) start(now time.Time, e evaluation) {
	if m.pending && e.step.from == m.evaluation.step.from && e.step.to == m.evaluation.step.to {
		e.from = m.evaluation.from
		e.cost += m.evaluation.cost
		e.saved = m.evaluation.saved
		e.concluded = m.evaluation.concluded
	} else if m.pending {
		m.conclude(now)
	}
	m.pending, m.evaluation = true, e
}

// conclude adapts the margin to the result of an evaluation, once for each.
func (m *margin) conclude(now time.Time) {
	if m.evaluation.concluded {
		return
	}
	m.evaluation.concluded = true
	factor := raiseFactor
	if m.evaluation.saved >= m.evaluation.cost {
		factor = relaxFactor
		m.lastGood = m.evaluation.to
	}
	m.value = math.Min(maxMargin, math.Max(1, m.factor(now)*factor))
	m.setAt = now
}
