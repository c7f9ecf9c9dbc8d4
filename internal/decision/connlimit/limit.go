// Package connlimit decides which new connections a process accepts when its processor cannot keep up.
//
// A load balancer may send most new connections of a zone to one process. What it reads it must serve, and
// with a processor that is behind, it serves nothing in time. A connection that is closed before its request
// was read costs little: its caller tries another process at once.
//
// One measure is how late timers fire, as each step of a request waits as long. The share of accepted
// connections falls fast while they are late, and rises slowly otherwise. Without it, requests queue in the
// process until their callers give up.
//
// The other is the memory that the process uses, what it holds for callers that read slowly included. A process
// over the memory that it is granted is killed with all its requests, so it takes less before that. Garbage does
// not count as long as the collector keeps up with it: a process whose requests take the memory that they may take
// is at the collector's limit all the time, and would turn away callers that did not fill it.
package connlimit

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two timers that are observed.
	Interval = 100 * time.Millisecond
	// lateInARow is how many timers in a row must be late before connections are shed, and lateSum how late they
	// must be together, as a multiple of the limit. Less shows a start, a pause, or a long list that is read.
	lateInARow = 2
	lateSum    = 10
	// The share of accepted connections falls with each late timer in the ratio of its lateness to the limit,
	// within these bounds, and rises by increase with each other one: from nothing to all in 2 s.
	minDecrease = 0.1
	maxDecrease = 0.9
	increase    = 0.05
	minShare    = 0.05
	// reconnectEvery is one of how many answers asks its caller to reconnect, so that connections which are
	// kept open spread as well.
	reconnectEvery = 4
	// Of the memory granted, new connections are accepted in full while no more than usualMemory is in use and
	// no more than usualTotal is taken with garbage, and not at all from fullMemory on. The garbage collector keeps
	// the total near usualMemory while less is in use; beyond usualTotal it does not keep up, and what the kernel
	// may have received does not fit beside it. The rest is for what runs.
	usualMemory = 0.7
	usualTotal  = 0.8
	fullMemory  = 0.85
)

// Limit is the decision of one process. It is safe for concurrent use.
type Limit struct {
	maxOpen     int
	maxLateness time.Duration // zero if lateness is not considered

	mu      sync.Mutex
	late    int           // timers in a row that were late
	lateBy  time.Duration // how late these were together
	share   float64       // of new connections that are accepted; from minShare to 1
	memory  float64       // share of new connections that the memory allows; from 0 to 1
	credit  float64       // of accepted connections; below 1
	answers int           // while the share is below 1
}

// New returns a limit that accepts all connections, up to maxOpen at a time, while timers are not later than
// maxLateness; zero does not consider them. A request waits for the processor about ten times, so that a tenth
// of the shortest target is a good choice.
func New(maxOpen int, maxLateness time.Duration) *Limit {
	return &Limit{maxOpen: maxOpen, maxLateness: maxLateness, share: 1, memory: 1}
}

// Fired records how late a timer fired, and returns the share of connections that are accepted.
func (l *Limit) Fired(late time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxLateness == 0 || late <= l.maxLateness {
		l.late, l.lateBy, l.share = 0, 0, min(1, l.share+increase)
		return l.share
	}
	l.late++
	l.lateBy += late
	if l.late >= lateInARow && l.lateBy >= lateSum*l.maxLateness || l.share < 1 {
		ratio := float64(l.maxLateness) / float64(late)
		l.share = max(minShare, l.share*min(maxDecrease, max(minDecrease, ratio)))
	}
	return l.share
}

// UseMemory records which parts of the granted memory are in use and taken with garbage, and returns the share of
// connections that they allow.
func (l *Limit) UseMemory(inUse, total float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory = min(memoryShare(inUse, usualMemory), memoryShare(total, usualTotal))
	return l.memory
}

// memoryShare falls from all at the usual part to nothing at fullMemory.
func memoryShare(part, usual float64) float64 {
	return min(1, max(0, (fullMemory-part)/(fullMemory-usual)))
}

// Accept reports whether a new connection is accepted while that many are open.
func (l *Limit) Accept(open int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open >= l.maxOpen {
		return false
	}
	if l.credit += min(l.share, l.memory); l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Reconnect reports whether an answer asks its caller to use another connection.
func (l *Limit) Reconnect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if min(l.share, l.memory) == 1 {
		return false
	}
	l.answers++
	return l.answers%reconnectEvery == 0
}
