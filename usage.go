package carawayspread

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"time"
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

// workspaceBits is the size of a WorkspaceID. Two of 6,800 names share one with a
// chance of 2 in 100,000.
const workspaceBits = 40

// WorkspaceID stands for the name of a workspace in messages between processes.
type WorkspaceID uint64

// IDOfWorkspace returns the identifier that all processes give that name.
func IDOfWorkspace(name string) WorkspaceID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return WorkspaceID(h.Sum64() >> (64 - workspaceBits))
}

// UsageCount is how many requests of a workspace began to run.
type UsageCount struct {
	Workspace WorkspaceID
	Requests  uint64
}

// UsageStatement is what one process counted in one window. Counts only grow, so
// that statements may be lost, repeated and reordered.
type UsageStatement struct {
	Process uint64 // drawn at its start
	Window  int64
	// Closed says that no more will be counted, and that Total is the sum of all
	// counts of the window, those of other statements included.
	Closed bool
	Total  uint64
	Counts []UsageCount
}

// UsageWindows are the windows of usage and when their reports are due. They are
// immutable.
type UsageWindows struct {
	length time.Duration
	due    time.Duration
}

// NewUsageTerms returns the terms of windows of that length, whose reports are due so
// long after their end. Both are positive.
func NewUsageTerms(length, due time.Duration) UsageWindows { return UsageWindows{length, due} }

// Length returns the length of a window.
func (t UsageWindows) Length() time.Duration { return t.length }

// Window returns the window of a moment, given as time since the start of 1970.
func (t UsageWindows) Window(at time.Duration) int64 { return int64(at / t.length) }

// End returns the end of a window, as time since the start of 1970.
func (t UsageWindows) End(window int64) time.Duration { return time.Duration(window+1) * t.length }

// Due returns when the report of a window is due, as time since the start of 1970.
func (t UsageWindows) Due(window int64) time.Duration { return t.End(window) + t.due }

// RetainedWindows returns for how many windows counts are kept: until no report counts any more.
func (t UsageWindows) RetainedWindows() int64 { return int64(t.due/t.length) + 2 }
