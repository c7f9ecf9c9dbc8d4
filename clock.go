package carawayspread

import "time"

// Clock returns the current time and signals when a duration has passed.
//
// Code that depends on time takes a Clock instead of calling package time, so that tests can
// advance the time themselves. The clocks of package clockwork implement it.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{}

// SystemClock returns a Clock backed by package time.
func SystemClock() Clock { return systemClock{} }

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
