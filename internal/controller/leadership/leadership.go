// Package leadership keeps one process at a time in a duty, by a lease that it renews.
//
// Candidates come and go with what peers say of each other. The lease settles which of
// them leads; its epoch is the fencing number of what the leader does. It is counted by a
// clock that goes on while the machine is suspended.
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
	// term is how long the lease lasts without a renewal.
	term = 4 * time.Second
	// renewEvery leaves two renewals that may fail within the term, and retryEvery is
	// the time after one that did.
	renewEvery = 1200 * time.Millisecond
	retryEvery = 400 * time.Millisecond
	// callTimeout bounds one call to the table.
	callTimeout = 800 * time.Millisecond
	// seniority is how long a process is a candidate before it tries for the lease: one
	// that has been for longer knows more of what processes did that are gone.
	seniority = 3 * time.Second
	// absence is how long it may be none without starting anew: an outage of the table
	// makes candidates of others for a while.
	absence = 10 * time.Second
	// tenureLeast is how long the lease is held before it is given up to a successor, so
	// that leaders do not take turns quickly.
	tenureLeast = 3 * time.Second
)

// Leadership is one process's side. Renew, Resign and Leave are called by one goroutine;
// the others are safe for concurrent use.
type Leadership struct {
	event     string // of its lines in the log
	instance  string
	lease     *lease.Lease
	candidate func() bool
	clock     carawayspread.Clock
	log       *decisionlog.Log
	set       *metrics.Set
	holds     atomic.Bool

	candidateSince time.Time
	candidateLast  time.Time // zero for never
	heldSince      time.Time
	tried          time.Time // the last renewal
}

// New returns the side of the instance for the duty whose lease is kept under the
// partition. Its lines in the log bear the event's name.
func New(event, instance, partition string, table carawayspread.Table, candidate func() bool,
	uptime carawayspread.Uptime, clock carawayspread.Clock, l *decisionlog.Log, set *metrics.Set,
) *Leadership {
	return &Leadership{
		event: event, instance: instance, candidate: candidate, clock: clock, log: l, set: set,
		lease: lease.New(table, carawayspread.UptimeClock(uptime, clock), partition, lease.WithTerm(term)),
	}
}

// Holds reports whether this process may hold the lease.
func (l *Leadership) Holds() bool { return l.holds.Load() }

// Valid reports whether the lease is held now and for the margin to come.
func (l *Leadership) Valid(margin time.Duration) bool { return l.lease.Valid(margin) }

// Fence returns the fencing number; zero while the lease is not held.
func (l *Leadership) Fence() uint64 { return l.lease.Epoch() }

// Check returns the condition that the lease has not passed on, for a transaction; ok is
// false while it is not held.
func (l *Leadership) Check() (check carawayspread.Write, ok bool) { return l.lease.Check() }

// LogLine starts a line of the log about an event of the leader.
func (l *Leadership) LogLine(event string) *decisionlog.Line {
	return decisionlog.Start(event).Text("holder", l.instance).Int("fence", int64(l.Fence()))
}

// Renew renews the lease, or tries for it where this process is a candidate, as often as
// that is due. It reports whether the lease was acquired.
func (l *Leadership) Renew(ctx context.Context) (acquired bool) {
	now, held := l.clock.Now(), l.Valid(0)
	l.holds.Store(held)
	// One that held the lease last gets it back without waiting, after an outage too.
	if now.Sub(l.tried) < renewEvery || !l.isSenior(now) && l.Fence() == 0 {
		return false
	}
	l.tried = now
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
		l.tried = now.Add(retryEvery - renewEvery)
		l.log.Write(l.LogLine(l.event).Text("error", err.Error()))
	}
	return holds && !held
}

// isSenior reports whether this process has been a candidate for long enough.
func (l *Leadership) isSenior(now time.Time) bool {
	if !l.candidate() {
		return false
	}
	if l.candidateLast.IsZero() || now.Sub(l.candidateLast) > absence {
		l.candidateSince = now
	}
	l.candidateLast = now
	return now.Sub(l.candidateSince) >= seniority
}

// Resign drops the lease. The next holding has a higher fencing number.
func (l *Leadership) Resign(ctx context.Context, why string) {
	line := l.LogLine(l.event).Text("outcome", "resigned").Text("why", why)
	if err := l.lease.Release(ctx); err != nil {
		line.Text("error", err.Error())
	}
	l.holds.Store(false)
	l.log.Write(line)
}

// ResignOnShutdown has a successor take over at once, unless the lease is held for a moment only.
func (l *Leadership) ResignOnShutdown() {
	if !l.Valid(0) || l.clock.Now().Sub(l.heldSince) < tenureLeast {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l.Resign(ctx, "leaving")
}
