package rows

import (
	"maps"
	"slices"
)

// Copy is a snapshot of the contents of a store.
type Copy struct {
	rows    map[id]Row
	history []Row
	ver     int64
	oldest  int64
}

// Copy returns a snapshot of all rows and of the history.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), ver: s.ver, oldest: s.oldest}
}

// Restore restores the store from a copy: later writes are lost, their versions are assigned again,
// and responses show a new era. Feed calls that wait are woken and evaluated against the restored
// contents.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.ver, s.oldest = maps.Clone(c.rows), slices.Clone(c.history), c.ver, c.oldest
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEra sets the era that responses show; with zero they show none.
func (s *Store) SetEra(era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}
