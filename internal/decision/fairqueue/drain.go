package fairqueue

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minBackloggedTime is the backlogged time after which the measured drain rate replaces the
	// number of slots.
	minBackloggedTime = 2 * time.Second
	// minDrainRate keeps predicted waits finite while no endpoint is known.
	minDrainRate = 0.1
	// minDrainFraction bounds how far a measurement can fall below the number of slots, so that the
	// scheduler recovers once a stall of the fleet ends.
	minDrainFraction = 0.1

	minRetryAfter = time.Second
	// maxRetryAfter makes refused callers retry within the time in which the request mix changes.
	maxRetryAfter = 2 * time.Minute
	// retryJitter is the relative width of the random part of Retry-After.
	retryJitter = 0.5
)

// drainMeter measures the work completed per second while jobs wait, and computes Retry-After for
// refused callers.
type drainMeter struct {
	slots      int
	completed  float64 // decayed work that was completed while others waited
	backlogged float64 // decayed seconds in which jobs waited
	// deferred is the work of refused callers that were told to retry and for which there has been
	// no capacity yet; not negative. It decreases at the drain rate.
	deferred float64
	updated  time.Time
}

func (d *drainMeter) advance(now time.Time, waiting bool) {
	passed := now.Sub(d.updated).Seconds()
	if passed <= 0 {
		return
	}
	d.updated = now
	by := math.Exp(-passed / decayTime.Seconds())
	d.completed *= by
	d.backlogged *= by
	if waiting {
		d.backlogged += passed
	}
	d.deferred = max(0, d.deferred-passed*d.rate())
}

func (d *drainMeter) ended(work float64, waiting bool) {
	if waiting {
		d.completed += work
	}
}

// rate returns the drain rate: seconds of slot work that leave the queue per second.
func (d *drainMeter) rate() float64 {
	slots := float64(d.slots)
	if d.backlogged < minBackloggedTime.Seconds() {
		return max(minDrainRate, slots)
	}
	measured := d.completed / d.backlogged
	return max(minDrainRate, slots*minDrainFraction, min(measured, slots))
}

// retryAfter returns after how long a refused caller may retry. Work refused before it counts as
// queued: with the same time for everyone, all callers would retry together and be refused again.
// The random part separates callers that other processes refuse at the same time.
func (d *drainMeter) retryAfter(excess time.Duration, work float64, random *rand.Rand) time.Duration {
	base := max(0, excess) + seconds(d.deferred/d.rate())
	d.deferred = min(d.deferred+work, d.rate()*maxRetryAfter.Seconds())
	base = min(base, seconds(maxRetryAfter.Seconds()*(1-retryJitter)))
	wait := minRetryAfter + time.Duration(float64(base)*(1-retryJitter/2+retryJitter*random.Float64()))
	wait += time.Duration(random.Int64N(int64(time.Second)))
	return min(wait, maxRetryAfter)
}
