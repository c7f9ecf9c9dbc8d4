// Package readers decides which processes read the platform's store for the
// others, and when a process reads for itself.
//
// Load pattern: hundreds of processes follow the same few rows. Without it each
// of them asks the store several times a second, so that calls grow with the
// fleet, while what they bring is the same.
//
// In each availability zone one process reads: the one of the largest instance
// among those that are heard and that the store answers. All draw it alike from
// what they hear; no message and no lease settles it. Readers of several zones take
// turns: what one has read is confirmed for the others as it says so. The rest learns
// from them, and from anyone who has learnt, how fresh the store confirmed what they
// hold. A wrong or old view of who reads costs calls and nothing else: whoever has
// heard of no confirmation for too long reads for itself.
package readers

import (
	"math/rand/v2"
	"sync"
	"time"

	"carawayspread"
)

const (
	// heardFor is how long a silent peer counts: three of its heartbeats, so that
	// two lost ones do not move who reads, and less than what may pass until a
	// change must be in force.
	heardFor = 1500 * time.Millisecond
	// failedFor is how long a process that the store did not answer leaves reading
	// to others. Where all others fail as well, each goes on by itself.
	failedFor = 5 * time.Second
	// everyPart and boundPart are parts of the time in which a leaving endpoint
	// must be known to all: a reader reads four times in it, which leaves room for
	// a slow answer and a lost one, and nobody goes on for longer than half of it
	// without a confirmation, which leaves half for its own call.
	everyPart = 0.25
	boundPart = 0.5
	// watchPart and watchBoundPart are the same for routes, of which a reader is
	// told as they change: the bound on one wait finds a connection that has fallen
	// silent.
	watchPart      = 0.5
	watchBoundPart = 0.75
	// spreadPart spreads the calls of processes whose reader died: they learnt from
	// the same message, and would call at the same moment.
	spreadPart = 0.25
	// everySpread and retrySpread are what pauses differ by, in parts of their mean:
	// processes that started together do not call together for ever.
	everySpread = 0.2
	retrySpread = 0.4
	// retryLeast, retryMost and retryEach space calls after a failed one, with the number
	// of processes of the zone: a store that comes back is noticed by one of them within a
	// quarter of a second, at four calls a second, and a zone of more than ten makes up to
	// ten.
	retryLeast = 250 * time.Millisecond
	retryMost  = 10 * retryLeast
	retryEach  = 100 * time.Millisecond
)

// Terms are what operators are promised.
type Terms struct {
	Leaving time.Duration // in which nothing more is sent to a leaving endpoint
	InForce time.Duration // in which a configuration is in force everywhere
}

// member is a process of the own zone.
type member struct {
	capacity uint32
	reads    bool
	heard    time.Time
}

// matter is how this process stands with one matter.
type matter struct {
	confirmed time.Time // as of when the store is known to have confirmed it; zero for never
	called    time.Time // when the last own call began
	failed    bool      // and it failed
	luck      float64   // from 0 to 1, drawn anew with each call
}

// Rota is one process's view. It is safe for concurrent use.
type Rota struct {
	id       uint64
	zone     string
	capacity uint32
	terms    Terms
	clock    carawayspread.Clock

	mu      sync.Mutex
	members map[uint64]member
	matters [carawayspread.ResourceCount]matter
	failed  time.Time // of the last call that failed with none answered since; zero for none
	retired bool
}

// New returns the view of the process with that identifier, which is drawn at
// its start.
func New(id uint64, zone string, capacity uint32, terms Terms, clock carawayspread.Clock) *Rota {
	return &Rota{id: id, zone: zone, capacity: capacity, terms: terms, clock: clock, members: map[uint64]member{}}
}

// Heard takes what a peer says of itself.
func (r *Rota) Heard(id uint64, s carawayspread.PeerStatus) {
	if s.Zone != r.zone || id == r.id {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[id] = member{capacity: s.Capacity, reads: s.CanReadStore, heard: r.clock.Now()}
}

// Retire leaves reading to others, as this process ends.
func (r *Rota) Retire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retired = true
}

// Able reports whether the store answers this process, as far as is known.
func (r *Rota) Able() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ableLocked(r.clock.Now())
}

func (r *Rota) ableLocked(now time.Time) bool {
	return !r.retired && (r.failed.IsZero() || now.Sub(r.failed) > failedFor)
}

// Reads reports whether this process reads for its zone.
func (r *Rota) Reads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readsLocked(r.clock.Now())
}

func (r *Rota) readsLocked(now time.Time) bool {
	if !r.ableLocked(now) {
		return false
	}
	for id, m := range r.members {
		if now.Sub(m.heard) > heardFor {
			delete(r.members, id)
			continue
		}
		if m.reads && (m.capacity > r.capacity || m.capacity == r.capacity && id < r.id) {
			return false
		}
	}
	return true
}

// Confirm takes note that the store confirmed what this process holds.
func (r *Rota) Confirm(of carawayspread.Resource, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmLocked(of, at)
}

func (r *Rota) confirmLocked(of carawayspread.Resource, at time.Time) {
	m := &r.matters[of]
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// Called takes note of an own call that began then and that the store answered
// or, with an error, did not. What the answer says holds as of the time given.
func (r *Rota) Called(of carawayspread.Resource, begun, asOf time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &r.matters[of]
	m.called, m.failed = begun, err != nil
	m.luck = rand.Float64()
	if err != nil {
		r.failed = r.clock.Now()
		m.called = r.failed
		return
	}
	r.failed = time.Time{}
	r.confirmLocked(of, asOf)
}

// Age returns for how long the store has not confirmed the matter; false where it
// never has.
func (r *Rota) Age(of carawayspread.Resource) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed := r.matters[of].confirmed
	return max(0, r.clock.Now().Sub(confirmed)), !confirmed.IsZero()
}

// Stale reports whether the matter was confirmed too long ago, or never.
func (r *Rota) Stale(of carawayspread.Resource) bool {
	age, ever := r.Age(of)
	return !ever || age > r.bound(of)
}

// Due returns in what time this process is to call the store by itself.
func (r *Rota) Due(of carawayspread.Resource) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	m := r.matters[of]
	due := m.confirmed.Add(part(1-spreadPart*m.luck, r.bound(of)))
	if r.readsLocked(now) {
		due = later(m.called, m.confirmed).Add(part(1+everySpread*(m.luck-0.5), r.every(of)))
	}
	if m.failed {
		if again := m.called.Add(part(1+retrySpread*(m.luck-0.5), r.retryLocked())); again.After(due) {
			due = again
		}
	}
	return max(0, due.Sub(now))
}

// Wait returns how long a reader's call for changes of routes may wait.
func (r *Rota) Wait() time.Duration { return part(watchPart, r.terms.InForce) }

func (r *Rota) retryLocked() time.Duration {
	n := time.Duration(len(r.members) + 1)
	return max(n*retryEach, min(n*retryLeast, retryMost))
}

// every returns the time between a reader's calls; routes are watched without a
// pause.
func (r *Rota) every(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return 0
	}
	return part(everyPart, r.terms.Leaving)
}

func (r *Rota) bound(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return part(watchBoundPart, r.terms.InForce)
	}
	return part(boundPart, r.terms.Leaving)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func part(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }
