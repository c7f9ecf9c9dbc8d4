// Package leadership elects one process as the leader for a task by means of a renewed lease.
//
// Which processes are candidates depends on the status that peers report and changes at any time.
// The lease decides which candidate leads; its epoch is the fencing token of the leader's actions.
// The lease term is measured with a clock that continues while the instance is suspended.
package leadership

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/process/decisionlog"
)

const (
	// term is how long the lease is valid without a renewal.
	term = 4 * time.Second
	// renewEvery is the renewal interval; two renewals may fail within the term. retryEvery is the
	// delay after a failed one.
	renewEvery = 1200 * time.Millisecond
	retryEvery = 400 * time.Millisecond
	// callTimeout bounds one call to the lease.
	callTimeout = 800 * time.Millisecond
	// minCandidacy is how long a process must be a candidate before it tries to acquire the lease:
	// a process that has been a candidate for longer knows more about processes that have since ended.
	minCandidacy = 3 * time.Second
	// maxCandidacyGap is how long a process may stop being a candidate without restarting that
	// period: during an outage of the table other processes become candidates for a while.
	maxCandidacyGap = 10 * time.Second
	// minTenure is how long a leader holds the lease before it resigns on shutdown. It prevents
	// rapid changes of the leader.
	minTenure = 3 * time.Second
)

// Leadership is the participation of one process in the election. Renew, Resign and
// ResignOnShutdown must be called by one goroutine; the other methods are safe for concurrent use.
type Leadership struct {
	event     string // name of the log lines
	instance  string
	lease     *lease.Lease
	candidate func() bool
	clock     carawayspread.Clock
	log       *decisionlog.Log
	set       *metrics.Set
	holds     atomic.Bool

	candidateSince time.Time
	lastCandidate  time.Time // zero if it never was one
	heldSince      time.Time
	lastTry        time.Time // time of the last renewal or acquisition attempt; set ahead to schedule a retry
}

// New returns the participation of the instance in the election whose lease is stored under the
// partition. Its log lines have the event as their name.
func New(event, instance, partition string, table carawayspread.Table, candidate func() bool,
	uptime carawayspread.Uptime, clock carawayspread.Clock, l *decisionlog.Log, set *metrics.Set, opts ...lease.Option,
) *Leadership {
	opts = append([]lease.Option{lease.WithTerm(term)}, opts...)
	return &Leadership{
		event: event, instance: instance, candidate: candidate, clock: clock, log: l, set: set,
		lease: lease.New(table, carawayspread.UptimeClock(uptime, clock), partition, opts...),
	}
}

// Holds reports whether this process held the lease at the last call of Renew or Resign.
func (l *Leadership) Holds() bool { return l.holds.Load() }

// Valid reports whether the lease is held now and will be for the margin.
func (l *Leadership) Valid(margin time.Duration) bool { return l.lease.Valid(margin) }

// Renewed reports whether the lease was renewed in the table within that duration.
func (l *Leadership) Renewed(within time.Duration) bool { return l.lease.Renewed(within) }

// Fence returns the fencing token; zero while the lease is not held.
func (l *Leadership) Fence() uint64 { return l.lease.Epoch() }

// Check returns a transaction condition that fails once another tenure has begun; ok is false while
// the lease is not held.
func (l *Leadership) Check() (check carawayspread.Write, ok bool) { return l.lease.Check() }

// LogLine starts a log line about an event of the leader.
func (l *Leadership) LogLine(event string) *decisionlog.Line {
	return decisionlog.Start(event).Text("holder", l.instance).Int("fence", int64(l.Fence()))
}

// Renew renews the lease or, if this process is a candidate, tries to acquire it. It does nothing
// until the next attempt is due. It reports whether the lease was acquired.
func (l *Leadership) Renew(ctx context.Context) (acquired bool) {
	now, held := l.clock.Now(), l.Valid(0)
	l.holds.Store(held)
	// A process that still has a tenure, even an expired one, renews it whether or not it is a
	// candidate, so that it regains the lease without waiting after an outage.
	if now.Sub(l.lastTry) < renewEvery || !l.isEligible(now) && l.Fence() == 0 {
		return false
	}
	l.lastTry = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.lease.Try(ctx)
	holds := l.Valid(0)
	l.holds.Store(holds)
	switch {
	case holds && !held:
		l.heldSince = now
		l.log.Write(l.LogLine(l.event).Text("outcome", "held"))
		l.set.GetOrCreateCounter(`gateway_takeovers_total{duty="` + l.event + `"}`).Inc()
	case !holds && held:
		l.log.Write(l.LogLine(l.event).Text("outcome", "lost"))
	case err != nil && !errors.Is(err, lease.ErrHeld):
		l.lastTry = now.Add(retryEvery - renewEvery)
		l.log.Write(l.LogLine(l.event).Text("error", err.Error()))
	}
	return holds && !held
}

// isEligible reports whether this process has been a candidate for at least minCandidacy.
func (l *Leadership) isEligible(now time.Time) bool {
	if !l.candidate() {
		return false
	}
	if l.lastCandidate.IsZero() || now.Sub(l.lastCandidate) > maxCandidacyGap {
		l.candidateSince = now
	}
	l.lastCandidate = now
	return now.Sub(l.candidateSince) >= minCandidacy
}

// Resign releases the lease. The next tenure has a higher fencing token.
func (l *Leadership) Resign(ctx context.Context, reason string) {
	line := l.LogLine(l.event).Text("outcome", "resigned").Text("why", reason)
	if err := l.lease.Release(ctx); err != nil {
		line.Text("error", err.Error())
	}
	l.holds.Store(false)
	l.log.Write(line)
}

// ResignOnShutdown releases the lease, so that a successor takes over at once. It does nothing if
// the lease has been held for less than minTenure.
func (l *Leadership) ResignOnShutdown() {
	if !l.Valid(0) || l.clock.Now().Sub(l.heldSince) < minTenure {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l.Resign(ctx, "leaving")
}
