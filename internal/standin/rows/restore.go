package rows

import (
	"maps"
	"slices"
)

// Copy is the contents of a store at one moment.
type Copy struct {
	rows    map[id]Row
	history []Row
	ver     int64
	oldest  int64
}

// Copy takes a copy of all rows and of the history.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), ver: s.ver, oldest: s.oldest}
}

// Restore has the store come back from a copy: what was written since is gone, its
// versions are given out again, and its answers show another era. Calls that wait are
// ended as by an outage.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.ver, s.oldest = maps.Clone(c.rows), slices.Clone(c.history), c.ver, c.oldest
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEra has the answers show that era; none for zero.
func (s *Store) SetEra(era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}
