package carawayspread

import (
	"context"
	"errors"
)

// ErrFenced says that a call carried an outdated fencing number and had no effect.
var ErrFenced = errors.New("a higher fencing number was seen")

// UsageReport is the number of requests of each workspace that began to run in one
// window of true time. Once sent, the counts of a window never change.
type UsageReport struct {
	Window int64 // number of the window: it begins Window times its length after the start of 1970
	Counts map[string]uint64
}

// UsageSink takes reports of one holder at a time.
type UsageSink interface {
	// Report hands in a report under the fencing number. ErrFenced says that it was
	// refused for its number; any other error leaves open whether it was taken, now
	// or later.
	Report(ctx context.Context, fence uint64, r UsageReport) error
}
