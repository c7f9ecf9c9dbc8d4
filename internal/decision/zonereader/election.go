// Package zonereader elects the process of each availability zone that reads the platform's
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
// else: a process that has learned of no confirmation for too long reads for itself.
package zonereader

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
	takeoverJitter = 0.1
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

// Bounds are the times that operators are guaranteed.
type Bounds struct {
	Drain       time.Duration // after which nothing more is sent to a leaving endpoint
	ConfigApply time.Duration // after which a configuration is in force in all processes
}

// member is another process of this zone.
type member struct {
	capacity uint32
	canRead  bool
	lastSeen time.Time // of its last heartbeat
}

// resourceState is what this process knows of the age of one resource.
type resourceState struct {
	confirmed time.Time // when the store last confirmed it, as far as is known; zero for never
	called    time.Time // start of this process's last call, or its end if it failed
	failed    bool      // whether that call failed
	random    float64   // in [0, 1), for the jitter; drawn with each call
}

// Election is one process's view of the reader election and of the age of its resources. It
// is safe for concurrent use.
type Election struct {
	id       uint64
	zone     string
	capacity uint32
	bounds   Bounds
	clock    carawayspread.Clock

	mu        sync.Mutex
	members   map[uint64]member
	resources [carawayspread.ResourceCount]resourceState
	failed    time.Time // of the last failed call; zero if none failed since the last answered one
	resigned  bool
}

// New returns the view of the process with that identifier, which is drawn at random at its
// start.
func New(id uint64, zone string, capacity uint32, bounds Bounds, clock carawayspread.Clock) *Election {
	return &Election{id: id, zone: zone, capacity: capacity, bounds: bounds, clock: clock, members: map[uint64]member{}}
}

// ObservePeer records the heartbeat of a peer. Those of other zones are ignored.
func (e *Election) ObservePeer(id uint64, s carawayspread.PeerStatus) {
	if s.Zone != e.zone || id == e.id {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members[id] = member{capacity: s.Capacity, canRead: s.CanReadStore, lastSeen: e.clock.Now()}
}

// Resign permanently leaves reading to others, for a process that is shutting down.
func (e *Election) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
}

// CanRead reports whether this process can read: it has not resigned, and the store answers it
// as far as is known.
func (e *Election) CanRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canReadLocked(e.clock.Now())
}

func (e *Election) canReadLocked(now time.Time) bool {
	return !e.resigned && (e.failed.IsZero() || now.Sub(e.failed) > failureCooldown)
}

// IsReader reports whether this process is the reader of its zone.
func (e *Election) IsReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isReaderLocked(e.clock.Now())
}

func (e *Election) isReaderLocked(now time.Time) bool {
	if !e.canReadLocked(now) {
		return false
	}
	for id, m := range e.members {
		if now.Sub(m.lastSeen) > peerTimeout {
			delete(e.members, id)
			continue
		}
		if m.canRead && (m.capacity > e.capacity || m.capacity == e.capacity && id < e.id) {
			return false
		}
	}
	return true
}

// Confirm records that the store confirmed at that time what this process holds.
func (e *Election) Confirm(of carawayspread.Resource, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmLocked(of, at)
}

func (e *Election) confirmLocked(of carawayspread.Resource, at time.Time) {
	m := &e.resources[of]
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// RecordCall records a call of this process to the store, which began at begun. Without an
// error its response confirms what this process holds as of asOf.
func (e *Election) RecordCall(of carawayspread.Resource, begun, asOf time.Time, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.resources[of]
	m.called, m.failed = begun, err != nil
	m.random = rand.Float64()
	if err != nil {
		e.failed = e.clock.Now()
		m.called = e.failed
		return
	}
	e.failed = time.Time{}
	e.confirmLocked(of, asOf)
}

// Age returns the time since the store last confirmed the resource; false if it never has.
func (e *Election) Age(of carawayspread.Resource) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	confirmed := e.resources[of].confirmed
	return max(0, e.clock.Now().Sub(confirmed)), !confirmed.IsZero()
}

// Stale reports whether the resource was confirmed too long ago, or never.
func (e *Election) Stale(of carawayspread.Resource) bool {
	age, ever := e.Age(of)
	return !ever || age > e.maxAge(of)
}

// NextCallIn returns the time until this process is to call the store by itself; zero if the
// call is due.
func (e *Election) NextCallIn(of carawayspread.Resource) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	m := e.resources[of]
	due := m.confirmed.Add(scale(1-takeoverJitter*m.random, e.maxAge(of)))
	if e.isReaderLocked(now) {
		due = later(m.called, m.confirmed).Add(scale(1+pollJitter*(m.random-0.5), e.pollInterval(of)))
	}
	if m.failed {
		if again := m.called.Add(scale(1+retryJitter*(m.random-0.5), e.retryIntervalLocked())); again.After(due) {
			due = again
		}
	}
	return max(0, due.Sub(now))
}

// WatchTimeout returns the timeout of a reader's watch for changes of routes.
func (e *Election) WatchTimeout() time.Duration { return scale(watchFraction, e.bounds.ConfigApply) }

func (e *Election) retryIntervalLocked() time.Duration {
	n := time.Duration(len(e.members) + 1)
	return max(n*retryPerProcess, min(n*minRetryInterval, maxRetryInterval))
}

// pollInterval returns the mean time between a reader's calls; zero for routes, which are
// watched continuously.
func (e *Election) pollInterval(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return 0
	}
	return scale(pollFraction, e.bounds.Drain)
}

// maxAge returns the age beyond which the resource is stale; a process that is not the reader
// reads by itself before that.
func (e *Election) maxAge(of carawayspread.Resource) time.Duration {
	if of == carawayspread.ResourceRoutes {
		return scale(watchMaxAgeFraction, e.bounds.ConfigApply)
	}
	return scale(maxAgeFraction, e.bounds.Drain)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
