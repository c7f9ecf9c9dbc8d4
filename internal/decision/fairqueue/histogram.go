package fairqueue

import "time"

const (
	fineBuckets   = 64
	coarseBuckets = 64
	buckets       = fineBuckets * coarseBuckets
	// bucketWidth resolves a target of one second into 30 steps and lets the
	// ring look two minutes ahead; later work shares the last bucket.
	bucketWidth = 32 * time.Millisecond
)

// histogram sums the queued work by the moment at which it must be sent. Adding
// and asking take constant time.
type histogram struct {
	epoch  time.Time
	fine   [buckets]float64       // a ring over time; never below zero
	coarse [coarseBuckets]float64 // the sums of fineBuckets neighbours each
}

// bucket returns where work that must be sent by then belongs.
func (h *histogram) bucket(now, latest time.Time) int {
	offset := int(latest.Sub(now) / bucketWidth)
	return (h.firstBucket(now) + min(max(offset, 0), buckets-1)) % buckets
}

func (h *histogram) firstBucket(now time.Time) int {
	return int(now.Sub(h.epoch)/bucketWidth) % buckets
}

func (h *histogram) add(bucket int, work float64) {
	h.fine[bucket] = max(0, h.fine[bucket]+work)
	h.coarse[bucket/fineBuckets] = max(0, h.coarse[bucket/fineBuckets]+work)
}

// until returns the work that must be sent no later than that of the slot.
func (h *histogram) until(now time.Time, bucket int) float64 {
	at := h.firstBucket(now)
	left := (bucket-at+buckets)%buckets + 1
	sum := 0.0
	for left > 0 {
		step, work := 1, h.fine[at]
		if at%fineBuckets == 0 && left >= fineBuckets {
			step, work = fineBuckets, h.coarse[at/fineBuckets]
		}
		sum += work
		at = (at + step) % buckets
		left -= step
	}
	return sum
}
