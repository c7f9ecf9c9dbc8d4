package carawayspread

import "time"

// Clock tells the time and wakes its caller later.
//
// Code that decides or waits takes a Clock instead of calling package time, so
// that tests advance time themselves. The clocks of clockwork satisfy it.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{}

// SystemClock returns the clock of the operating system.
func SystemClock() Clock { return systemClock{} }

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
