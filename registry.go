package carawayspread

import (
	"fmt"
	"sort"
	"sync"
)

// Registry finds implementations of one interface by name.
//
// A Registry is filled by package initialisation and read afterwards; it is
// safe for concurrent use.
type Registry[T any] struct {
	mu       sync.RWMutex
	entries  map[string]T
	fallback string // names an entry once that entry is registered
}

// NewRegistry returns an empty registry whose Get answers with the entry named
// fallback when it does not know the name asked for.
func NewRegistry[T any](fallback string) *Registry[T] {
	return &Registry[T]{entries: map[string]T{}, fallback: fallback}
}

// Register adds an entry. It panics when the name is taken, which is a
// programmer's error.
func (r *Registry[T]) Register(name string, entry T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.entries[name]; taken {
		panic(fmt.Sprintf("carawayspread: %q registered twice", name))
	}
	r.entries[name] = entry
	return entry
}

// Get returns the entry with that name, or the fallback. The second result
// says whether the name itself was known.
func (r *Registry[T]) Get(name string) (T, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if entry, ok := r.entries[name]; ok {
		return entry, true
	}
	return r.entries[r.fallback], false
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
