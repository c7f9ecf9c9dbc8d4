package carawayspread

import "context"

// RunCopy asks an engine to copy the KV memory of a request that it runs to another engine.
type RunCopy struct {
	Request  string // identifier of the caller's attempt
	From, To Endpoint
	// Stop has the run stop first. Its stream then ends without its end, and the engine keeps the memory.
	Stop bool
}

// CopyOutcome is what the answer to a RunCopy proves.
type CopyOutcome int

// Outcomes of a RunCopy.
const (
	CopyUnknown   CopyOutcome = iota // no answer, or one that proves nothing: it may have been done, or half
	CopyComplete                     // the other engine holds the memory
	CopyNoRun                        // the engine runs no such request
	CopyBusy                         // the engine is at work on an earlier call for the request
	CopyNoRoom                       // the other engine has no room, or cannot be reached
	CopyNotCalled                    // nothing was sent
)

// String returns the name of the outcome in logs and metrics.
func (o CopyOutcome) String() string {
	return [...]string{"unknown", "complete", "noRun", "busy", "noRoom", "notCalled"}[o]
}

// CopyResult is the answer to a RunCopy.
type CopyResult struct {
	Outcome CopyOutcome
	// Handle names the copy, and the memory of a run that has stopped; empty if there is neither.
	Handle string
	// Events is how many events of the answer have been generated.
	Events int
}

// RunMover copies requests that run between engines. It decides nothing, and repeats nothing.
type RunMover interface {
	// CopyRun returns once the copy is complete. The error, for the log, says why its outcome is not
	// CopyComplete.
	CopyRun(ctx context.Context, c RunCopy) (CopyResult, error)
}
