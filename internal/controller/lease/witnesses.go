package lease

import (
	"context"
	"slices"
	"time"

	"carawayspread"
)

// Witnesses are processes by whose promises a holder acts on while the table is silent. Package
// leasewitnesses says why two processes never act at the same time.
type Witnesses interface {
	// Limit returns how long after its last renewal a holder may act.
	Limit() time.Duration
	// Choose returns the witnesses that the next record names, given those of the last one.
	Choose(current []string) []string
	// Pending reports whether witnesses keep records of this process that are not in the table.
	Pending() bool
	// Hold states that this process holds that version, which was renewed at since and names the
	// witnesses, and whose base term ends at baseEnd.
	Hold(version carawayspread.LeaseVersion, witnesses []string, since, baseEnd time.Time)
	// Drop states that this process may not act by promises.
	Drop()
	// Until returns until when this process may act by the promises of its last version.
	Until() time.Time
	// Close has a majority of the witnesses promise nothing more under that version, and reports
	// whether they agree.
	Close(ctx context.Context, version carawayspread.LeaseVersion, witnesses []string) bool
	// Reset states that the lease was vacant without Close.
	Reset()
}

// WithWitnesses extends the lease by promises of witnesses. Processes that do not ask them, as those of
// older releases, wait for the long term, after which nothing that the holder did can matter.
func WithWitnesses(w Witnesses, longTerm time.Duration) Option {
	return func(l *Lease) { l.witnesses, l.longTerm = w, longTerm }
}

// Renewed reports whether the lease was renewed in the table within that duration.
func (l *Lease) Renewed(within time.Duration) bool {
	t := l.held.Load()
	return t != nil && elapsed(t.since, l.clock.Now()) < within
}

// isExtended reports whether the tenure holds by promises for the margin.
//
// A record that names other witnesses may be in the table unknown to the holder. A candidate would ask
// those, so promises of the former ones count for nothing.
func (l *Lease) isExtended(t *tenure, margin time.Duration) bool {
	if l.witnesses == nil || len(t.witnesses) == 0 || t.unsettled {
		return false
	}
	now := l.clock.Now()
	return now.Add(margin).Before(l.witnesses.Until()) && elapsed(t.since, now)+margin < l.witnesses.Limit()
}

// hold stores the tenure and tells the witnesses of it.
func (l *Lease) hold(t *tenure) {
	if l.witnesses != nil {
		l.witnesses.Hold(carawayspread.LeaseVersion{Generation: t.generation, Rev: t.rev}, t.witnesses, t.since, t.since.Add(l.term))
	}
	l.held.Store(t)
}

// drop ends the tenure and returns it; nil if there was none.
func (l *Lease) drop() *tenure {
	if l.witnesses != nil {
		l.witnesses.Drop()
	}
	return l.held.Swap(nil)
}

// unsettle notes that a write which names those witnesses is about to be sent.
func (l *Lease) unsettle(t *tenure, next []string) {
	if t.unsettled || slices.Equal(t.witnesses, next) {
		return
	}
	unsettled := *t
	unsettled.unsettled = true
	l.held.Store(&unsettled)
}

func (l *Lease) hasPending() bool { return l.witnesses != nil && l.witnesses.Pending() }

func (l *Lease) chooseWitnesses(current []string) []string {
	if l.witnesses == nil {
		return nil
	}
	return l.witnesses.Choose(current)
}

// record returns the record of a tenure of this process.
func (l *Lease) record(epoch uint64, witnesses []string) leaseRecord {
	r := leaseRecord{Holder: l.holder, Epoch: epoch, TermMs: l.term.Milliseconds()}
	if len(witnesses) > 0 {
		r.Witnesses, r.BaseMs, r.TermMs = witnesses, l.term.Milliseconds(), l.longTerm.Milliseconds()
		r.Generation = l.generation
	}
	return r
}

// vacated reports whether the base term of the record is over and its holder can no longer act, as a
// majority of its witnesses agrees.
func (l *Lease) vacated(ctx context.Context, item carawayspread.Item, record leaseRecord) bool {
	base := time.Duration(record.BaseMs) * time.Millisecond
	if l.witnesses == nil || record.Holder == "" || base <= 0 || l.clock.Now().Sub(l.lastSeen.at) < base+base/driftDivisor {
		return false
	}
	return l.witnesses.Close(ctx, carawayspread.LeaseVersion{Generation: l.generation, Rev: item.Rev}, record.Witnesses)
}

// writtenSinceRestore reports whether a record with witnesses was written after the last restore. Its
// holder has waited for those of before, so the terms of the record are all that counts.
func (l *Lease) writtenSinceRestore(record leaseRecord) bool {
	return l.witnesses != nil && len(record.Witnesses) > 0 && record.Generation == l.generation
}

// noteFormerHolder notes after a restore whether this process was the holder. With witnesses it must
// have held the lease until now: else another may hold it that knows nothing of the restore.
func (l *Lease) noteFormerHolder(t *tenure) {
	if t == nil {
		return
	}
	valid := elapsed(t.since, l.clock.Now()) < l.term || l.isExtended(t, 0)
	if l.witnesses == nil || valid {
		l.wasHolder = true
	}
	if l.witnesses != nil {
		l.witnesses.Drop()
	}
}
