// Package loads completes the load reports that an entry receives. It stores the last
// full report of each sidecar and adds its endpoints to the partial reports that
// follow.
package loads

import "carawayspread/internal/connection/control"

// maxInstances limits the number of stored full reports.
const maxInstances = 10_000

// Completer holds the last full report of each sidecar. It is not safe for concurrent use.
type Completer struct {
	full map[string]*control.LoadReport // by instance; well-formed
}

// New returns a Completer without reports.
func New() *Completer { return &Completer{full: map[string]*control.LoadReport{}} }

// Complete adds the endpoints to a report. Reports must be passed in order. It returns
// false if the report cannot be used.
//
// A lost full report may have contained a changed list of endpoints, and the loads
// that follow would be assigned to the wrong endpoints. Partial reports therefore
// refer to the full report that they follow, and are dropped until the next full
// one, a few reports later.
func (c *Completer) Complete(r *control.LoadReport) bool {
	if r.GetSinceFull() == 0 {
		return c.store(r)
	}
	full, ok := c.full[r.GetInstance()]
	if !ok || full.GetSequence()+uint64(r.GetSinceFull()) != r.GetSequence() {
		return false
	}
	r.Endpoints = full.GetEndpoints()
	return wellFormed(r)
}

func (c *Completer) store(r *control.LoadReport) bool {
	if !wellFormed(r) {
		return false
	}
	if len(c.full) >= maxInstances {
		clear(c.full)
	}
	c.full[r.GetInstance()] = r
	return true
}

func wellFormed(r *control.LoadReport) bool {
	n := len(r.GetEndpoints())
	return len(r.GetRunning()) == n && emptyOr(n, len(r.GetWaiting())) && emptyOr(n, len(r.GetFlags()))
}

func emptyOr(n, length int) bool { return length == 0 || length == n }
