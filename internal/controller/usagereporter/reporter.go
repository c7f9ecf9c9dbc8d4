// Package usagereporter hands the usage of workspaces to the platform, from one
// process at a time.
//
// The processes that collect try for a lease; its epoch is the fencing number of the
// reports. What is reported of a window is written to the table once, under the lease,
// before it is sent for the first time: whoever sends it again, after whatever crash or
// lost answer, sends the same. The lease is counted by a clock that goes on while the
// machine is suspended, and checked right before each call.
package usagereporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

const (
	lookEvery = 250 * time.Millisecond
	// term is how long the lease lasts. With what a successor waits beyond it, a
	// report whose holder was killed is still sent in time.
	term = 4 * time.Second
	// renewEvery leaves two renewals that may fail within the term, and retryEvery is
	// the time after one that did.
	renewEvery = 1200 * time.Millisecond
	retryEvery = 400 * time.Millisecond
	// margin is what must be left of the lease before a call: its timeout and its way.
	margin      = callTimeout + 400*time.Millisecond
	callTimeout = 800 * time.Millisecond
	// reserve is the time before a report is due that is left for sending it, also by
	// a successor whose predecessor was killed a moment before.
	reserve = 2500 * time.Millisecond
	// retryLeast and retryMost bound the wait after a report without an answer.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// slots is how many decided reports the table keeps, one for each window in turn.
	slots = 16
	// seniority is how long a process collects before it tries for the lease: one that
	// has collected for longer knows what processes counted that are gone.
	seniority = 3 * time.Second
	// absence is how long it may not collect without starting anew.
	absence = 10 * time.Second
	// tenureLeast is how long the lease is held before it is given up to a successor,
	// so that holders do not take turns quickly.
	tenureLeast = 3 * time.Second
)

// Partition is where the lease and the reports are kept.
const Partition = "usage"

// Fleet says which processes there are.
type Fleet interface {
	// Collectors returns the processes that add usage up, without this one, and
	// whether this is one of them.
	Collectors() (others []carawayspread.Peer, self bool)
	// Processes returns the other processes that were heard no longer ago than that.
	Processes(within time.Duration) []uint64
}

// report is a decided report, as the table keeps it.
type report struct {
	Window   int64             `json:"window"`
	Counts   map[string]uint64 `json:"counts"`
	Holder   string            `json:"holder"`
	Complete bool              `json:"complete"` // all processes that were known had closed the window
}

// pending is a window whose report is not taken yet.
type pending struct {
	decided *report
	looked  bool // the table was read for it since the lease was acquired
	tries   int
	next    time.Duration // true time of the next try
}

// Reporter is one process's side. Run is called once.
type Reporter struct {
	instance string
	ledger   *usage.Ledger
	fleet    Fleet
	sink     carawayspread.UsageSink
	table    carawayspread.Table
	lease    *lease.Lease
	terms    carawayspread.UsageTerms
	now      func() (time.Duration, bool) // true time since the start of 1970
	inForce  func() map[string]bool       // names of workspaces
	alone    time.Duration                // how long a process may count that nobody hears
	clock    carawayspread.Clock
	log      *decisionlog.Log
	set      *metrics.Set
	holds    atomic.Bool

	// Below is used by Run alone.
	collects  time.Time // since when this process collects
	collected time.Time // when it did last; zero for never
	since     time.Time // when the lease was acquired
	renewed   time.Time // when the lease was tried last
	pending   map[int64]*pending
	done      map[int64]bool // windows that need no report any more
}

// Deps is what a Reporter acts on.
type Deps struct {
	Ledger  *usage.Ledger
	Fleet   Fleet
	Sink    carawayspread.UsageSink
	Table   carawayspread.Table
	Uptime  carawayspread.Uptime
	Now     func() (time.Duration, bool) // true time since the start of 1970
	InForce func() map[string]bool       // names of workspaces
	Alone   time.Duration                // how long a process may count that nobody hears
	Clock   carawayspread.Clock
	Log     *decisionlog.Log
	Metrics *metrics.Set
}

