package carawayspread

import (
	"context"
	"time"
)

// ConfigFreshness bounds how outdated the configuration of a process can be.
type ConfigFreshness interface {
	// Age returns an upper bound of the time since the configuration in use was known to be the
	// newest; false if nothing is known.
	Age() (time.Duration, bool)
	// Refresh queries the platform's store for a newer configuration and adopts it. It returns
	// ErrTooSoon, without a call, if the last query was too recent.
	Refresh(ctx context.Context) error
}
