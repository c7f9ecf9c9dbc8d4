// Package usagereporter reports the usage of workspaces to the platform, from one process at a
// time.
//
// The leader decides on the report of a window and stores it before sending it for the first
// time. After a crash or a lost reply, any process that sends it again sends the same counts. The
// lease is checked right before each call.
package usagereporter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/controller/leadership"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/usagerecords"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

const (
	tickEvery   = 250 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	// leaseMargin is the remaining validity of the lease that a call requires: its timeout plus
	// the time until it arrives.
	leaseMargin = callTimeout + 400*time.Millisecond
	// sendReserve is the time before the due time of a report that is reserved for sending it,
	// including by a successor whose predecessor was killed just before.
	sendReserve = 2500 * time.Millisecond
	// partition holds the lease and the reports together, so that a transaction can write a
	// report only if the lease is still held.
	partition = "usage"
)

// Fleet knows the processes of the fleet.
type Fleet interface {
	// Collectors returns the other processes that sum usage, and whether this process is one
	// too.
	Collectors() (others []carawayspread.Peer, self bool)
	// Processes returns the other processes that were last seen within that duration.
	Processes(within time.Duration) []uint64
}

// Backoff draws the wait after a failed attempt. Attempts are counted from 1.
type Backoff interface {
	Draw(attempt int) time.Duration
}

// pendingReport is a report that the platform has not accepted yet.
type pendingReport struct {
	record      *usagerecords.Record // nil until decided
	tableRead   bool                 // the record was looked up since the lease was acquired
	attempts    int
	nextAttempt time.Duration // synchronized time
}

// Deps holds the dependencies of a Reporter.
type Deps struct {
	Ledger       *usage.Ledger
	Fleet        Fleet
	Sink         carawayspread.UsageSink
	Table        carawayspread.Table
	Uptime       carawayspread.Uptime
	SyncedTime   func() (time.Duration, bool) // since the start of 1970
	Workspaces   func() map[string]bool       // names of the configured workspaces
	MaxIsolation time.Duration                // how long a process may serve requests unseen by its peers
	Witnesses    Witnesses                    // nil if reporting ends with the term of the lease
	Backoff      Backoff                      // between attempts to send one report
	Clock        carawayspread.Clock
	Log          *decisionlog.Log
	Metrics      *metrics.Set
}

// Reporter reports usage while this process holds the lease. Run must be called only once; Holds
// is safe for concurrent use.
type Reporter struct {
	deps       Deps
	instance   string
	windows    carawayspread.UsageWindows
	leadership *leadership.Leadership
	records    *usagerecords.Records

	// The fields below are used by Run only.
	pending map[int64]*pendingReport
	done    map[int64]bool // windows that need no further report
	// decided holds the records that this process has stored, for windows that may still be
	// reported. A table restored from an older copy may have lost a record that was already sent.
	decided map[int64]*usagerecords.Record
	silence silence
	leave   chan struct{} // closed when the lease is to be given up
}

// New returns a reporter for the instance.
func New(instance string, windows carawayspread.UsageWindows, d Deps) *Reporter {
	collects := func() bool {
		_, self := d.Fleet.Collectors()
		return self
	}
	return &Reporter{
		deps: d, instance: instance, windows: windows, records: usagerecords.New(d.Table, partition),
		leadership: leadership.New("usageLease", instance, partition, d.Table, collects, d.Uptime, d.Clock, d.Log, d.Metrics, leaseOptions(d, windows)...),
		pending:    map[int64]*pendingReport{}, done: map[int64]bool{}, decided: map[int64]*usagerecords.Record{},
		silence: newSilence(), leave: make(chan struct{}),
	}
}

// Holds reports whether this process may hold the lease.
func (r *Reporter) Holds() bool { return r.leadership.Holds() }

// Run reports usage until ctx ends, then gives up the lease and returns ctx.Err(). After Leave it returns
// nil as soon as the lease is given up.
func (r *Reporter) Run(ctx context.Context) error {
	leave := r.leave
	for {
		select {
		case <-ctx.Done():
			r.leadership.ResignOnShutdown()
			return ctx.Err()
		case <-leave:
			leave = nil
		case <-r.deps.Clock.After(tickEvery*9/10 + rand.N(tickEvery/5)):
			r.tick(ctx)
		}
		if leave == nil && r.mayLeave() {
			r.leadership.ResignOnShutdown()
			return nil
		}
	}
}

func (r *Reporter) tick(ctx context.Context) {
	now, known := r.deps.SyncedTime()
	if !known {
		return
	}
	if r.leadership.Renew(ctx) {
		// Other holders may have decided since, so the table is read again.
		clear(r.done)
		clear(r.pending)
		r.silence.acquired(now)
	}
	r.expire(now)
	r.storeKept(ctx)
	current := r.windows.Window(now)
	for window := current - r.windows.RetainedWindows(); window < current; window++ {
		if !r.done[window] && now >= r.windows.End(window) && now <= r.windows.Due(window) && r.leadership.Valid(leaseMargin) {
			r.report(ctx, window, now)
		}
	}
}

// report decides on the report of a window and sends it.
func (r *Reporter) report(ctx context.Context, window int64, now time.Duration) {
	p := r.pending[window]
	if p == nil {
		p = &pendingReport{}
		r.pending[window] = p
	}
	if now < p.nextAttempt {
		return
	}
	if p.record == nil {
		record, err := r.decide(ctx, window, p, now)
		if err != nil {
			r.deps.Log.Write(r.line(window).Text("outcome", "undecided").Text("error", err.Error()))
			r.scheduleRetry(window, p, now)
		}
		if p.record = record; record == nil {
			return
		}
	}
	r.send(ctx, window, p, now)
}

