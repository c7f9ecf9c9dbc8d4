package fairqueue

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// memory is how long a measurement counts: long enough to hold some
	// hundred answers of a small fleet, short against the minutes in which
	// the mix moves.
	memory = 30 * time.Second
	// enough answers must be counted before an estimate may refuse a job.
	enough = 8
	// lateShare is the share of jobs that may take longer than estimated. It
	// follows the customary target of 95 in 100.
	lateShare = 0.05
	// marginStep moves the margin by a twentieth for each surprise, so that it
	// settles within about a hundred answers.
	marginStep = 0.05
	maxMargin  = 4.0
	// leastWork is charged for any job, so that empty ones are not free.
	leastWork = 0.001
)

// ratio is a decayed sum of seconds over a decayed sum of units.
type ratio struct {
	seconds float64
	units   float64 // not negative
}

func (r *ratio) add(seconds, units float64) {
	r.seconds += seconds
	r.units += units
}

func (r *ratio) decay(by float64) {
	r.seconds *= by
	r.units *= by
}

func (r *ratio) value(prior float64) float64 {
	if r.units <= 0 {
		return prior
	}
	return r.seconds / r.units
}

// Priors count only until the first answers are measured, and only for shares:
// a prior never refuses a job.
const (
	priorPrefill = 0.0002 // seconds a prompt token, an engine at 5,000 a second
	priorDecode  = 0.02   // seconds an output token, half of a 40 ms target
	priorPlain   = 0.02   // seconds a call of a plain service
)

// rates turns tokens into seconds of a slot, as measured.
type rates struct {
	prefill ratio
	decode  ratio
	plain   ratio
	answers float64 // decayed count
	first   margin
	whole   margin
	updated time.Time
}

func newRates(now time.Time) rates {
	return rates{first: 1, whole: 1, updated: now}
}

// margin is the factor on an estimate that all but lateShare of the jobs keep
// within. Work is sent as late as its target allows when the queue is long; by
// the mean alone half of it would be late.
type margin float64

func (m *margin) learn(measured, estimated float64) {
	if estimated <= 0 {
		return
	}
	if measured > float64(*m)*estimated {
		*m *= 1 + marginStep*(1-lateShare)
	} else {
		*m *= 1 - marginStep*lateShare
	}
	*m = min(max(*m, 1), maxMargin)
}

func (r *rates) observe(now time.Time, served carawayspread.JobResult) {
	if served.Took <= 0 {
		return
	}
	r.age(now)
	if r.answers >= enough {
		r.first.learn(served.FirstToken.Seconds(), r.firstSeconds(served.Cost))
		r.whole.learn(served.Took.Seconds(), r.work(served.Cost))
	}
	r.answers++
	if plain(served.Cost) {
		r.plain.add(served.Took.Seconds(), 1)
		return
	}
	r.prefill.add(served.FirstToken.Seconds(), float64(served.Cost.Prefill))
	r.decode.add((served.Took - served.FirstToken).Seconds(), float64(served.Cost.Decode))
}

func (r *rates) age(now time.Time) {
	by := math.Exp(-now.Sub(r.updated).Seconds() / memory.Seconds())
	r.updated = now
	r.answers *= by
	r.prefill.decay(by)
	r.decode.decay(by)
	r.plain.decay(by)
}

func plain(cost carawayspread.Cost) bool { return cost.Prefill == 0 && cost.Decode == 0 }

// work returns the seconds of a slot that the cost takes.
func (r *rates) work(cost carawayspread.Cost) float64 {
	if plain(cost) {
		return max(leastWork, r.plain.value(priorPlain))
	}
	decode := float64(cost.Decode) * r.decode.value(priorDecode)
	return max(leastWork, r.firstSeconds(cost)+decode)
}

func (r *rates) firstSeconds(cost carawayspread.Cost) float64 {
	return float64(cost.Prefill) * r.prefill.value(priorPrefill)
}

// latestSend returns the last moment at which the job may be sent to meet its
// target and its caller's deadline.
func (r *rates) latestSend(job *carawayspread.Job) time.Time {
	var first, whole time.Duration
	if r.answers >= enough {
		first = seconds(float64(r.first) * r.firstSeconds(job.Cost))
		whole = seconds(float64(r.whole) * r.work(job.Cost))
	}
	latest := job.Arrived.Add(patience)
	target := job.Class.Target()
	if target.FirstToken() > 0 {
		latest = earlier(latest, job.Arrived.Add(target.FirstToken()-first))
	}
	if target.Whole() > 0 {
		latest = earlier(latest, job.Arrived.Add(target.Whole()-whole))
	}
	if !job.Deadline.IsZero() {
		latest = earlier(latest, job.Deadline.Add(-whole))
	}
	return latest
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
