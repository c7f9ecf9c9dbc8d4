// Package authentication decides whether a request may run under the API key that it
// carries.
//
// Keys are added and revoked while processes are partitioned from the platform's store,
// suspended or lagging. Without a bound on the age of its keyring, a process runs requests
// under a key that was revoked long ago, or permanently rejects a key that was added a
// moment before.
package authentication

import (
	"time"

	"carawayspread"
)

// Verdict is the result of the decision on a request.
type Verdict int

// Verdicts.
const (
	// Accept lets the request run for its workspace.
	Accept Verdict = iota
	// Reject means that no workspace holds the key.
	Reject
	// Unproven means that the key is in the keyring but may have been revoked since.
	Unproven
	// Unknown means that the key is not in the keyring but may have been added since.
	Unknown
)

// Policy holds the bounds that operators are guaranteed.
type Policy struct {
	// RevocationBound is the time after an accepted revocation from which on no request that
	// is sent under the key runs; zero means no guarantee.
	RevocationBound time.Duration
	// ActivationBound is the time after its acceptance from which on a new key works in all
	// processes; zero means no guarantee.
	ActivationBound time.Duration
}

// Query is the input of the decision on one request.
type Query struct {
	Keyring  *carawayspread.Keyring
	Token    string        // empty if the request carries no well-formed key
	Age      time.Duration // upper bound of the age of the keyring; ignored unless AgeKnown
	AgeKnown bool          // whether Age is valid
	// Current reports that the store was queried for a newer keyring after the request
	// arrived, and has answered.
	Current bool
	// Rejected reports that no workspace held the key at an earlier query of the store.
	Rejected bool
}

// Decide returns the workspace and whether the request may run for it.
//
// The age is measured up to now and the request was sent before it arrived, so a key that
// is accepted was not revoked longer than RevocationBound before the request was sent. A key that
// was rejected before is rejected again without a query of the store while the keyring is
// no older than ActivationBound.
func (p Policy) Decide(q Query) (carawayspread.Workspace, Verdict) {
	workspace, held := q.Keyring.Workspace(q.Token)
	switch {
	case q.Token == "":
		return workspace, Reject
	case held && p.RevocationBound > 0 && (!q.AgeKnown || q.Age > p.RevocationBound):
		return carawayspread.Workspace{}, Unproven
	case held:
		return workspace, Accept
	case q.Current, q.Rejected && q.AgeKnown && q.Age <= p.ActivationBound:
		return workspace, Reject
	}
	return workspace, Unknown
}
