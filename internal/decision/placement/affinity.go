package placement

import (
	"time"

	"carawayspread"
)

// affinityMissPrice is the part of recomputePrice that a prefix costs at engines other than its
// affinity engine, if no engine is known to hold it.
//
// Processes that have just started, and two that receive the same prefix at the same time, know no
// engine that holds it. All of them choose the same one, so that several engines do not prefill it.
// A higher price would let queues grow at these engines.
const affinityMissPrice = 0.3

// affinityEngine returns the prefill engine for a prefix that no engine is known to hold: the
// eligible one with the highest rendezvous weight. All processes compute the same weights, and an
// engine that joins or leaves moves only its own prefixes.
func (pool *pool) affinityEngine(now time.Time, engines []*engine, req carawayspread.PlacementRequest, prefixHashes []uint64) *engine {
	if len(prefixHashes) < 2 {
		return nil
	}
	prefix := prefixHashes[len(prefixHashes)-2]
	var best *engine
	var highest uint64
	for _, e := range engines {
		if !e.prefillOnly() || !pool.eligible(now, e, req) {
			continue
		}
		if weight := rendezvousWeight(prefix, e.hash); best == nil || weight > highest {
			best, highest = e, weight
		}
	}
	return best
}

// rendezvousWeight hashes a prefix and an engine to a weight (the finalizer of splitmix64).
func rendezvousWeight(prefix uint64, engine uint32) uint64 {
	x := prefix ^ uint64(engine)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sharedTokens returns the tokens of a prompt that other prompts may share: all parts but the last.
func sharedTokens(prompt *carawayspread.Prompt) int {
	sum := 0
	for _, part := range prompt.Parts[:max(0, len(prompt.Parts)-1)] {
		sum += part.Tokens
	}
	return sum
}
