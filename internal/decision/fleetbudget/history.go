package fleetbudget

import "time"

const (
	// buckets is the number of buckets in a window, and half that in half a window.
	buckets = 40
	half    = buckets / 2
	// ahead is how many buckets later than now a retry may be recorded.
	ahead = buckets / 4
	// kept is the number of buckets that are kept: a window, the half of one before it, and those ahead.
	kept = buckets + half + ahead + 1
)

// bucket counts what happened in one interval.
type bucket struct {
	number   int64
	requests int
	// delayed are requests that were read in the interval and may have been sent since the one numbered
	// delayedSince.
	delayed      int
	delayedSince int64
	retries      int // that arrived, or that can have arrived last
}

// history holds the requests and retries of a window and a half.
type history struct {
	interval time.Duration // of a bucket
	buckets  [kept]bucket
}

// number returns the number of the bucket of a time, large enough that those before it are positive.
func (h *history) number(at time.Time) int64 { return at.UnixNano()/int64(h.interval) + kept }

// end returns when a bucket ends.
func (h *history) end(number int64) time.Time {
	return time.Unix(0, (number+1-kept)*int64(h.interval))
}

// at returns the bucket with that number, cleared if it held an older one.
func (h *history) at(number int64) *bucket {
	b := &h.buckets[number%kept]
	if b.number < number {
		*b = bucket{number: number}
	}
	return b
}

func (h *history) addRequest(now, since time.Time) {
	b, earliest := h.at(h.number(now)), h.number(since)
	if earliest >= b.number {
		b.requests++
		return
	}
	if b.delayed == 0 || earliest < b.delayedSince {
		b.delayedSince = earliest
	}
	b.delayed++
}

// addRetry counts a retry that arrives within that time, and returns the number of its bucket.
func (h *history) addRetry(now time.Time, within time.Duration) int64 {
	number := min(h.number(now.Add(within)), h.number(now)+ahead)
	h.at(number).retries++
	return number
}

func (h *history) removeRetry(number int64) {
	if b := h.at(number); b.number == number {
		b.retries--
	}
}

// recentRequests returns the requests in the window that ends now.
func (h *history) recentRequests(now time.Time) int {
	last := h.number(now)
	return h.upTo(last).between(last-buckets, last)
}

// totals holds the requests up to each bucket of a window and a half.
type totals struct {
	last    int64 // number of the last bucket
	before  [buckets + half + 1]int
	delayed []bucket // with delayed requests, which are not in before
}

// upTo returns the totals up to the bucket with that number.
func (h *history) upTo(last int64) *totals {
	t, sum := &totals{last: last}, 0
	for i := range t.before {
		number := last - int64(len(t.before)-1-i)
		if b := h.buckets[number%kept]; b.number == number {
			sum += b.requests
			if b.delayed > 0 {
				t.delayed = append(t.delayed, b)
			}
		}
		t.before[i] = sum
	}
	return t
}

// between returns the requests that were sent in the buckets from first to last in any case.
func (t *totals) between(first, last int64) int {
	if first > last {
		return 0
	}
	n := t.total(last) - t.total(first-1)
	for _, b := range t.delayed {
		if b.delayedSince >= first && b.number <= last {
			n += b.delayed
		}
	}
	return n
}

func (t *totals) total(number int64) int {
	if i := number - t.last + int64(len(t.before)) - 1; i >= 0 {
		return t.before[i]
	}
	return 0
}

func (h *history) retries(number int64) int {
	if b := &h.buckets[number%kept]; b.number == number {
		return b.retries
	}
	return 0
}
