// Package usage adds up, over processes that come and go, how many requests of each
// workspace began to run in each window of time.
//
// Load pattern: hundreds of processes count, some are killed in the middle of a window,
// messages are lost, repeated and late. Each process states cumulative figures under an
// identifier that it draws at its start; the larger of two statements is the newer, so
// that merging them in any order, any number of times, gives the same sums.
package usage

import (
	"maps"
	"slices"
	"sync"

	"carawayspread"
)

// share is what one process counted in one window.
type share struct {
	counts map[carawayspread.WorkspaceID]uint64
	closed bool
	total  uint64 // of all counts; meaningless unless closed
}

func (s *share) sum() uint64 {
	var sum uint64
	for _, n := range s.counts {
		sum += n
	}
	return sum
}

// whole reports whether all that the process counted is here.
func (s *share) whole() bool { return s.closed && s.sum() >= s.total }

// Ledger holds what this process counted and what others stated. It is safe for
// concurrent use.
type Ledger struct {
	own uint64

	mu      sync.Mutex
	windows map[int64]map[uint64]*share // by window and process
	changed map[int64]map[carawayspread.WorkspaceID]bool
	names   map[carawayspread.WorkspaceID]string
	oldest  int64 // windows before it are forgotten
}

// New returns a ledger for the process that drew that identifier.
func New(own uint64) *Ledger {
	return &Ledger{
		own: own, windows: map[int64]map[uint64]*share{},
		changed: map[int64]map[carawayspread.WorkspaceID]bool{}, names: map[carawayspread.WorkspaceID]string{},
	}
}

// Name makes the names of workspaces known, for sums.
func (l *Ledger) Name(names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range names {
		l.names[carawayspread.IDOfWorkspace(name)] = name
	}
}

// Count counts a request that began to run here. It reports whether the window was
// still kept.
func (l *Ledger) Count(window int64, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window < l.oldest {
		return false
	}
	id := carawayspread.IDOfWorkspace(workspace)
	l.names[id] = workspace
	s := l.share(window, l.own)
	s.counts[id]++
	if s.closed {
		s.total++
	}
	if l.changed[window] == nil {
		l.changed[window] = map[carawayspread.WorkspaceID]bool{}
	}
	l.changed[window][id] = true
	return true
}

// Close ends the own count of a window.
func (l *Ledger) Close(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window < l.oldest {
		return
	}
	if s := l.share(window, l.own); !s.closed {
		s.closed, s.total = true, s.sum()
	}
}

// share is called with mu held.
func (l *Ledger) share(window int64, process uint64) *share {
	of := l.windows[window]
	if of == nil {
		of = map[uint64]*share{}
		l.windows[window] = of
	}
	if of[process] == nil {
		of[process] = &share{counts: map[carawayspread.WorkspaceID]uint64{}}
	}
	return of[process]
}

// Changes returns what this process counted in a window since the last call, as
// cumulative figures.
func (l *Ledger) Changes(window int64) carawayspread.UsageStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	statement := carawayspread.UsageStatement{Process: l.own, Window: window}
	for id := range l.changed[window] {
		statement.Counts = append(statement.Counts, carawayspread.UsageCount{
			Workspace: id, Requests: l.share(window, l.own).counts[id],
		})
	}
	delete(l.changed, window)
	return statement
}

// Own returns all that this process counted in a window.
func (l *Ledger) Own(window int64) carawayspread.UsageStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(window, l.own)
	statement := carawayspread.UsageStatement{Process: l.own, Window: window, Closed: s.closed, Total: s.total}
	for id, n := range s.counts {
		statement.Counts = append(statement.Counts, carawayspread.UsageCount{Workspace: id, Requests: n})
	}
	return statement
}

// Merge takes what a process states, and reports whether all that it counted in a
// closed window is here now.
func (l *Ledger) Merge(statement carawayspread.UsageStatement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if statement.Window < l.oldest || statement.Process == l.own {
		return true
	}
	s := l.share(statement.Window, statement.Process)
	for _, c := range statement.Counts {
		s.counts[c.Workspace] = max(s.counts[c.Workspace], c.Requests)
	}
	if statement.Closed {
		s.closed, s.total = true, max(s.total, statement.Total)
	}
	return s.whole()
}

// Known reports whether any process has stated anything of the window.
func (l *Ledger) Known(window int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.windows[window]) > 0
}

// Complete reports whether all that these processes and this one counted in the window
// is here.
func (l *Ledger) Complete(window int64, processes []uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	of := l.windows[window]
	return !slices.ContainsFunc(append(processes, l.own), func(process uint64) bool {
		return of[process] == nil || !of[process].whole()
	})
}

// Sum returns the requests of each workspace in the window, and how many of them belong
// to workspaces whose names are not known.
func (l *Ledger) Sum(window int64) (counts map[string]uint64, unnamed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts = map[string]uint64{}
	for _, s := range l.windows[window] {
		for id, n := range s.counts {
			if name, known := l.names[id]; known {
				counts[name] += n
			} else {
				unnamed += n
			}
		}
	}
	return counts, unnamed
}

// Forget drops windows before that one, and names that no kept window needs and that
// are not among those in force.
func (l *Ledger) Forget(before int64, inForce map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before <= l.oldest {
		return
	}
	l.oldest = before
	old := func(window int64) bool { return window < before }
	maps.DeleteFunc(l.windows, func(window int64, _ map[uint64]*share) bool { return old(window) })
	maps.DeleteFunc(l.changed, func(window int64, _ map[carawayspread.WorkspaceID]bool) bool { return old(window) })
	needed := map[carawayspread.WorkspaceID]bool{}
	for _, of := range l.windows {
		for _, s := range of {
			for id := range s.counts {
				needed[id] = true
			}
		}
	}
	maps.DeleteFunc(l.names, func(id carawayspread.WorkspaceID, name string) bool { return !needed[id] && !inForce[name] })
}
