// Package neverejects lets every endpoint receive work. It is the baseline that other ejectors are
// compared with.
package neverejects

import (
	"time"

	"carawayspread"
)

// Ejector is a carawayspread.Ejector that ejects no endpoint.
type Ejector struct{}

var _ = carawayspread.Ejectors.Register("never", func(carawayspread.Environment) carawayspread.Ejector {
	return Ejector{}
})

// SetEndpoints does nothing.
func (Ejector) SetEndpoints([]carawayspread.EndpointID) {}

// Observe does nothing.
func (Ejector) Observe(carawayspread.EndpointID, time.Duration, carawayspread.Outcome) {}

// Allowed returns true.
func (Ejector) Allowed(carawayspread.EndpointID) bool { return true }

// Sent does nothing.
func (Ejector) Sent(carawayspread.EndpointID) {}
