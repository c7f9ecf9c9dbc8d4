package retrybudget

import (
	"sync"

	"carawayspread"
)

// Reserve fills the budgets of one process, once it may start with full ones. It is safe for concurrent use.
type Reserve struct {
	mu      sync.Mutex
	granted bool
	waiting []*Budget // empty ones, until the reserve is granted
}

// Budget returns a new budget, which is full if the reserve has been granted.
func (r *Reserve) Budget(clock carawayspread.Clock) *Budget {
	b := New(clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.granted {
		b.credit(maxBalance)
	} else {
		r.waiting = append(r.waiting, b)
	}
	return b
}

// Grant fills all budgets.
func (r *Reserve) Grant() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.waiting {
		b.credit(maxBalance)
	}
	r.granted, r.waiting = true, nil
}