// New returns a reporter for the instance.
func New(instance string, terms carawayspread.UsageTerms, d Deps) *Reporter {
	return &Reporter{
		instance: instance, ledger: d.Ledger, fleet: d.Fleet, sink: d.Sink, table: d.Table, terms: terms,
		lease: lease.New(d.Table, carawayspread.UptimeClock(d.Uptime, d.Clock), Partition, lease.WithTerm(term)),
		now:   d.Now, inForce: d.InForce, alone: d.Alone, clock: d.Clock, log: d.Log, set: d.Metrics,
		pending: map[int64]*pending{}, done: map[int64]bool{},
	}
}

// Holds reports whether this process may hold the lease.
func (r *Reporter) Holds() bool { return r.holds.Load() }

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.leave()
			return ctx.Err()
		case <-r.clock.After(lookEvery*9/10 + rand.N(lookEvery/5)):
		}
		r.look(ctx)
	}
}

// leave has a successor take over at once.
func (r *Reporter) leave() {
	if !r.lease.Valid(0) || r.clock.Now().Sub(r.since) < tenureLeast {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.giveUp(ctx, "leaving")
}

func (r *Reporter) look(ctx context.Context) {
	now, known := r.now()
	if !known {
		return
	}
	r.keep(ctx)
	r.forget(now)
	if !r.lease.Valid(margin) {
		return
	}
	current := r.terms.Window(now)
	for window := current - r.terms.Kept(); window < current; window++ {
		if !r.done[window] && now >= r.terms.End(window) && now <= r.terms.Due(window) && r.lease.Valid(margin) {
			r.report(ctx, window, now)
		}
	}
}

// keep renews the lease, or tries for it where this process collects.
func (r *Reporter) keep(ctx context.Context) {
	now := r.clock.Now()
	held := r.lease.Valid(0)
	r.holds.Store(held)
	// One that held the lease last gets it back without waiting, after an outage too.
	if now.Sub(r.renewed) < renewEvery || !r.senior(now) && r.lease.Epoch() == 0 {
		return
	}
	r.renewed = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.lease.Try(ctx)
	switch holds := r.lease.Valid(0); {
	case holds && !held:
		r.since = now
		clear(r.done) // what others decided since is looked up
		clear(r.pending)
		r.log.Write(r.line("usageLease").Text("outcome", "held"))
		r.set.GetOrCreateCounter("gateway_usage_takeovers_total").Inc()
	case !holds && held:
		r.log.Write(r.line("usageLease").Text("outcome", "lost"))
	case err != nil && !errors.Is(err, lease.ErrHeld):
		r.renewed = now.Add(retryEvery - renewEvery)
		r.log.Write(r.line("usageLease").Text("error", err.Error()))
	}
	r.holds.Store(r.lease.Valid(0))
}

// senior reports whether this process collects, and has for long enough.
func (r *Reporter) senior(now time.Time) bool {
	if _, collects := r.fleet.Collectors(); !collects {
		return false
	}
	if r.collected.IsZero() || now.Sub(r.collected) > absence {
		r.collects = now
	}
	r.collected = now
	return now.Sub(r.collects) >= seniority
}

func (r *Reporter) line(event string) *decisionlog.Line {
	return decisionlog.Start(event).Text("holder", r.instance).Int("fence", int64(r.lease.Epoch()))
}

// report decides what is reported of a window, and sends it.
func (r *Reporter) report(ctx context.Context, window int64, now time.Duration) {
	p := r.pending[window]
	if p == nil {
		p = &pending{}
		r.pending[window] = p
	}
	if now < p.next {
		return
	}
	if p.decided == nil {
		decided, err := r.decide(ctx, window, p, now)
		if err != nil {
			r.log.Write(r.line("usage").Int("window", window).Text("outcome", "undecided").Text("error", err.Error()))
			r.wait(p, now)
		}
		if p.decided = decided; decided == nil {
			return
		}
	}
	r.send(ctx, window, p, now)
}

func (r *Reporter) send(ctx context.Context, window int64, p *pending, now time.Duration) {
	fence := r.lease.Epoch()
	if fence == 0 || !r.lease.Valid(margin) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.sink.Report(ctx, fence, carawayspread.UsageReport{Window: window, Counts: p.decided.Counts})
	line := r.line("usage").Int("window", window).Int("workspaces", int64(len(p.decided.Counts))).
		Ms("sinceEndMs", now-r.terms.End(window)).Text("complete", fmt.Sprint(p.decided.Complete))
	switch {
	case err == nil:
		r.done[window] = true
		delete(r.pending, window)
		r.count("reported")
		r.log.Write(line.Text("outcome", "reported"))
	case errors.Is(err, carawayspread.ErrFenced):
		r.count("fenced")
		r.log.Write(line.Text("outcome", "fenced"))
		r.giveUp(ctx, "fenced")
	default:
		r.wait(p, now)
		r.count("unanswered")
		r.log.Write(line.Text("outcome", "unanswered").Text("error", err.Error()))
	}
}

func (r *Reporter) count(outcome string) {
	r.set.GetOrCreateCounter(`gateway_usage_reports_total{outcome="` + outcome + `"}`).Inc()
}

// wait spaces the tries of a window.
func (r *Reporter) wait(p *pending, now time.Duration) {
	p.tries++
	most := min(retryMost, retryLeast<<min(p.tries, 8))
	p.next = now + most/2 + rand.N(most/2)
}

// giveUp drops the lease. The next holding has a higher number.
func (r *Reporter) giveUp(ctx context.Context, why string) {
	line := r.line("usageLease").Text("outcome", "given up").Text("why", why)
	if err := r.lease.Release(ctx); err != nil {
		line.Text("error", err.Error())
	}
	r.holds.Store(false)
	r.log.Write(line)
}

// decide returns what is reported of the window: what the table holds, or else what
// is collected once it is complete or may wait no longer. Nothing is returned while
// it may wait, and where nobody is known to have counted.
func (r *Reporter) decide(ctx context.Context, window int64, p *pending, now time.Duration) (*report, error) {
	begun := r.terms.End(window) - r.terms.Length()
	complete := r.ledger.Complete(window, r.fleet.Processes(now-begun+r.alone))
	ripe := complete || now >= r.terms.Due(window)-reserve
	if p.looked && !ripe {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := carawayspread.Key{Partition: Partition, Sort: fmt.Sprintf("report-%02d", window%slots)}
	item, decided, err := r.decided(ctx, key)
	if err != nil {
		return nil, err
	}
	p.looked = true
	switch {
	case decided.Window == window:
		return &decided, nil
	case !ripe:
		return nil, nil
	case !r.ledger.Known(window):
		r.done[window] = true
		return nil, nil
	}
	return r.fix(ctx, window, item, key, complete)
}

// decided reads a report that was decided; a zero item and report where there is none.
func (r *Reporter) decided(ctx context.Context, key carawayspread.Key) (carawayspread.Item, report, error) {
	var decided report
	item, err := r.table.Get(ctx, key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return carawayspread.Item{}, decided, nil
	}
	if err != nil {
		return item, decided, err
	}
	return item, decided, json.Unmarshal(item.Body, &decided)
}

// fix writes down what is reported of the window, before anybody is told.
func (r *Reporter) fix(ctx context.Context, window int64, before carawayspread.Item, key carawayspread.Key, complete bool) (*report, error) {
	counts, unnamed := r.ledger.Sum(window)
	decided := &report{Window: window, Counts: counts, Holder: r.instance, Complete: complete}
	body, err := json.Marshal(decided)
	if err != nil {
		return nil, err
	}
	check, held := r.lease.Check()
	if !held {
		return nil, lease.ErrHeld
	}
	write := carawayspread.Write{Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}, IfRev: before.Rev}
	if err := r.table.Apply(ctx, write, check); err != nil {
		return nil, err // the next look reads what the table holds
	}
	if unnamed > 0 {
		r.log.Write(r.line("usage").Int("window", window).Int("unnamed", int64(unnamed)))
	}
	return decided, nil
}

// forget drops windows whose reports no longer count.
func (r *Reporter) forget(now time.Duration) {
	for window, p := range r.pending {
		if now <= r.terms.Due(window) {
			continue
		}
		delete(r.pending, window)
		r.done[window] = true
		if p.decided == nil && !r.ledger.Known(window) {
			continue
		}
		r.count("missed")
		r.log.Write(r.line("usage").Int("window", window).Text("outcome", "missed").
			Text("decided", fmt.Sprint(p.decided != nil)).Int("tries", int64(p.tries)))
	}
	old := r.terms.Window(now) - r.terms.Kept()
	for window := range r.done {
		if window < old {
			delete(r.done, window)
		}
	}
	r.ledger.Forget(old, r.inForce())
}
