// Package rejections remembers API keys that no workspace held when the platform's
// store was asked.
//
// Load pattern: connected callers go on with a key that was taken away. Without it each
// of their requests asks the store, or is refused as one that could not be asked for.
package rejections

import (
	"sync"

	"carawayspread"
)

// most bounds how many keys are remembered; a newer one takes the place of any.
const most = 1024

// Rejections is one process's memory. It is safe for concurrent use.
type Rejections struct {
	mu   sync.Mutex
	keys map[carawayspread.KeyDigest]bool
}

// New returns an empty memory.
func New() *Rejections { return &Rejections{keys: map[carawayspread.KeyDigest]bool{}} }

// Add notes that nobody held the key.
func (r *Rejections) Add(key carawayspread.KeyDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other := range r.keys {
		if len(r.keys) < most {
			break
		}
		delete(r.keys, other)
	}
	r.keys[key] = true
}

// Holds reports whether nobody held the key when it was asked for.
func (r *Rejections) Holds(key carawayspread.KeyDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}
