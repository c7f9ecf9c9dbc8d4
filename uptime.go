package carawayspread

import "time"

// Uptime tells the time since the machine started. Unlike the monotonic clock of
// package time it goes on while the machine is suspended, and unlike the time of
// day it never jumps.
type Uptime interface {
	Uptime() time.Duration
}

// UptimeClock returns a Clock that shows the uptime, counted from the start of
// 1970. It is for what must end on time although the machine was suspended.
func UptimeClock(uptime Uptime, waits Clock) Clock { return uptimeClock{uptime, waits} }

type uptimeClock struct {
	uptime Uptime
	waits  Clock
}

func (c uptimeClock) Now() time.Time                         { return time.Unix(0, 0).Add(c.uptime.Uptime()) }
func (c uptimeClock) After(d time.Duration) <-chan time.Time { return c.waits.After(d) }
