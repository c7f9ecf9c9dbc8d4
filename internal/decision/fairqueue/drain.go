package fairqueue

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minBackloggedTime is the backlogged time after which the measured drain rate
	// replaces the number of slots.
	minBackloggedTime = 2 * time.Second
	// minDrainRate keeps waits finite while no endpoint is known.
	minDrainRate = 0.1
	// minDrainFraction bounds how far a measurement can fall below the slots, so
	// that a stall of the fleet is forgotten once it ends.
	minDrainFraction = 0.1

	minRetryAfter = time.Second
	// maxRetryAfter keeps refused callers coming back within the time in
	// which the mix moves.
	maxRetryAfter = 2 * time.Minute
	// retryJitter is the relative width of the times that refused callers are told.
	retryJitter = 0.5
)

// drainMeter measures the work that leaves a backlog each second, and tells refused
// callers when to come back.
type drainMeter struct {
	slots      int
	completed  float64 // decayed work that ended while others waited
	backlogged float64 // decayed seconds in which jobs waited
	// deferred is the work of refused callers that was told to come back and
	// for which there was no time yet; not negative.
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

// rate returns the work that leaves the queue each second.
func (d *drainMeter) rate() float64 {
	slots := float64(d.slots)
	if d.backlogged < minBackloggedTime.Seconds() {
		return max(minDrainRate, slots)
	}
	measured := d.completed / d.backlogged
	return max(minDrainRate, slots*minDrainFraction, min(measured, slots))
}

// retryAfter returns when a refused caller may come back. Work that was
// refused before it is counted as queued, since told the same moment all would
// come back together and be refused again; the random part separates callers
// that other processes refuse at the same time.
func (d *drainMeter) retryAfter(excess time.Duration, work float64, random *rand.Rand) time.Duration {
	base := max(0, excess) + seconds(d.deferred/d.rate())
	d.deferred = min(d.deferred+work, d.rate()*maxRetryAfter.Seconds())
	base = min(base, seconds(maxRetryAfter.Seconds()*(1-retryJitter)))
	wait := minRetryAfter + time.Duration(float64(base)*(1-retryJitter/2+retryJitter*random.Float64()))
	wait += time.Duration(random.Int64N(int64(time.Second)))
	return min(wait, maxRetryAfter)
}