// decide returns the record of the window: the one in the table or, if there is none, a new one
// as soon as the counts are complete or the report can wait no longer. It returns nil while the
// report can wait, and if no process is known to have counted.
func (r *Reporter) decide(ctx context.Context, window int64, p *pendingReport, now time.Duration) (*usagerecords.Record, error) {
	start := r.windows.End(window) - r.windows.Length()
	complete := r.deps.Ledger.Complete(window, r.deps.Fleet.Processes(now-start+r.deps.MaxIsolation))
	decidable := complete || now >= r.windows.Due(window)-sendReserve
	if p.tableRead && !decidable {
		return nil, nil
	}
	if r.tableSilent() {
		if !decidable {
			return nil, nil
		}
		return r.decideInSilence(ctx, window, p, complete)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, rev, err := r.records.Get(ctx, window)
	if err != nil {
		return nil, err
	}
	p.tableRead = true
	if record != nil || !decidable {
		return record, nil
	}
	record, err = r.proposal(window, complete)
	if record == nil || err != nil {
		return nil, err
	}
	return r.store(ctx, record, rev)
}

// proposal returns the record that this process decides on unless there is one in the table; nil if there
// is none to report. It stays the same: a call that seemed to fail may have stored it.
func (r *Reporter) proposal(window int64, complete bool) (*usagerecords.Record, error) {
	if record := r.decided[window]; record != nil {
		return record, nil
	}
	if record := r.silence.proposed[window]; record != nil {
		return record, nil
	}
	record, err := r.inherited(window)
	if record != nil || err != nil || r.done[window] {
		return record, err
	}
	if !r.deps.Ledger.Known(window) {
		r.done[window] = true
		return nil, nil
	}
	counts, unnamed := r.deps.Ledger.Sum(window)
	if unnamed > 0 {
		r.deps.Log.Write(r.line(window).Int("unnamed", int64(unnamed)))
	}
	record = &usagerecords.Record{Window: window, Counts: counts, Holder: r.instance, Complete: complete}
	r.silence.proposed[window] = record
	return record, nil
}

// store writes a record to the table in place of the item with that revision.
func (r *Reporter) store(ctx context.Context, record *usagerecords.Record, rev uint64) (*usagerecords.Record, error) {
	check, held := r.leadership.Check()
	if !held {
		return nil, lease.ErrHeld
	}
	if err := r.records.Put(ctx, record, rev, check); err != nil {
		return nil, err // the next attempt reads what the table holds
	}
	if r.decided[record.Window] != nil {
		r.deps.Log.Write(r.line(record.Window).Text("outcome", "storedAgain"))
	}
	r.decided[record.Window] = record
	r.keptInTable(record.Window)
	return record, nil
}

func (r *Reporter) send(ctx context.Context, window int64, p *pendingReport, now time.Duration) {
	fence := r.leadership.Fence()
	if fence == 0 || !r.leadership.Valid(leaseMargin) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.deps.Sink.Report(ctx, fence, carawayspread.UsageReport{Window: window, Counts: p.record.Counts})
	line := r.line(window).Int("workspaces", int64(len(p.record.Counts))).
		Ms("sinceEndMs", now-r.windows.End(window)).Text("complete", fmt.Sprint(p.record.Complete))
	switch {
	case err == nil:
		r.silence.unanswered = 0
		r.done[window] = true
		delete(r.pending, window)
		r.count("reported")
		r.deps.Log.Write(line.Text("outcome", "reported"))
	case errors.Is(err, carawayspread.ErrFenced):
		r.count("fenced")
		r.deps.Log.Write(line.Text("outcome", "fenced"))
		r.leadership.Resign(ctx, "fenced")
	default:
		r.scheduleRetry(window, p, now)
		r.yieldIfUnanswered()
		r.count("unanswered")
		r.deps.Log.Write(line.Text("outcome", "unanswered").Text("error", err.Error()))
	}
}

// scheduleRetry sets the time of the next attempt, at the latest halfway between now and the due
// time of the report.
func (r *Reporter) scheduleRetry(window int64, p *pendingReport, now time.Duration) {
	p.attempts++
	p.nextAttempt = now + min(r.deps.Backoff.Draw(p.attempts), (r.windows.Due(window)-now)/2)
}

// expire drops windows whose reports are overdue, and the state of windows that are no longer
// retained.
func (r *Reporter) expire(now time.Duration) {
	for window, p := range r.pending {
		if now <= r.windows.Due(window) {
			continue
		}
		delete(r.pending, window)
		r.done[window] = true
		if p.record == nil && !r.deps.Ledger.Known(window) {
			continue
		}
		r.count("missed")
		r.deps.Log.Write(r.line(window).Text("outcome", "missed").
			Text("decided", fmt.Sprint(p.record != nil)).Int("tries", int64(p.attempts)))
	}
	oldest := r.windows.Window(now) - r.windows.RetainedWindows()
	maps.DeleteFunc(r.done, func(window int64, _ bool) bool { return window < oldest })
	maps.DeleteFunc(r.decided, func(window int64, _ *usagerecords.Record) bool { return window < oldest })
	r.forgetSilence(oldest)
	r.deps.Ledger.Forget(oldest, r.deps.Workspaces())
}

func (r *Reporter) line(window int64) *decisionlog.Line {
	return r.leadership.LogLine("usage").Int("window", window)
}

func (r *Reporter) count(outcome string) {
	r.deps.Metrics.GetOrCreateCounter(`gateway_usage_reports_total{outcome="` + outcome + `"}`).Inc()
}
