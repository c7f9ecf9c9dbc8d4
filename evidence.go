package carawayspread

import (
	"context"
	"time"
)

// Evidence says how old a process's knowledge of the configuration can be.
type Evidence interface {
	// Age returns an upper bound of the time since the configuration in use was
	// the newest; false where nothing is known.
	Age() (time.Duration, bool)
	// Refresh asks the platform's store whether there is a newer one, and takes it.
	// It returns ErrBusy without a call where the last question was too recent.
	Refresh(ctx context.Context) error
}
