package carawayspread

import "time"

// Cost is the work of one request, in tokens.
type Cost struct {
	Prefill int // tokens of the prompt that are not expected in a prefix cache; not negative
	Decode  int // tokens of the answer, expected or counted; not negative
}

// Job is what the decision modules know of one request.
//
// A Job is filled by the entry before it is offered and not modified after.
type Job struct {
	ID        string
	Workspace string
	Service   string
	Model     string // empty for plain services
	Class     Class
	Arrived   time.Time
	Deadline  time.Time // the caller's own; zero means none
	Cost      Cost
	// Phase is the part of the work that an attempt asks for: RolePrefill when
	// another engine may take over the answer, RoleDecode for that one. Empty
	// means the whole.
	Phase Role
	// Prefix is the hash of the leading part of the prompt, for cache locality.
	Prefix uint64
	// Fingerprint is the hash of workspace, path and whole body: the same for
	// every copy of the request that its caller sends.
	Fingerprint uint64
}

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeServed      Outcome = iota // whole answer
	OutcomeRefused                    // proved not run
	OutcomeFailed                     // ran or may have run, no whole answer
	OutcomeCrashed                    // the endpoint crashed while it ran
	OutcomeCancelled                  // the caller went away
	OutcomeUnreachable                // proved not run, as nothing could be sent
)
