package hashrouter

import "sync/atomic"

const (
	// heatCounters keeps seven in eight counters at zero, so that few new prefixes look like ones
	// that were seen. The counters take 256 KB.
	heatCounters = 65536
	// heatWindow is the number of attempts after which all counts are halved.
	heatWindow = 8192
	// minHotCount is the count below which the frequency of a prefix is mostly chance.
	minHotCount = 8
)

// heat counts the attempts of this entry by prefix. Prefixes that share a counter look hotter than
// they are, which only lets their work overflow.
type heat struct {
	counts [heatCounters]atomic.Uint32
	total  atomic.Uint32
}

func (h *heat) add(prefix uint64) {
	h.counts[prefix%heatCounters].Add(1)
	if h.total.Add(1) == heatWindow {
		h.halve()
	}
}

// halve takes an amortised 16 steps for each counted attempt.
func (h *heat) halve() {
	for i := range h.counts {
		h.counts[i].Store(h.counts[i].Load() / 2)
	}
	h.total.Store(heatWindow / 2)
}

// seen reports whether the prefix was sent recently, so that it may be cached.
func (h *heat) seen(prefix uint64) bool { return h.counts[prefix%heatCounters].Load() > 0 }

// hot reports whether the prefix alone takes half the capacity of an endpoint when load is spread
// evenly over n endpoints.
func (h *heat) hot(prefix uint64, n int) bool {
	count := h.counts[prefix%heatCounters].Load()
	return count >= minHotCount && 2*int(count)*n > int(h.total.Load())
}

// budget is a token bucket that lets a fraction of the attempts overflow. It counts in thousandths
// of an attempt.
type budget struct{ left atomic.Int64 }

const (
	budgetUnit = 1000
	maxBudget  = 32 * budgetUnit
)

func (b *budget) credit(amount int64) {
	if b.left.Load() < maxBudget {
		b.left.Add(amount)
	}
}

func (b *budget) spend() bool {
	if b.left.Add(-budgetUnit) >= 0 {
		return true
	}
	b.left.Add(budgetUnit)
	return false
}
