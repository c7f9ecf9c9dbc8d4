// Package leaseextension decides for how long the holder of a lease may act after its base term, by the
// promises of a majority of its witnesses.
//
// The load it is meant for: a table that answers nobody for up to the limit, while two questions a second
// go to a few witnesses, of which some are gone and some answers are lost.
package leaseextension

import (
	"slices"
	"time"
)

// Extension is the extension of one version of a lease. It is not safe for concurrent use.
//
// It has no gap: a promise counts only as long as what was promised before lasts, from the base term on.
// A candidate that finds a majority without promises may therefore conclude that the holder has stopped
// for good, until it renews in the table.
type Extension struct {
	witnesses []string
	until     time.Time
	limit     time.Time
	promised  map[string]time.Time
}

// New returns the extension of a base term that ends then, up to the limit.
func New(witnesses []string, baseEnd, limit time.Time) *Extension {
	return &Extension{witnesses: witnesses, until: baseEnd, limit: limit, promised: map[string]time.Time{}}
}

// Majority returns how many of n witnesses are a majority.
func Majority(n int) int { return n/2 + 1 }

// Promised records a promise that arrived now and lasts until then, counted from before it was asked for.
func (e *Extension) Promised(witness string, until, now time.Time) {
	if !slices.Contains(e.witnesses, witness) || !now.Before(e.until) {
		return
	}
	if until.After(e.promised[witness]) {
		e.promised[witness] = until
	}
	ends := make([]time.Time, 0, len(e.promised))
	for _, end := range e.promised {
		ends = append(ends, end)
	}
	majority := Majority(len(e.witnesses))
	if len(ends) < majority {
		return
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	end := ends[majority-1]
	if end.After(e.limit) {
		end = e.limit
	}
	if end.After(e.until) {
		e.until = end
	}
}

// Until returns until when the holder may act.
func (e *Extension) Until() time.Time { return e.until }
