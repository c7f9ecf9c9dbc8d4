package carawayspread

import (
	"context"
	"time"
)

// ConfigFreshness says how old a process's knowledge of the configuration can be.
type ConfigFreshness interface {
	// Age returns an upper bound of the time since the configuration in use was
	// the newest; false where nothing is known.
	Age() (time.Duration, bool)
	// Refresh asks the platform's store whether there is a newer one, and takes it.
	// It returns ErrTooSoon without a call where the last question was too recent.
	Refresh(ctx context.Context) error
}
