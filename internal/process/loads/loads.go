// Package loads completes the load reports that an entry receives: it keeps the
// last full report of each sidecar and adds its endpoints to those that follow.
package loads

import "carawayspread/internal/connection/control"

// knownInstances bounds the full reports that are kept.
const knownInstances = 10_000

// Completer holds the last full report of each sidecar. It is used by one goroutine.
type Completer struct {
	full map[string]*control.LoadReport // by instance; well formed
}

// New returns Loads that hold no report.
func New() *Completer { return &Completer{full: map[string]*control.LoadReport{}} }

// Complete adds the endpoints to a report, which must arrive in order; false
// when it cannot be used.
//
// Failure: a full report is lost, and with it a changed list of endpoints.
// Symptom: the loads that follow are taken for those of other endpoints. They
// name the full report that they follow, and are dropped until the next full
// one, a few reports later.
func (l *Completer) Complete(r *control.LoadReport) bool {
	if r.GetSinceFull() == 0 {
		return l.keep(r)
	}
	full, ok := l.full[r.GetInstance()]
	if !ok || full.GetSequence()+uint64(r.GetSinceFull()) != r.GetSequence() {
		return false
	}
	r.Endpoints = full.GetEndpoints()
	return wellFormed(r)
}

func (l *Completer) keep(r *control.LoadReport) bool {
	if !wellFormed(r) {
		return false
	}
	if len(l.full) >= knownInstances {
		clear(l.full)
	}
	l.full[r.GetInstance()] = r
	return true
}

func wellFormed(r *control.LoadReport) bool {
	n := len(r.GetEndpoints())
	return len(r.GetRunning()) == n && emptyOr(n, len(r.GetWaiting())) && emptyOr(n, len(r.GetFlags()))
}

func emptyOr(n, length int) bool { return length == 0 || length == n }
