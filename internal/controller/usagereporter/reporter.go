// Package usagereporter hands the usage of workspaces to the platform, from one process
// at a time.
//
// Whoever leads decides what is reported of a window and stores it before it is sent for
// the first time: whoever sends it again, after whatever crash or lost answer, sends the
// same. The lease is checked right before each call.
package usagereporter

import (
	"context"
	"errors"
	"fmt"
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
	// margin is what must be left of the lease before a call: its timeout and its way.
	margin = callTimeout + 400*time.Millisecond
	// reserve is the time before a report is due that is left for sending it, also by
	// a successor whose predecessor was killed a moment before.
	reserve = 2500 * time.Millisecond
	// partition is where the lease and the reports are kept, together: a transaction
	// writes a report if the lease has not passed on.
	partition = "usage"
)

// Fleet says which processes there are.
type Fleet interface {
	// Collectors returns the processes that add usage up, without this one, and
	// whether this is one of them.
	Collectors() (others []carawayspread.Peer, self bool)
	// Processes returns the other processes that were heard no longer ago than that.
	Processes(within time.Duration) []uint64
}

// Backoff draws the wait after a try, counted from 1.
type Backoff interface {
	Draw(try int) time.Duration
}

// pending is a window whose report is not taken yet.
type pending struct {
	record  *usagerecords.Record // nil until it is decided
	read    bool                 // the table was read for it since the lease was acquired
	tries   int
	nextTry time.Duration // true time
}

// Deps is what a Reporter acts on.
type Deps struct {
	Ledger      *usage.Ledger
	Fleet       Fleet
	Sink        carawayspread.UsageSink
	Table       carawayspread.Table
	Uptime      carawayspread.Uptime
	TrueTime    func() (time.Duration, bool) // since the start of 1970
	Workspaces  func() map[string]bool       // names of those in force
	ServesAlone time.Duration                // how long a process may count that nobody hears
	Backoff     Backoff                      // between tries of one report
	Clock       carawayspread.Clock
	Log         *decisionlog.Log
	Metrics     *metrics.Set
}

// Reporter is one process's side. Run is called once.
type Reporter struct {
	deps     Deps
	instance string
	terms    carawayspread.UsageWindows
	leads    *leadership.Leadership
	records  *usagerecords.Records

	// Below is used by Run alone.
	pending map[int64]*pending
	done    map[int64]bool // windows that need no report any more
	// decided is what this process has stored of windows whose reports still count. A
	// table that comes back from an older copy may have lost it, after it was sent.
	decided map[int64]*usagerecords.Record
}

// New returns a reporter for the instance.
func New(instance string, terms carawayspread.UsageWindows, d Deps) *Reporter {
	collects := func() bool {
		_, self := d.Fleet.Collectors()
		return self
	}
	return &Reporter{
		deps: d, instance: instance, terms: terms, records: usagerecords.New(d.Table, partition),
		leads:   leadership.New("usageLease", instance, partition, d.Table, collects, d.Uptime, d.Clock, d.Log, d.Metrics),
		pending: map[int64]*pending{}, done: map[int64]bool{}, decided: map[int64]*usagerecords.Record{},
	}
}

// Holds reports whether this process may hold the lease.
func (r *Reporter) Holds() bool { return r.leads.Holds() }

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.leads.ResignOnShutdown()
			return ctx.Err()
		case <-r.deps.Clock.After(tickEvery*9/10 + rand.N(tickEvery/5)):
		}
		r.tick(ctx)
	}
}

func (r *Reporter) tick(ctx context.Context) {
	now, known := r.deps.TrueTime()
	if !known {
		return
	}
	if r.leads.Renew(ctx) {
		// What others have decided since is read again.
		clear(r.done)
		clear(r.pending)
	}
	r.expire(now)
	current := r.terms.Window(now)
	for window := current - r.terms.RetainedWindows(); window < current; window++ {
		if !r.done[window] && now >= r.terms.End(window) && now <= r.terms.Due(window) && r.leads.Valid(margin) {
			r.report(ctx, window, now)
		}
	}
}

// report decides what is reported of a window, and sends it.
func (r *Reporter) report(ctx context.Context, window int64, now time.Duration) {
	p := r.pending[window]
	if p == nil {
		p = &pending{}
		r.pending[window] = p
	}
	if now < p.nextTry {
		return
	}
	if p.record == nil {
		record, err := r.decide(ctx, window, p, now)
		if err != nil {
			r.deps.Log.Write(r.line(window).Text("outcome", "undecided").Text("error", err.Error()))
			r.retry(window, p, now)
		}
		if p.record = record; record == nil {
			return
		}
	}
	r.send(ctx, window, p, now)
}

