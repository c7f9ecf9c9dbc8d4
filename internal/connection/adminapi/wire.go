// Package adminapi is the protocol between operators and the administration
// API: HTTP with JSON under /admin/v1.
package adminapi

import (
	"carawayspread"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/record"
)

// Prefix starts every path of the API.
const Prefix = "/admin/v1"

// HeaderActor names who asks. Changes and drains need it.
const HeaderActor = "X-Actor"

// Parameters of queries.
const (
	ParamAgainst = "against" // the version that the operator saw
	ParamWait    = "wait"    // how long to wait until the change is in force
	ParamAfter   = "after"   // continues a list
	ParamDay     = "day"     // of the audit trail, such as 2026-12-02
)

// Changed answers an accepted change.
type Changed struct {
	Version  carawayspread.Version `json:"version"`  // what the change made
	Replaced carawayspread.Version `json:"replaced"` // what it was made against
	Actor    string                `json:"actor"`
	Attempt  string                `json:"attempt"`
	Touches  []string              `json:"touches"`
	Force
}

// Force tells where a version is in force. Accepted and in force are two things:
// an accepted version never reverts, though an instance that cannot be reached
// may not have it yet.
type Force struct {
	// InForce is true where every listed instance confirmed the version.
	InForce     bool          `json:"inForce"`
	Unconfirmed []Unconfirmed `json:"unconfirmed,omitempty"`
	// Unlisted says why the list of instances could not be read; InForce is
	// then false.
	Unlisted string `json:"unlisted,omitempty"`
}

// Unconfirmed is an instance that did not confirm a version.
type Unconfirmed struct {
	Instance string                `json:"instance"`
	Version  carawayspread.Version `json:"version,omitempty"` // what it holds, if it answered
	Reason   string                `json:"reason"`
}

// Configuration answers config show.
type Configuration struct {
	Version carawayspread.Version `json:"version"`
	// EvidenceAgeMs is how long ago this was known to be the newest version.
	EvidenceAgeMs int64          `json:"evidenceAgeMs"`
	Config        *change.Change `json:"config"`
}

// Classes answers class list.
type Classes struct {
	Version carawayspread.Version `json:"version"`
	Classes []change.Class        `json:"classes"`
}

// Class answers class show.
type Class struct {
	Version carawayspread.Version `json:"version"`
	Class   change.Class          `json:"class"`
}

// Workspaces answers workspace list and workspace show.
type Workspaces struct {
	Version    carawayspread.Version `json:"version"`
	Workspaces []change.Workspace    `json:"workspaces"`
}

// Services answers service list.
type Services struct {
	Version  carawayspread.Version `json:"version"`
	Services []change.Service      `json:"services"`
}

// Service answers service show.
type Service struct {
	Version carawayspread.Version `json:"version"`
	Service change.Service        `json:"service"`
}

// Checked answers config check.
type Checked struct {
	Version  carawayspread.Version `json:"version"` // what the change was checked against
	Findings finding.List          `json:"findings"`
}

// History answers config history.
type History struct {
	Records []record.Record       `json:"records"`
	Next    carawayspread.Version `json:"next,omitempty"` // continues the list; zero at the end
}

// Audit answers audit.
type Audit struct {
	Day     string                    `json:"day"`
	Records []auditrecord.AuditRecord `json:"records"`
	Next    string                    `json:"next,omitempty"` // continues the list; empty at the end
}

// Status answers status.
type Status struct {
	Version carawayspread.Version `json:"version"` // held by the answering instance
	Force
	Instances []Instance `json:"instances"`
}

// Instance is one listed instance.
type Instance struct {
	ID        string                      `json:"id"`
	Role      carawayspread.InstanceRole  `json:"role"`
	State     carawayspread.InstanceState `json:"state"`
	Region    string                      `json:"region"`
	Zone      string                      `json:"zone"`
	Answered  bool                        `json:"answered"`
	Version   carawayspread.Version       `json:"version,omitempty"`
	Confirmed bool                        `json:"confirmed"` // holds the version asked for or a newer one
	Draining  bool                        `json:"draining,omitempty"`
	Endpoints []Endpoint                  `json:"endpoints,omitempty"`
	Reason    string                      `json:"reason,omitempty"` // why it did not answer
	// EvidenceAgeMs is how long ago its version was known to be the newest.
	EvidenceAgeMs uint64 `json:"evidenceAgeMs,omitempty"`
}

// Endpoint is one worker beside an instance.
type Endpoint struct {
	ID       string `json:"id"`
	Role     string `json:"role,omitempty"`
	Running  uint32 `json:"running"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	Crashed  bool   `json:"crashed,omitempty"`
}

// Drain asks for no new work on one endpoint, or on all of one instance.
type Drain struct {
	Instance string `json:"instance,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// Drained answers a drain.
type Drained struct {
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint,omitempty"`
	Running  uint32 `json:"running"` // requests that are still running and will finish
}

// Fault is the JSON form of every error.
type Fault struct {
	Error FaultDetail `json:"error"`
}

// FaultDetail is an error with what an operator needs to act on it.
type FaultDetail struct {
	Code    carawayspread.Code    `json:"code"`
	Message string                `json:"message"`
	NotRun  bool                  `json:"notRun"`            // proved to have had no effect
	Attempt string                `json:"attempt,omitempty"` // of a change
	Current carawayspread.Version `json:"current,omitempty"` // the newest version known
	// Since holds what was accepted after the version that the operator saw.
	Since    []record.Record `json:"since,omitempty"`
	Findings finding.List    `json:"findings,omitempty"`
}
