package rolepolicy

import (
	"math"
	"time"
)

const (
	// shortTimeConstant and longTimeConstant are the time constants of the two moving averages. The
	// short one spans a few plans, so that a burst of a few seconds does not look like a shift; the
	// long one clearly lags a swing of minutes.
	shortTimeConstant = 10 * time.Second
	longTimeConstant  = 60 * time.Second
	// resetAfter is the gap between observations after which the averages are reset: they would
	// compare the current load with that of another time.
	resetAfter = time.Minute
	// deadBand is the difference of the prefill shares from which on it counts as a swing; random
	// arrivals stay below.
	deadBand = 0.06
	// initialPersistence is assumed until swings have been observed.
	initialPersistence = 2 * time.Minute
	maxPersistence     = 10 * time.Minute
	minPersistence     = 5 * time.Second
)

// forecast tracks the load by a short and a long moving average, and the time that the mix lasts
// between two swings.
type forecast struct {
	short, long load
	first, last time.Time
	side        float64       // sign of the last swing beyond deadBand; zero before any
	swungAt     time.Time     // when the mix last swung to the other side
	meanSwing   time.Duration // moving average of the time between swings
}

// observe adds the load measured at a time later than the last one, and returns the time since
// then; zero when the averages are reset.
func (f *forecast) observe(at time.Time, l load) time.Duration {
	if f.last.IsZero() || at.Sub(f.last) > resetAfter {
		*f = forecast{short: l, long: l, first: at, last: at, swungAt: at, meanSwing: initialPersistence}
		return 0
	}
	dt := at.Sub(f.last)
	f.short = blend(f.short, l, dt, shortTimeConstant)
	f.long = blend(f.long, l, dt, longTimeConstant)
	f.last = at
	f.trackSwings(at)
	return dt
}

// trackSwings records when the short average crosses the long one.
func (f *forecast) trackSwings(at time.Time) {
	difference := f.short.prefillShare() - f.long.prefillShare()
	if math.Abs(difference) < deadBand {
		return
	}
	side := math.Copysign(1, difference)
	if f.side != 0 && side != f.side {
		f.meanSwing = (f.meanSwing + at.Sub(f.swungAt)) / 2
		f.swungAt = at
	}
	if f.side == 0 {
		f.swungAt = at
	}
	f.side = side
}

// warmedUp reports whether the averages cover enough time to be compared.
func (f *forecast) warmedUp() bool { return f.last.Sub(f.first) >= shortTimeConstant }

// persistence returns how long the mix is expected to stay on this side.
//
// A change late in a swing saves little. For a swing that has lasted longer than usual, a quarter
// of the usual time is assumed to remain.
func (f *forecast) persistence(now time.Time) time.Duration {
	usual := min(maxPersistence, f.meanSwing)
	return max(minPersistence, usual/4, usual-now.Sub(f.swungAt))
}

// extrapolate extends the trend by d, by no more than the averages already differ.
func (f *forecast) extrapolate(d time.Duration) load {
	factor := math.Min(1, d.Seconds()/(longTimeConstant-shortTimeConstant).Seconds())
	return f.long.combine(-factor, f.short, 1+factor)
}

func blend(old, now load, dt, timeConstant time.Duration) load {
	weight := math.Exp(-dt.Seconds() / timeConstant.Seconds())
	return old.combine(weight, now, 1-weight)
}
