package fairqueue

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// decayTime is the time constant with which measurements decay: long enough to hold some
	// hundred answers of a small fleet, short compared with the minutes in which the request mix
	// changes.
	decayTime = 30 * time.Second
	// minAnswers is the decayed number of answers below which an estimate refuses no job.
	minAnswers = 8
	// lateFraction is the fraction of jobs that may take longer than estimated. It follows the
	// customary target of 95 in 100.
	lateFraction = 0.05
	// marginStep moves the margin by a twentieth for each job that exceeds its estimate, so that
	// the margin settles within about a hundred answers.
	marginStep = 0.05
	maxMargin  = 4.0
	// minWork is the least work charged for a job, so that empty jobs are not free.
	minWork = 0.001
)

// ratio is a decayed sum of seconds divided by a decayed sum of units.
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

// The priors are used only until the first answers are measured, and only for fair shares: a prior
// never refuses a job.
const (
	priorPrefill = 0.0002 // seconds per prompt token; an engine that prefills 5,000 tokens a second
	priorDecode  = 0.02   // seconds per output token; half of a 40 ms inter-token latency target
	priorPlain   = 0.02   // seconds per call of a plain service
)

// rates converts tokens into seconds of a slot, as measured.
type rates struct {
	prefill     ratio
	decode      ratio
	plain       ratio
	answers     float64 // decayed count
	firstMargin margin
	wholeMargin margin
	updated     time.Time
}

func newRates(now time.Time) rates {
	return rates{firstMargin: 1, wholeMargin: 1, updated: now}
}

// margin is the factor on an estimate that all but lateFraction of the jobs stay within. When the
// queue is long, work is sent as late as its target allows, so with the mean estimate alone half of
// it would be late.
type margin float64

func (m *margin) update(measured, estimated float64) {
	if estimated <= 0 {
		return
	}
	if measured > float64(*m)*estimated {
		*m *= 1 + marginStep*(1-lateFraction)
	} else {
		*m *= 1 - marginStep*lateFraction
	}
	*m = min(max(*m, 1), maxMargin)
}

func (r *rates) observe(now time.Time, result carawayspread.JobResult) {
	if result.Took <= 0 {
		return
	}
	r.decay(now)
	if r.answers >= minAnswers {
		r.firstMargin.update(result.FirstToken.Seconds(), r.firstTokenSeconds(result.Cost))
		r.wholeMargin.update(result.Took.Seconds(), r.work(result.Cost))
	}
	r.answers++
	if plain(result.Cost) {
		r.plain.add(result.Took.Seconds(), 1)
		return
	}
	r.prefill.add(result.FirstToken.Seconds(), float64(result.Cost.Prefill))
	r.decode.add((result.Took - result.FirstToken).Seconds(), float64(result.Cost.Decode))
}

func (r *rates) decay(now time.Time) {
	by := math.Exp(-now.Sub(r.updated).Seconds() / decayTime.Seconds())
	r.updated = now
	r.answers *= by
	r.prefill.decay(by)
	r.decode.decay(by)
	r.plain.decay(by)
}

func plain(cost carawayspread.Cost) bool { return cost.Prefill == 0 && cost.Decode == 0 }

// work returns the estimated seconds of a slot for the cost.
func (r *rates) work(cost carawayspread.Cost) float64 {
	if plain(cost) {
		return max(minWork, r.plain.value(priorPlain))
	}
	decode := float64(cost.Decode) * r.decode.value(priorDecode)
	return max(minWork, r.firstTokenSeconds(cost)+decode)
}

func (r *rates) firstTokenSeconds(cost carawayspread.Cost) float64 {
	return float64(cost.Prefill) * r.prefill.value(priorPrefill)
}

// latestSend returns the latest time at which the job may be sent to meet its target and its
// caller's deadline.
func (r *rates) latestSend(job *carawayspread.Job) time.Time {
	var first, whole time.Duration
	if r.answers >= minAnswers {
		first = seconds(float64(r.firstMargin) * r.firstTokenSeconds(job.Cost))
		whole = seconds(float64(r.wholeMargin) * r.work(job.Cost))
	}
	latest := job.Arrived.Add(maxQueueWait)
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
