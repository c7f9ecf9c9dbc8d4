package placement

import (
	"slices"

	"carawayspread"
)

const (
	// fewEngines is the size of a pool up to which every engine is weighed for every
	// request: a placement takes some 50 µs there.
	fewEngines = 128
	// drawnEngines is how many are weighed of a larger pool, spread evenly over it,
	// beside the homes of the request's beginning. Of so many some are as free as the
	// best of all, and different requests weigh different ones, so that processes
	// that have not heard of each other yet do not meet at the same engine.
	drawnEngines = 48
	// homes is how many engines may come to hold a beginning in a larger pool: the
	// first one and, while those have queues, the next.
	homes = 6
)

// candidates returns the engines that are weighed for a request, those of a small
// pool in their order.
//
// Load pattern: a fleet grows to a thousand engines. Without it each process looks at
// all of them for each prompt, half a millisecond, which is more than a small process
// may take at its share of the requests.
func (pool *pool) candidates(req carawayspread.PlacementRequest, chains []uint64) []*engine {
	n := len(pool.ordered)
	if n <= fewEngines {
		return pool.ordered
	}
	drawn := pool.drawn[:0]
	if len(chains) > 1 {
		drawn = pool.homesOf(chains[len(chains)-2], drawn)
	}
	start, step := req.Fingerprint%uint64(n), float64(n)/drawnEngines
	for i := range drawnEngines {
		e := pool.ordered[(start+uint64(float64(i)*step))%uint64(n)]
		if !slices.Contains(drawn[:min(homes, len(drawn))], e) {
			drawn = append(drawn, e)
		}
	}
	pool.drawn = drawn
	return drawn
}

// homesOf appends the readers that draw the highest numbers for a beginning, the
// highest first.
func (pool *pool) homesOf(beginning uint64, to []*engine) []*engine {
	var highest [homes]uint64
	for _, e := range pool.ordered {
		if !e.reads() {
			continue
		}
		d := draw(beginning, e.hash)
		if len(to) == homes && d <= highest[homes-1] {
			continue
		}
		at := 0
		for at < len(to) && highest[at] >= d {
			at++
		}
		if len(to) < homes {
			to = append(to, nil)
		}
		copy(to[at+1:], to[at:])
		copy(highest[at+1:], highest[at:])
		to[at], highest[at] = e, d
	}
	return to
}

// from returns engines in an order that starts at a place which follows from the
// key: where several are as good, requests spread over them, and the same request
// finds the same one.
func from(engines []*engine, key uint64) func(yield func(*engine) bool) {
	return func(yield func(*engine) bool) {
		n := uint64(len(engines))
		for i := range n {
			if !yield(engines[(key%n+i)%n]) {
				return
			}
		}
	}
}
