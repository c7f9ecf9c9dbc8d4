// Package routingcheck checks a configuration of routes before it is accepted.
//
// A process that adopts a configuration with an entry that nothing can match serves callers as if the entry
// were not there, and none of them learns why. The check reports such entries, limits that contradict each
// other and what would change, while nothing depends on them yet.
package routingcheck

import (
	"carawayspread"
	"carawayspread/internal/version/finding"
)

// Entry is one entry of a configuration with its place.
type Entry[T any] struct {
	Value T
	// Place returns the position of the entry. It is called for findings only, as it counts lines.
	Place func() finding.Place
}

// Draft is a configuration that is not accepted yet. Its fields must not be modified afterwards.
type Draft struct {
	Version  carawayspread.Version
	Routes   []Entry[*carawayspread.Route]
	Services []Entry[carawayspread.RoutedService]
	// Workspaces hold the API keys; Keyed says that routes which are not anonymous need one.
	Workspaces []Entry[carawayspread.KeyHolder]
	Keyed      bool
	Limits     carawayspread.CallerLimits
	// Place returns the position of the configuration itself.
	Place func() finding.Place
}

// Findings are what the check found. Errors keep requests from being served as stated; warnings are entries that
// have no effect, or limits that contradict each other.
type Findings struct{ Errors, Warnings finding.List }

// Sort orders both lists by place.
func (f *Findings) Sort() {
	f.Errors.Sort()
	f.Warnings.Sort()
}
