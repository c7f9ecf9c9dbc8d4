package runmoves

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carawayspread"
)

const (
	// maxCopies bounds the moves of this process at one time, at all engines.
	maxCopies = 4
	// returnMargin is how long before an engine must get nothing more a run may still return to it.
	returnMargin = 300 * time.Millisecond
)

// departure is an engine that leaves.
type departure struct {
	ends      time.Time // it runs until then, at least
	lastReady time.Time // when it was last known not to leave
}

// Moves holds the runs of one process and the engines that leave. It is safe for concurrent use.
type Moves struct {
	clock  carawayspread.Clock
	notice time.Duration // for which an engine runs on after it has said that it leaves

	mu      sync.Mutex
	leaving map[carawayspread.EndpointID]*departure
	runs    map[carawayspread.EndpointID]map[*Run]struct{}
	late    map[*Run]struct{}                 // runs that do not end in time where they are
	moving  map[carawayspread.EndpointID]*Run // off each engine
}

// New returns Moves without runs. notice is how long engines run on after they have said that they leave.
func New(clock carawayspread.Clock, notice time.Duration) *Moves {
	return &Moves{
		clock: clock, notice: notice,
		leaving: map[carawayspread.EndpointID]*departure{}, runs: map[carawayspread.EndpointID]map[*Run]struct{}{},
		late: map[*Run]struct{}{}, moving: map[carawayspread.EndpointID]*Run{},
	}
}

// Leaves records that an engine leaves, which at lastReady it did not yet; zero if that is unknown.
func (m *Moves) Leaves(id carawayspread.EndpointID, lastReady time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaves(id, lastReady)
}

func (m *Moves) leaves(id carawayspread.EndpointID, lastReady time.Time) {
	if m.leaving[id] == nil {
		m.leaving[id] = &departure{ends: m.clock.Now().Add(m.notice), lastReady: lastReady}
	}
}

// SetListed replaces the list of engines, each with whether it takes requests. An engine that the list has
// dropped while something runs there leaves too. One that is back stays.
func (m *Moves) SetListed(ready map[carawayspread.EndpointID]bool, lastReady time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, isReady := range ready {
		if !isReady {
			m.leaves(id, lastReady)
		}
	}
	for id := range m.runs {
		if !ready[id] {
			m.leaves(id, lastReady)
		}
	}
	for id, d := range m.leaving {
		isReady, listed := ready[id]
		gone := !listed && len(m.runs[id]) == 0 && m.clock.Now().After(d.ends)
		if m.moving[id] == nil && (isReady || gone) {
			delete(m.leaving, id)
		}
	}
}

// MayReturn reports whether a run that has stopped at a leaving engine may still be sent back to it.
func (m *Moves) MayReturn(id carawayspread.EndpointID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.leaving[id]
	return d == nil || m.clock.Now().Before(d.lastReady.Add(m.notice-returnMargin))
}

// Take returns the runs whose moves begin now. Each has to be given to Release when its move has ended.
func (m *Moves) Take() []*Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var taken []*Run
	now := m.clock.Now()
	take := func(run *Run, ends time.Time) {
		m.moving[run.start.Engine] = run
		run.begin(ends)
		taken = append(taken, run)
	}
	for id, d := range m.leaving {
		if m.moving[id] != nil || len(m.moving) >= maxCopies {
			continue
		}
		if run := m.next(now, id, d); run != nil {
			take(run, d.ends)
		}
	}
	for run := range m.late {
		if m.moving[run.start.Engine] == nil && len(m.moving) < maxCopies && run.dueLate(now) {
			take(run, run.start.Deadline)
		}
	}
	return taken
}

// next returns the run of the engine that moves first: one that nobody can repeat before others, and among
// these the one of which most is lost.
func (m *Moves) next(now time.Time, id carawayspread.EndpointID, d *departure) *Run {
	var due []*Run
	for run := range m.runs[id] {
		if run.due(now, d.ends) {
			due = append(due, run)
		}
	}
	if len(due) == 0 {
		return nil
	}
	return slices.MinFunc(due, func(a, b *Run) int {
		if a.start.OnlyAttempt != b.start.OnlyAttempt {
			if a.start.OnlyAttempt {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.tokens(), a.tokens())
	})
}

// Began records a run from the first event of its answer on. End has to be called once.
func (m *Moves) Began(start Start) *Run {
	run := &Run{moves: m, start: start, firstEvent: m.clock.Now(), events: 1}
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := m.runs[start.Engine]
	if runs == nil {
		runs = map[*Run]struct{}{}
		m.runs[start.Engine] = runs
	}
	runs[run] = struct{}{}
	return run
}

// Release ends the move of a run with its last step, so that others may begin. After StepWait it returns the time
// until the run may move again; otherwise the run stays.
func (m *Moves) Release(run *Run, step Step) (again time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moving[run.start.Engine] == run {
		delete(m.moving, run.start.Engine)
	}
	if run.over = step != StepWait; run.over {
		return 0
	}
	again = roomPause << min(run.waits, maxDoublings)
	run.waits++
	run.notBefore = m.clock.Now().Add(again)
	return again
}

// Len returns the number of runs.
func (m *Moves) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, runs := range m.runs {
		n += len(runs)
	}
	return n
}
