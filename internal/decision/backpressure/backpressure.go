// Package backpressure keeps what endpoints say of themselves in their answers.
package backpressure

import (
	"sync"

	"carawayspread"
)

// Backpressure is one process's account of all endpoints. It is safe for concurrent use.
type Backpressure struct {
	mu     sync.Mutex
	states map[carawayspread.EndpointID]carawayspread.Feedback // none that says nothing
}

// New returns an account of endpoints that have said nothing.
func New() *Backpressure {
	return &Backpressure{states: map[carawayspread.EndpointID]carawayspread.Feedback{}}
}

// Answered takes what an answer of the endpoint says, and reports whether that differs
// from the answer before.
func (b *Backpressure) Answered(id carawayspread.EndpointID, f carawayspread.Feedback) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.states[id]
	if f == (carawayspread.Feedback{}) {
		delete(b.states, id)
	} else {
		b.states[id] = f
	}
	return f != before
}
