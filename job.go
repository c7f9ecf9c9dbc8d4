package carawayspread

import "time"

// Cost is the work of one request, in tokens.
type Cost struct {
	Prefill int // prompt tokens that are not expected in a prefix cache; not negative
	Decode  int // output tokens, expected or counted; not negative
}

// Job is one request as the decision modules see it.
//
// The entry fills a Job before it is offered to the Scheduler; it is not modified afterwards.
type Job struct {
	ID        string
	Workspace string
	Service   string
	Model     string // empty for plain services
	Class     Class
	Arrived   time.Time
	Deadline  time.Time // set by the caller; zero if none
	Cost      Cost
	// Phase is the part of the work that an attempt requests: RolePrefill if another engine may
	// decode, RoleDecode for the attempt at that engine. Empty means both.
	Phase Role
	// Prefix is the hash of the leading part of the prompt, for prefix cache affinity.
	Prefix uint64
	// Parts are hashes of the parts of the prompt that other prompts may share.
	Parts []uint64
	// Fingerprint is the hash of workspace, path and whole body. It is the same for all copies of
	// the request that its caller sends.
	Fingerprint uint64
}

// Outcome is the result of one attempt.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeServed      Outcome = iota // complete answer
	OutcomeRefused                    // proven not run
	OutcomeFailed                     // ran or may have run, without a complete answer
	OutcomeCrashed                    // the endpoint crashed while the attempt ran
	OutcomeCancelled                  // the caller disconnected
	OutcomeUnreachable                // proven not run, as nothing could be sent
)
