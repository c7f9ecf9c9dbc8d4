package carawayspread

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"time"
)

// ErrFenced means that a call carried an outdated fencing token and had no effect.
var ErrFenced = errors.New("a higher fencing token was seen")

// UsageReport is the number of requests of each workspace that started to run in one window of
// synchronized time. Once a report is sent, the counts of its window never change.
type UsageReport struct {
	Window int64 // number of the window, which begins at Window times the window length after the start of 1970
	Counts map[string]uint64
}

// UsageSink accepts usage reports from one lease holder at a time.
type UsageSink interface {
	// Report submits a report with the fencing token. ErrFenced means that the token was rejected
	// as outdated; after any other error the report may or may not have been accepted, or may
	// still be.
	Report(ctx context.Context, fence uint64, r UsageReport) error
}

// workspaceBits is the size of a WorkspaceID. Among 6,800 names, the probability of a collision is
// 2 in 100,000.
const workspaceBits = 40

// WorkspaceID is the hash of a workspace's name that messages between processes carry.
type WorkspaceID uint64

// IDOfWorkspace returns the identifier of the workspace; all processes derive the same one.
func IDOfWorkspace(name string) WorkspaceID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return WorkspaceID(h.Sum64() >> (64 - workspaceBits))
}

// UsageCount is the number of requests of a workspace that started to run.
type UsageCount struct {
	Workspace WorkspaceID
	Requests  uint64
}

// UsageStatement holds the counts of one process for one window. Counts only grow, so statements
// may be lost, repeated and reordered.
type UsageStatement struct {
	Process uint64 // random identifier, chosen when the process starts
	Window  int64
	// Closed says that the counts are final and that Total is the sum of all the process's counts
	// for the window, including those in other statements.
	Closed bool
	Total  uint64
	Counts []UsageCount
}

// UsageWindows defines the windows of usage reports and when the reports are due. It is immutable.
type UsageWindows struct {
	length time.Duration
	due    time.Duration
}

// NewUsageWindows returns windows of that length, whose reports are due that long after the end of
// the window. Both durations must be positive.
func NewUsageWindows(length, due time.Duration) UsageWindows { return UsageWindows{length, due} }

// Length returns the length of a window.
func (t UsageWindows) Length() time.Duration { return t.length }

// Window returns the window at a point in time, given as the time since the start of 1970.
func (t UsageWindows) Window(at time.Duration) int64 { return int64(at / t.length) }

// End returns the end of a window, as the time since the start of 1970.
func (t UsageWindows) End(window int64) time.Duration { return time.Duration(window+1) * t.length }

// Due returns when the report of a window is due, as the time since the start of 1970.
func (t UsageWindows) Due(window int64) time.Duration { return t.End(window) + t.due }

// RetainedWindows returns for how many windows the counts are kept: until their reports can no
// longer be due.
func (t UsageWindows) RetainedWindows() int64 { return int64(t.due/t.length) + 2 }
