// Package leasewitness decides what a process answers as a witness of a lease, while the table that
// holds the lease may be silent.
//
// The load it is meant for: a holder asks twice a second for the length of an outage, candidates ask
// once at a take-over, and a few records of some kilobytes are kept. It keeps what it needs in memory: a
// process that starts has forgotten what its predecessor at the address said, so it answers only when
// all of that has run out.
package leasewitness

import (
	"slices"
	"time"

	"carawayspread"
)

// maxRecords bounds the records that are kept, one for each window that may still be reported.
const maxRecords = 16

// Terms are the durations that holders, candidates and witnesses of one lease agree on.
type Terms struct {
	Promise time.Duration // how long a promise lasts
	Limit   time.Duration // how long after its last renewal a holder may act on promises
}

// driftDivisor allows for clock rates that differ by 2%.
const driftDivisor = 50

// WithDrift returns the duration by any other clock whose rate differs by 2% at most.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// Witness is what a process has promised. It is not safe for concurrent use. Times are of a clock that
// continues while the system is suspended.
type Witness struct {
	terms         Terms
	started       time.Time
	promisedUntil time.Time
	// closed is the newest version under which nothing more is promised or kept.
	closed  carawayspread.LeaseVersion
	records []carawayspread.DecidedUsage
}

// New returns a witness that has promised nothing since it started.
func New(started time.Time, terms Terms) *Witness { return &Witness{terms: terms, started: started} }

// Promise reports whether the witness promises the holder under that version not to close it for
// Terms.Promise.
//
// A process that has just started may have closed this version before. Its promise would let a holder go
// on whose successor acts already, so it promises nothing until no holder of that time can go on.
func (w *Witness) Promise(now time.Time, version carawayspread.LeaseVersion) bool {
	if now.Sub(w.started) < WithDrift(w.terms.Limit) || !w.closed.Before(version) {
		return false
	}
	if until := now.Add(WithDrift(w.terms.Promise)); until.After(w.promisedUntil) {
		w.promisedUntil = until
	}
	return true
}

// Close reports whether the witness will promise and keep nothing more under that version or an older
// one. It does not while a promise lasts, or one that was given before it started may last.
func (w *Witness) Close(now time.Time, version carawayspread.LeaseVersion) bool {
	if now.Sub(w.started) < WithDrift(w.terms.Promise) || now.Before(w.promisedUntil) {
		return false
	}
	if w.closed.Before(version) {
		w.closed = version
	}
	return true
}

// Keep reports whether the witness keeps a record, which its holder sends once a majority does.
func (w *Witness) Keep(record carawayspread.DecidedUsage) bool {
	if !w.closed.Before(record.Version) {
		return false
	}
	i := slices.IndexFunc(w.records, func(r carawayspread.DecidedUsage) bool { return r.Window == record.Window })
	switch {
	case i >= 0 && record.Version.Before(w.records[i].Version):
		return false
	case i >= 0:
		w.records[i] = record
		return true
	case len(w.records) == maxRecords:
		return false
	}
	w.records = append(w.records, record)
	return true
}

// Records returns the records that are kept.
func (w *Witness) Records() []carawayspread.DecidedUsage { return slices.Clone(w.records) }

// Age returns the time since the start: of what was before, the witness knows nothing.
func (w *Witness) Age(now time.Time) time.Duration { return now.Sub(w.started) }

// Forget drops the records of windows before that one.
func (w *Witness) Forget(oldest int64) {
	w.records = slices.DeleteFunc(w.records, func(r carawayspread.DecidedUsage) bool { return r.Window < oldest })
}
