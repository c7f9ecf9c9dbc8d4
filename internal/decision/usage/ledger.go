// Package usage sums, over processes that join and leave, how many requests of each
// workspace began to run in each time window.
//
// Hundreds of processes count; some are killed in the middle of a window, and messages are
// lost, duplicated and late. Each process publishes cumulative counts under an identifier
// that it draws at random at its start, and of two counts the larger is the newer. Merging
// them in any order, any number of times, gives the same sums (a grow-only counter, a CRDT).
package usage

import (
	"maps"
	"slices"
	"sync"

	"carawayspread"
)

// processCounts holds the counts of one process in one window.
type processCounts struct {
	counts map[carawayspread.WorkspaceID]uint64
	closed bool
	total  uint64 // sum of all counts of the process; valid only if closed
}

func (s *processCounts) sum() uint64 {
	var sum uint64
	for _, n := range s.counts {
		sum += n
	}
	return sum
}

// complete reports whether all counts of the process have arrived.
func (s *processCounts) complete() bool { return s.closed && s.sum() >= s.total }

// Ledger holds the counts of this process and those published by others. It is safe for
// concurrent use.
type Ledger struct {
	own uint64

	mu      sync.Mutex
	windows map[int64]map[uint64]*processCounts // by window and process
	changed map[int64]map[carawayspread.WorkspaceID]bool
	names   map[carawayspread.WorkspaceID]string
	oldest  int64 // windows before it are dropped
}

// New returns a ledger for the process with that identifier.
func New(own uint64) *Ledger {
	return &Ledger{
		own: own, windows: map[int64]map[uint64]*processCounts{},
		changed: map[int64]map[carawayspread.WorkspaceID]bool{}, names: map[carawayspread.WorkspaceID]string{},
	}
}

// AddNames adds names of workspaces, which sums are keyed by.
func (l *Ledger) AddNames(names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range names {
		l.names[carawayspread.IDOfWorkspace(name)] = name
	}
}

// Count counts a request that began to run in this process. It returns false, and counts
// nothing, if the window was already dropped.
func (l *Ledger) Count(window int64, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window < l.oldest {
		return false
	}
	id := carawayspread.IDOfWorkspace(workspace)
	l.names[id] = workspace
	s := l.countsOf(window, l.own)
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

// Close closes this process's count of a window.
func (l *Ledger) Close(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window < l.oldest {
		return
	}
	if s := l.countsOf(window, l.own); !s.closed {
		s.closed, s.total = true, s.sum()
	}
}

// countsOf returns the counts of a process in a window and creates them if needed. It is
// called with mu held.
func (l *Ledger) countsOf(window int64, process uint64) *processCounts {
	byProcess := l.windows[window]
	if byProcess == nil {
		byProcess = map[uint64]*processCounts{}
		l.windows[window] = byProcess
	}
	if byProcess[process] == nil {
		byProcess[process] = &processCounts{counts: map[carawayspread.WorkspaceID]uint64{}}
	}
	return byProcess[process]
}

// Changes returns those cumulative counts of this process in a window that have changed
// since the last call.
func (l *Ledger) Changes(window int64) carawayspread.UsageStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	statement := carawayspread.UsageStatement{Process: l.own, Window: window}
	for id := range l.changed[window] {
		statement.Counts = append(statement.Counts, carawayspread.UsageCount{
			Workspace: id, Requests: l.countsOf(window, l.own).counts[id],
		})
	}
	delete(l.changed, window)
	return statement
}

// Own returns all counts of this process in a window.
func (l *Ledger) Own(window int64) carawayspread.UsageStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.countsOf(window, l.own)
	statement := carawayspread.UsageStatement{Process: l.own, Window: window, Closed: s.closed, Total: s.total}
	for id, n := range s.counts {
		statement.Counts = append(statement.Counts, carawayspread.UsageCount{Workspace: id, Requests: n})
	}
	return statement
}

// Merge adds the counts that a process published, and reports whether the process has closed
// the window and all its counts have arrived. It ignores windows already dropped and statements
// of this process, and returns true for them.
func (l *Ledger) Merge(statement carawayspread.UsageStatement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if statement.Window < l.oldest || statement.Process == l.own {
		return true
	}
	s := l.countsOf(statement.Window, statement.Process)
	for _, c := range statement.Counts {
		s.counts[c.Workspace] = max(s.counts[c.Workspace], c.Requests)
	}
	if statement.Closed {
		s.closed, s.total = true, max(s.total, statement.Total)
	}
	return s.complete()
}

// Known reports whether there are counts of any process for the window.
func (l *Ledger) Known(window int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.windows[window]) > 0
}

// Complete reports whether these processes and this one have closed the window and all their
// counts have arrived.
func (l *Ledger) Complete(window int64, processes []uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	byProcess := l.windows[window]
	return !slices.ContainsFunc(append(processes, l.own), func(process uint64) bool {
		return byProcess[process] == nil || !byProcess[process].complete()
	})
}

// Sum returns the requests of each workspace in the window, and apart from these the number
// of requests of workspaces whose names are not known.
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

// Named returns the counts by names of workspaces; ok is false if a name is not known.
func (l *Ledger) Named(counts []carawayspread.UsageCount) (named map[string]uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	named = map[string]uint64{}
	for _, c := range counts {
		name, known := l.names[c.Workspace]
		if !known {
			return nil, false
		}
		named[name] = c.Requests
	}
	return named, true
}

// Forget drops the windows before that one, and the names that no remaining window needs and
// that are not in force.
func (l *Ledger) Forget(before int64, inForce map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before <= l.oldest {
		return
	}
	l.oldest = before
	dropped := func(window int64) bool { return window < before }
	maps.DeleteFunc(l.windows, func(window int64, _ map[uint64]*processCounts) bool { return dropped(window) })
	maps.DeleteFunc(l.changed, func(window int64, _ map[carawayspread.WorkspaceID]bool) bool { return dropped(window) })
	needed := map[carawayspread.WorkspaceID]bool{}
	for _, byProcess := range l.windows {
		for _, s := range byProcess {
			for id := range s.counts {
				needed[id] = true
			}
		}
	}
	maps.DeleteFunc(l.names, func(id carawayspread.WorkspaceID, name string) bool { return !needed[id] && !inForce[name] })
}
