package placement

import (
	"time"

	"carawayspread"
)

// homePrice is the part of againPrice that a beginning costs elsewhere than at its
// home, where no engine is known to hold it.
//
// Processes that have just started, and two that get the same prefix at once, know no
// engine that holds it. All of them name the same one, so that it is not prefilled by
// several. A higher price would let queues grow before these engines.
const homePrice = 0.3

// home returns the reader that keeps a beginning of which nothing is known: the one
// that draws the highest number for it. Each process draws the same, and another
// reader that comes or goes moves no beginning but its own.
func (pool *pool) home(now time.Time, engines []*engine, req carawayspread.PlacementRequest, chains []uint64) *engine {
	if len(chains) < 2 {
		return nil
	}
	beginning := chains[len(chains)-2]
	var best *engine
	var most uint64
	for _, e := range engines {
		if !e.reads() || !pool.open(now, e, req) {
			continue
		}
		if drawn := draw(beginning, e.hash); best == nil || drawn > most {
			best, most = e, drawn
		}
	}
	return best
}

// draw mixes two numbers (the finalizer of splitmix64).
func draw(beginning uint64, engine uint32) uint64 {
	x := beginning ^ uint64(engine)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// shared returns the tokens of a prompt that others may share.
func shared(prompt *carawayspread.Prompt) int {
	sum := 0
	for _, part := range prompt.Parts[:max(0, len(prompt.Parts)-1)] {
		sum += part.Tokens
	}
	return sum
}
