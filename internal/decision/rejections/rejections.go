// Package rejections is a negative cache of API keys that no workspace held when the
// platform's store was queried.
//
// Connected callers may keep using a key that was revoked. Without the cache each of their
// requests would query the store, or be refused as one whose key could not be checked.
package rejections

import (
	"sync"

	"carawayspread"
)

// maxKeys bounds the cached keys; a new key evicts an arbitrary one.
const maxKeys = 1024

// Rejections is the cache of one process. It is safe for concurrent use.
type Rejections struct {
	mu   sync.Mutex
	keys map[carawayspread.KeyDigest]bool
}

// New returns an empty cache.
func New() *Rejections { return &Rejections{keys: map[carawayspread.KeyDigest]bool{}} }

// Add records that no workspace held the key.
func (r *Rejections) Add(key carawayspread.KeyDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other := range r.keys {
		if len(r.keys) < maxKeys {
			break
		}
		delete(r.keys, other)
	}
	r.keys[key] = true
}

// Contains reports whether the key is cached.
func (r *Rejections) Contains(key carawayspread.KeyDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}
