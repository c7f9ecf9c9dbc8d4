package carawayspread

import (
	"fmt"
	"sort"
	"sync"
)

// Registry maps names to implementations of one interface.
//
// A Registry is filled during package initialisation and only read afterwards. It is safe for
// concurrent use.
type Registry[T any] struct {
	mu       sync.RWMutex
	entries  map[string]T
	fallback string // name of the default entry; need not be registered yet
}

// NewRegistry returns an empty registry whose Get returns the entry named fallback for unknown
// names.
func NewRegistry[T any](fallback string) *Registry[T] {
	return &Registry[T]{entries: map[string]T{}, fallback: fallback}
}

// Register adds an entry and returns it. It panics if the name is taken, which is a programming
// error.
func (r *Registry[T]) Register(name string, entry T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.entries[name]; taken {
		panic(fmt.Sprintf("carawayspread: %q registered twice", name))
	}
	r.entries[name] = entry
	return entry
}

// Get returns the entry with that name, or the fallback. The second result reports whether the name
// is registered.
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
