package usagereporter

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/usagerecords"
)

const (
	// ActingLimit is how long after its last renewal a holder may act by promises: an outage of the table
	// of ten seconds, renewals before and after it, and a call.
	ActingLimit = 15 * time.Second
	// silentAfter is the age of the last renewal from which on the table is not waited for.
	silentAfter = 2500 * time.Millisecond
	// clockSlack is added to what others wait for: processes differ in synchronized time by less.
	clockSlack = time.Second
	// maxUnanswered is how many reports in a row may stay without an answer in a silence of the table
	// until another process is let try.
	maxUnanswered = 3
)

var errUnknownWorkspace = errors.New("the decided report names a workspace that is not known here yet")

// errTableUnread means that a holder before this one may have stored a record of the window.
var errTableUnread = errors.New("the table is silent and may hold a report of this window")

// Witnesses keep what this process decides while the table is silent, and promise that nobody else
// reports. Package leasewitnesses implements it.
type Witnesses interface {
	lease.Witnesses
	// Keep has a majority keep the counts of a window.
	Keep(ctx context.Context, window int64, counts []carawayspread.UsageCount) error
	// Inherited returns the counts that a holder before this one decided for a window.
	Inherited(window int64) (counts []carawayspread.UsageCount, ok bool)
	// BlindFor returns the time since which it is known what holders before this one have decided; known
	// is false if all is known.
	BlindFor() (since time.Duration, known bool)
	// Stored states that the record of a window is in the table.
	Stored(window int64)
	// Yield ends the extension with the promises that were given.
	Yield()
	// Forget drops what belongs to windows before that one.
	Forget(oldest int64)
}

// silence is the state of a reporter that concerns silences of the table.
type silence struct {
	proposed map[int64]*usagerecords.Record // by this process in this tenure
	// kept are records that witnesses keep and the table may not have.
	kept       map[int64]*usagerecords.Record
	acquiredAt time.Duration // synchronized time
	unanswered int           // reports in a row
}

func newSilence() silence {
	return silence{proposed: map[int64]*usagerecords.Record{}, kept: map[int64]*usagerecords.Record{}}
}

func (s *silence) acquired(now time.Duration) {
	clear(s.proposed)
	s.acquiredAt, s.unanswered = now, 0
}

// leaseOptions returns the options of the lease. Those that do not ask witnesses wait until no window that
// the holder may have reported is due any more.
func leaseOptions(d Deps, windows carawayspread.UsageWindows) []lease.Option {
	if d.Witnesses == nil {
		return nil
	}
	due := windows.Due(0) - windows.End(0)
	return []lease.Option{lease.WithWitnesses(d.Witnesses, d.Witnesses.Limit()+due+clockSlack)}
}

// Leave has the process give up the lease as soon as the table answers, and end. It must be called once.
//
// While the table is silent no other process can acquire the lease, so this one reports on until ctx of
// Run ends.
func (r *Reporter) Leave() { close(r.leave) }

// mayLeave reports whether the lease is not held or can be given up.
func (r *Reporter) mayLeave() bool {
	return !r.leadership.Valid(0) || !r.tableSilent() && len(r.silence.kept) == 0
}

// tableSilent reports whether the lease is held and its renewal is late.
func (r *Reporter) tableSilent() bool {
	return r.deps.Witnesses != nil && !r.leadership.Renewed(silentAfter)
}

// decideInSilence decides on a report with the witnesses in place of the table.
//
// The table may have a record of the window by an earlier holder, unless it was found without one in this
// tenure or the window began in it.
func (r *Reporter) decideInSilence(ctx context.Context, window int64, p *pendingReport, complete bool) (*usagerecords.Record, error) {
	start := r.windows.End(window) - r.windows.Length()
	if !p.tableRead && start < r.silence.acquiredAt && r.silence.proposed[window] == nil {
		return nil, errTableUnread
	}
	record, err := r.proposal(window, complete)
	if record == nil || err != nil {
		return nil, err
	}
	r.silence.kept[window] = record
	if err := r.deps.Witnesses.Keep(ctx, window, countsOf(record)); err != nil {
		return nil, err
	}
	r.count("kept")
	r.deps.Log.Write(r.line(window).Text("outcome", "kept"))
	r.decided[window] = record
	return record, nil
}

// inherited returns the record that a holder before this one may have sent; nil if there is none. If that
// is not known, the window is not reported.
func (r *Reporter) inherited(window int64) (*usagerecords.Record, error) {
	if r.deps.Witnesses == nil {
		return nil, nil
	}
	if counts, ok := r.deps.Witnesses.Inherited(window); ok {
		named, known := r.deps.Ledger.Named(counts)
		if !known {
			return nil, errUnknownWorkspace
		}
		r.deps.Log.Write(r.line(window).Text("outcome", "inherited"))
		r.silence.proposed[window] = &usagerecords.Record{Window: window, Counts: named, Holder: r.instance}
		return r.silence.proposed[window], nil
	}
	since, blind := r.deps.Witnesses.BlindFor()
	now, _ := r.deps.SyncedTime()
	if blind && r.windows.End(window) <= now-since {
		r.done[window] = true
		r.count("unknown")
		r.deps.Log.Write(r.line(window).Text("outcome", "unknown"))
	}
	return nil, nil
}

// storeKept writes to the table what witnesses keep, once the table answers.
func (r *Reporter) storeKept(ctx context.Context) {
	if len(r.silence.kept) == 0 || r.tableSilent() || !r.leadership.Valid(0) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, window := range slices.Sorted(maps.Keys(r.silence.kept)) {
		record, rev, err := r.records.Get(ctx, window)
		if err == nil && record == nil {
			_, err = r.store(ctx, r.silence.kept[window], rev)
		}
		if err != nil {
			r.deps.Log.Write(r.line(window).Text("outcome", "unstored").Text("error", err.Error()))
			return
		}
		r.keptInTable(window)
	}
}

// keptInTable notes that the table has the record of a window.
func (r *Reporter) keptInTable(window int64) {
	delete(r.silence.kept, window)
	if r.deps.Witnesses != nil {
		r.deps.Witnesses.Stored(window)
	}
}

// yieldIfUnanswered ends the extension of the lease if this process reaches neither the table nor the
// platform, which another may.
func (r *Reporter) yieldIfUnanswered() {
	r.silence.unanswered++
	if r.silence.unanswered >= maxUnanswered && r.tableSilent() {
		r.deps.Witnesses.Yield()
	}
}

func (r *Reporter) forgetSilence(oldest int64) {
	old := func(window int64, _ *usagerecords.Record) bool { return window < oldest }
	maps.DeleteFunc(r.silence.proposed, old)
	maps.DeleteFunc(r.silence.kept, old)
	if r.deps.Witnesses != nil {
		r.deps.Witnesses.Forget(oldest)
	}
}

// countsOf returns the counts of a record, ascending by workspace.
func countsOf(record *usagerecords.Record) []carawayspread.UsageCount {
	counts := make([]carawayspread.UsageCount, 0, len(record.Counts))
	for name, n := range record.Counts {
		counts = append(counts, carawayspread.UsageCount{Workspace: carawayspread.IDOfWorkspace(name), Requests: n})
	}
	slices.SortFunc(counts, func(a, b carawayspread.UsageCount) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return counts
}
