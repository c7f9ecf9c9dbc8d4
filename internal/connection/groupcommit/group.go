package groupcommit

import (
	"fmt"
	"slices"
	"sync/atomic"

	"carawayspread"
)

// Stages of an entry.
const (
	stageWaiting   int32 = iota
	stageTaken           // in flight or finished
	stageAbandoned       // its caller was cancelled before it was taken
)

// entry is one write that a caller waits for.
type entry struct {
	write carawayspread.Write
	stage atomic.Int32
	err   error         // set before done is closed
	done  chan struct{} // closed once the outcome is set
}

// abandon ends the wait of a caller that was cancelled. One atomic step, shared with take, decides
// whether the write is sent: otherwise the caller could be told "not written" and the write be sent
// a moment later.
func (e *entry) abandon(cause error) error {
	if e.stage.CompareAndSwap(stageWaiting, stageAbandoned) {
		return unavailable(cause)
	}
	return fmt.Errorf("outcome of the write is unknown: it was in flight: %w", cause)
}

// group is a set of writes with distinct keys.
type group struct {
	entries []*entry
	keys    map[carawayspread.Key]bool
	bytes   int           // size of all bodies
	full    chan struct{} // closed when the group accepts no further writes
}

func newGroup() *group {
	return &group{keys: map[carawayspread.Key]bool{}, full: make(chan struct{})}
}

func (g *group) has(key carawayspread.Key) bool { return g.keys[key] }

// isFull reports whether a transaction could not take another write.
func (g *group) isFull() bool { return len(g.entries) == maxGroup || g.bytes > maxBytes }

func (g *group) add(w carawayspread.Write) *entry {
	e := &entry{write: w, done: make(chan struct{})}
	g.entries = append(g.entries, e)
	g.keys[w.Item.Key] = true
	g.bytes += len(w.Item.Body)
	return e
}

// take returns the entries whose callers still wait. The group must be closed.
func (g *group) take() []*entry {
	taken := make([]*entry, 0, len(g.entries))
	for _, e := range g.entries {
		if e.stage.CompareAndSwap(stageWaiting, stageTaken) {
			taken = append(taken, e)
		}
	}
	return taken
}

func writesOf(entries []*entry) []carawayspread.Write {
	writes := make([]carawayspread.Write, len(entries))
	for i, e := range entries {
		writes[i] = e.write
	}
	return writes
}

func complete(entries []*entry, err error) {
	for _, e := range entries {
		e.err = err
		close(e.done)
	}
}

// dropFailed completes the entries whose conditions failed and returns the others.
func dropFailed(entries []*entry, condition *carawayspread.ConditionError) []*entry {
	rest := make([]*entry, 0, len(entries))
	for i, e := range entries {
		if !slices.Contains(condition.Failed, i) {
			rest = append(rest, e)
			continue
		}
		complete([]*entry{e}, &carawayspread.ConditionError{Failed: []int{0}})
	}
	return rest
}