// decide returns what is reported of the window: what the table holds, or else what
// is collected once it is complete or may wait no longer. Nothing is returned while
// it may wait, and where nobody is known to have counted.
func (r *Reporter) decide(ctx context.Context, window int64, p *pending, now time.Duration) (*usagerecords.Record, error) {
	begun := r.terms.End(window) - r.terms.Length()
	complete := r.deps.Ledger.Complete(window, r.deps.Fleet.Processes(now-begun+r.deps.ServesAlone))
	decidable := complete || now >= r.terms.Due(window)-reserve
	if p.read && !decidable {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, rev, err := r.records.Get(ctx, window)
	if err != nil {
		return nil, err
	}
	p.read = true
	switch {
	case record != nil || !decidable:
		return record, nil
	case r.decided[window] != nil:
		return r.store(ctx, r.decided[window], rev)
	case !r.deps.Ledger.Known(window):
		r.done[window] = true
		return nil, nil
	}
	counts, unnamed := r.deps.Ledger.Sum(window)
	record, err = r.store(ctx, &usagerecords.Record{Window: window, Counts: counts, Holder: r.instance, Complete: complete}, rev)
	if err == nil && unnamed > 0 {
		r.deps.Log.Write(r.line(window).Int("unnamed", int64(unnamed)))
	}
	return record, err
}

// store has the table hold a record, in the place of the item with that revision.
func (r *Reporter) store(ctx context.Context, record *usagerecords.Record, rev uint64) (*usagerecords.Record, error) {
	check, held := r.leads.Check()
	if !held {
		return nil, lease.ErrHeld
	}
	if err := r.records.Put(ctx, record, rev, check); err != nil {
		return nil, err // the next try reads what the table holds
	}
	if r.decided[record.Window] != nil {
		r.deps.Log.Write(r.line(record.Window).Text("outcome", "storedAgain"))
	}
	r.decided[record.Window] = record
	return record, nil
}

func (r *Reporter) send(ctx context.Context, window int64, p *pending, now time.Duration) {
	fence := r.leads.Fence()
	if fence == 0 || !r.leads.Valid(margin) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.deps.Sink.Report(ctx, fence, carawayspread.UsageReport{Window: window, Counts: p.record.Counts})
	line := r.line(window).Int("workspaces", int64(len(p.record.Counts))).
		Ms("sinceEndMs", now-r.terms.End(window)).Text("complete", fmt.Sprint(p.record.Complete))
	switch {
	case err == nil:
		r.done[window] = true
		delete(r.pending, window)
		r.count("reported")
		r.deps.Log.Write(line.Text("outcome", "reported"))
	case errors.Is(err, carawayspread.ErrFenced):
		r.count("fenced")
		r.deps.Log.Write(line.Text("outcome", "fenced"))
		r.leads.Resign(ctx, "fenced")
	default:
		r.retry(window, p, now)
		r.count("unanswered")
		r.deps.Log.Write(line.Text("outcome", "unanswered").Text("error", err.Error()))
	}
}

// retry sets when the window is tried next: the sooner the closer its report is due.
func (r *Reporter) retry(window int64, p *pending, now time.Duration) {
	p.tries++
	p.nextTry = now + min(r.deps.Backoff.Draw(p.tries), (r.terms.Due(window)-now)/2)
}

// expire drops windows whose reports no longer count.
func (r *Reporter) expire(now time.Duration) {
	for window, p := range r.pending {
		if now <= r.terms.Due(window) {
			continue
		}
		delete(r.pending, window)
		r.done[window] = true
		if p.record == nil && !r.deps.Ledger.Known(window) {
			continue
		}
		r.count("missed")
		r.deps.Log.Write(r.line(window).Text("outcome", "missed").
			Text("decided", fmt.Sprint(p.record != nil)).Int("tries", int64(p.tries)))
	}
	old := r.terms.Window(now) - r.terms.RetainedWindows()
	for window := range r.done {
		if window < old {
			delete(r.done, window)
		}
	}
	for window := range r.decided {
		if window < old {
			delete(r.decided, window)
		}
	}
	r.deps.Ledger.Forget(old, r.deps.Workspaces())
}

func (r *Reporter) line(window int64) *decisionlog.Line {
	return r.leads.LogLine("usage").Int("window", window)
}

func (r *Reporter) count(outcome string) {
	r.deps.Metrics.GetOrCreateCounter(`gateway_usage_reports_total{outcome="` + outcome + `"}`).Inc()
}
