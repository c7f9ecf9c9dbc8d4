package fairqueue

import "time"

const (
	fineBuckets   = 64
	coarseBuckets = 64
	buckets       = fineBuckets * coarseBuckets
	// bucketWidth divides a target of one second into about 30 buckets and lets the ring cover two
	// minutes; work that may be sent later than that shares the last bucket.
	bucketWidth = 32 * time.Millisecond
)

// histogram sums the queued work by latest send time, in a ring of time buckets with two levels.
// Adding and querying take constant time.
type histogram struct {
	epoch  time.Time
	fine   [buckets]float64       // ring of time buckets; never below zero
	coarse [coarseBuckets]float64 // sums of fineBuckets neighbouring fine buckets each
}

// bucket returns the index of the bucket for work that must be sent by latest.
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

// until returns the work whose latest send time is in the given bucket or an earlier one.
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
