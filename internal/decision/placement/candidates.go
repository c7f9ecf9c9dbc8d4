package placement

import (
	"slices"

	"carawayspread"
)

const (
	// fullScanEngines is the largest pool of which every engine is scored for every request; a
	// placement takes some 50 µs there.
	fullScanEngines = 128
	// sampledEngines is how many engines of a larger pool are scored, spread evenly over the pool,
	// in addition to the affinity engines of the prompt's prefix. A sample of this size contains
	// engines that are as free as the best of the pool, and different requests sample different
	// engines, so that processes that have not received each other's load updates yet do not choose
	// the same engine.
	sampledEngines = 48
	// affinityEngineCount is how many engines may come to hold a prefix in a larger pool: the first
	// one and, while earlier ones have queues, the next.
	affinityEngineCount = 6
)

// candidates returns the engines that are scored for a request. For a small pool these are all
// engines, in the pool's order.
//
// In a fleet of a thousand engines, scoring all of them would take half a millisecond for each
// prompt, more than a small process can spend at its share of the requests.
func (pool *pool) candidates(req carawayspread.PlacementRequest, prefixHashes []uint64) []*engine {
	n := len(pool.ordered)
	if n <= fullScanEngines {
		return pool.ordered
	}
	sampled := pool.candidateBuffer[:0]
	if len(prefixHashes) > 1 {
		sampled = pool.affinityEngines(prefixHashes[len(prefixHashes)-2], sampled)
	}
	start, step := req.Fingerprint%uint64(n), float64(n)/sampledEngines
	for i := range sampledEngines {
		e := pool.ordered[(start+uint64(float64(i)*step))%uint64(n)]
		if !slices.Contains(sampled[:min(affinityEngineCount, len(sampled))], e) {
			sampled = append(sampled, e)
		}
	}
	pool.candidateBuffer = sampled
	return sampled
}

// affinityEngines appends the prefill engines with the highest rendezvous weights for a prefix, the
// highest first.
func (pool *pool) affinityEngines(prefix uint64, dst []*engine) []*engine {
	var highest [affinityEngineCount]uint64
	for _, e := range pool.ordered {
		if !e.prefillOnly() {
			continue
		}
		weight := rendezvousWeight(prefix, e.hash)
		if len(dst) == affinityEngineCount && weight <= highest[affinityEngineCount-1] {
			continue
		}
		at := 0
		for at < len(dst) && highest[at] >= weight {
			at++
		}
		if len(dst) < affinityEngineCount {
			dst = append(dst, nil)
		}
		copy(dst[at+1:], dst[at:])
		copy(highest[at+1:], highest[at:])
		dst[at], highest[at] = e, weight
	}
	return dst
}

// rotated returns the engines in an order that starts at an index derived from the key. Requests
// spread over engines of equal cost, and the same request finds the same engine again.
func rotated(engines []*engine, key uint64) func(yield func(*engine) bool) {
	return func(yield func(*engine) bool) {
		n := uint64(len(engines))
		for i := range n {
			if !yield(engines[(key%n+i)%n]) {
				return
			}
		}
	}
}
