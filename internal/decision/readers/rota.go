// Package readers elects the process of each availability zone that reads the platform's
// store for the others, and decides when a process reads for itself.
//
// Hundreds of processes follow the same few rows. Without the election each of them would
// query the store several times a second: calls would grow with the fleet, while all of
// them return the same.
//
// The reader of a zone is the process of the largest instance among those whose heartbeats
// arrive and whose calls the store answers. All processes compute it from the heartbeats
// that they receive, without votes or a lease. Readers of different zones share the calls:
// what one has read and announced counts as confirmed for the others. The other processes
// learn by gossip, from the readers and from each other, when the store last confirmed what
// they hold. A wrong or outdated view of the reader costs calls to the store and nothing
// else: a process that has learnt of no confirmation for too long reads for itself.
package readers

import (
	"math/rand/v2"
	"sync"
	"time"

	"carawayspread"
)

const (
	// peerTimeout is how long after its last heartbeat a peer counts as live: three
	// heartbeat intervals, so that two lost heartbeats do not change the reader, and less
	// than the time in which a change must be in force.
	peerTimeout = 1500 * time.Millisecond
	// failureCooldown is how long a process whose call the store did not answer leaves
	// reading to others. If all others fail as well, each continues by itself.
	failureCooldown = 5 * time.Second
	// pollFraction and maxAgeFraction are fractions of the time in which all processes must
	// know that an endpoint is leaving: a reader reads four times in it, which leaves room
	// for a slow response and a lost one, and no process continues without a confirmation
	// for longer than half of it, which leaves the other half for its own call.
	pollFraction   = 0.25
	maxAgeFraction = 0.5
	// watchFraction and watchMaxAgeFraction are the same for routes, which a reader watches
	// for changes: the timeout of one watch detects a connection that is silently lost.
	watchFraction       = 0.5
	watchMaxAgeFraction = 0.75
	// takeoverJitter spreads the calls of processes whose reader died: they got its last
	// confirmation in the same message and would otherwise call at the same moment.
	takeoverJitter = 0.25
	// pollJitter and retryJitter are the widths of the jitter of intervals, as fractions of
	// their mean, so that processes that started together do not keep calling together.
	pollJitter  = 0.2
	retryJitter = 0.4
	// minRetryInterval, maxRetryInterval and retryPerProcess space the calls after a failed
	// one by the number of processes of the zone: one of them detects the recovery of the
	// store within a quarter of a second, at four calls per second, and a zone of more than
	// ten processes makes up to ten calls per second.
	minRetryInterval = 250 * time.Millisecond
	maxRetryInterval = 10 * minRetryInterval
	retryPerProcess  = 100 * time.Millisecond
)

// Terms are the bounds that operators are guaranteed.
type Terms struct {
	Leaving time.Duration // after which nothing more is sent to a leaving endpoint
	InForce time.Duration // after which a configuration is in force in all processes
}

// member is another process of this zone.
type member struct {
	capacity uint32
	canRead  bool
	lastSeen time.Time // of its last heartbeat
}

// matter is how this process stands with one matter.
type matter struct {
	confirmed time.Time // when the store last confirmed it, as far as is known; zero for never
	called    time.Time // start of this process's last call, or its end if it failed
	failed    bool      // whether that call failed
	random    float64   // in [0, 1), for the jitter; drawn with each call
}

// Rota is one process's view of the election and of the age of its data. It is safe for
// concurrent use.
type Rota struct {
	id       uint64
	zone     string
	capacity uint32
	terms    Terms
	clock    carawayspread.Clock

	mu       sync.Mutex
	members  map[uint64]member
	matters  [carawayspread.ResourceCount]matter
	failed   time.Time // of the last failed call; zero if none failed since the last answered one
	resigned bool
}

// New returns the view of the process with that identifier, which is drawn at random at its
// start.
func New(id uint64, zone string, capacity uint32, terms Terms, clock carawayspread.Clock) *Rota {
	return &Rota{id: id, zone: zone, capacity: capacity, terms: terms, clock: clock, members: map[uint64]member{}}
}

// Heard records the heartbeat of a peer. Those of other zones are ignored.
func (r *Rota) Heard(id uint64, s carawayspread.PeerStatus) {
	if s.Zone != r.zone || id == r.id {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[id] = member{capacity: s.Capacity, canRead: s.CanReadStore, lastSeen: r.clock.Now()}
}

// Retire leaves reading to others permanently, for a process that is shutting down.
func (r *Rota) Retire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resigned = true
}

// Able reports whether this process can read: it has not resigned, and the store answers it
// as far as is known.
func (r *Rota) Able() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ableLocked(r.clock.Now())
}

func (r *Rota) ableLocked(now time.Time) bool {
	return !r.resigned && (r.failed.IsZero() || now.Sub(r.failed) > failureCooldown)
}

// Reads reports whether this process is the reader of its zone.
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
		if now.Sub(m.lastSeen) > peerTimeout {
			delete(r.members, id)
			continue
		}
		if m.canRead && (m.capacity > r.capacity || m.capacity == r.capacity && id < r.id) {
			return false
		}
	}
	return true
}

// Confirm records that the store confirmed at that time what this process holds.
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

// Called records a call of this process to the store, which began at begun. Without an error
// its response confirms what this process holds as of asOf.
func (r *Rota) Called(of carawayspread.Resource, begun, asOf time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &r.matters[of]
	m.called, m.failed = begun, err != nil
	m.random = rand.Float64()
	if err != nil {
		r.failed = r.clock.Now()
		m.called = r.failed
		return
	}
	r.failed = time.Time{}
	r.confirmLocked(of, asOf)
}

// Age returns the time since the store last confirmed the matter; false if it never has.
func (r *Rota) Age(of carawayspread.Resource) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed := r.matters[of].confirmed
	return max(0, r.clock.Now().Sub(confirmed)), !confirmed.IsZero()
}

// Stale reports whether the matter was confirmed too long ago, or never.
func (r *Rota) Stale(of carawayspread.Resource) bool {
	age, ever := r.Age(of)
	return !ever || age > r.maxAge(of)
}

// Due returns the time until this process is to call the store by itself; zero for now.
func (r *Rota) Due(of carawayspread.Resource) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	m := r.matters[of]
	due := m.confirmed.Add(scale(1-takeoverJitter*m.random, r.maxAge(of)))
	if r.readsLocked(now) {
		due = later(m.called, m.confirmed).Add(scale(1+pollJitter*(m.random-0.5), r.pollInterval(of)))
	}
	if m.failed {
		if again := m.called.Add(scale(1+retryJitter*(m.random-0.5), r.retryIntervalLocked())); again.After(due) {
			due = again
		}
	}
	return max(0, due.Sub(now))
}

// Wait returns the timeout of a reader's watch for changes of routes.
func (r *Rota) Wait() time.Duration { return scale(watchFraction, r.terms.InForce) }

func (r *Rota) retryIntervalLocked() time.Duration {
	n := time.Duration(len(r.members) + 1)
	return max(n*retryPerProcess, min(n*minRetryInterval, maxRetryInterval))
}

// pollInterval returns the mean time between a reader's calls; zero for routes, which are
// watched continuously.
func (r *Rota) pollInterval(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return 0
	}
	return scale(pollFraction, r.terms.Leaving)
}

// maxAge returns the age beyond which the matter is stale; a process that is not the reader
// reads by itself before that.
func (r *Rota) maxAge(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return scale(watchMaxAgeFraction, r.terms.InForce)
	}
	return scale(maxAgeFraction, r.terms.Leaving)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
