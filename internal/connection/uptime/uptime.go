// Package uptime reads the kernel's clock that also advances while the system is suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"

	"carawayspread"
)

// Clock is the kernel's CLOCK_BOOTTIME.
type Clock struct{}

var _ carawayspread.Uptime = Clock{}

// Uptime returns the time since the operating system started.
func (Clock) Uptime() time.Duration {
	var now unix.Timespec
	// The call fails only for an unknown clock or an invalid address.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Duration(now.Nano())
}
