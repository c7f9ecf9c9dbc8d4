package carawayspread

import "time"

// Uptime measures the time since the operating system started. Unlike the monotonic clock of
// package time it advances while the system is suspended, and unlike the wall clock it never jumps.
type Uptime interface {
	Uptime() time.Duration
}

// UptimeClock returns a Clock whose Now is the uptime, counted from the start of 1970, and whose
// After is that of timers. It is for periods that must end on time even if the system was suspended.
func UptimeClock(uptime Uptime, timers Clock) Clock { return uptimeClock{uptime, timers} }

type uptimeClock struct {
	uptime Uptime
	timers Clock
}

func (c uptimeClock) Now() time.Time                         { return time.Unix(0, 0).Add(c.uptime.Uptime()) }
func (c uptimeClock) After(d time.Duration) <-chan time.Time { return c.timers.After(d) }
