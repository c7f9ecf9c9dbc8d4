// Package authentication decides whether a request may run for the API key that it
// carries.
//
// Load pattern: keys are added and taken away while processes are cut off from the
// platform's store, suspended, or behind. Without a bound on the age of its
// knowledge a process runs requests under a key that was revoked long ago, or turns
// a key away for good that was added a moment before.
package authentication

import (
	"time"

	"carawayspread"
)

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	// Accept lets the request run for its workspace.
	Accept Verdict = iota
	// Reject says that no workspace holds the key.
	Reject
	// Unproven says that the key is known and may have been revoked.
	Unproven
	// Unknown says that the key is not known here and may have been added.
	Unknown
)

// Policy holds what operators are promised.
type Policy struct {
	// Revoked is the time from an accepted revocation after which nothing that is
	// sent runs; zero where none is promised.
	Revoked time.Duration
	// Added is the time from its acceptance after which an added key works everywhere;
	// zero where none is promised.
	Added time.Duration
}

// Query is what a decision on one request goes by.
type Query struct {
	Keyring *carawayspread.Keyring
	Token   string        // empty where the request carries none that could be a key
	Age     time.Duration // upper bound of the age of the keyring; ignored unless Known
	Known   bool          // whether Age bounds anything
	// Current says that the store was asked for a newer keyring after the request had
	// arrived, and has answered.
	Current bool
	// Rejected says that nobody held the key when the store was asked for it before.
	Rejected bool
}

// Decide returns the workspace and whether the request may run for it.
//
// The age counts until now and the request was sent before it arrived, so a key
// that passes was not revoked longer ago than promised when the request was sent. A key
// that was rejected before is rejected again without a question while the keyring is
// newer than added keys are promised to work.
func (p Policy) Decide(q Query) (carawayspread.Workspace, Verdict) {
	workspace, held := q.Keyring.Workspace(q.Token)
	switch {
	case q.Token == "":
		return workspace, Reject
	case held && p.Revoked > 0 && (!q.Known || q.Age > p.Revoked):
		return carawayspread.Workspace{}, Unproven
	case held:
		return workspace, Accept
	case q.Current, q.Rejected && q.Known && q.Age <= p.Added:
		return workspace, Reject
	}
	return workspace, Unknown
}
