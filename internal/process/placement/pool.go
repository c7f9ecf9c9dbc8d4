package placement

import (
	"slices"
	"time"

	"carawayspread"
)

// pool holds the endpoints of one service.
type pool struct {
	engines map[carawayspread.EndpointID]*engine
	ordered []*engine // by identifier
	ejector carawayspread.Ejector
	arrived int       // tokens to be read, here and at peers, since asked
	asked   time.Time // when roles were last asked for
}

// from returns the engines in an order that starts at a place which follows
// from the key: where several are as good, requests spread over them, and the
// same request finds the same one.
func (pool *pool) from(key uint64) func(yield func(*engine) bool) {
	return func(yield func(*engine) bool) {
		n := uint64(len(pool.ordered))
		for i := range n {
			if !yield(pool.ordered[(key%n+i)%n]) {
				return
			}
		}
	}
}

// teach gives the delay that was learnt of one engine to those of its kind of
// which nothing is known yet: they would look faster than they are, and get
// everything. Their pace is their own.
func (pool *pool) teach() {
	for _, pupil := range pool.ordered {
		if !pupil.learnt.IsZero() {
			continue
		}
		for _, e := range pool.ordered {
			if !e.learnt.IsZero() && e.reads() == pupil.reads() {
				pupil.delay = e.delay
				break
			}
		}
	}
}

// medianPace returns the middle pace of the engines of a kind.
func (pool *pool) medianPace(reads bool) float64 {
	var paces []float64
	for _, e := range pool.ordered {
		if e.reads() == reads && !e.learnt.IsZero() {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// open reports whether the engine may get the request.
func (pool *pool) open(now time.Time, e *engine, req carawayspread.Placing) bool {
	return !e.aside.After(now) && !e.endpoint.Leaving() && !req.Exclude[e.endpoint.ID()] && pool.ejector.Allowed(e.endpoint.ID())
}
