// Package adminapi holds the types of the administration API, HTTP with JSON under /admin/v1, and its
// client.
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

// HeaderActor carries the name of the operator. Changes and drains require it.
const HeaderActor = "X-Actor"

// Query parameters.
const (
	ParamAgainst = "against" // the version that the operator has seen
	ParamWait    = "wait"    // the longest time to wait until the change is in force
	ParamAfter   = "after"   // the position after which a page of a list starts
	ParamDay     = "day"     // of the audit trail, such as 2026-12-02
)

// ChangeResult is the answer to an accepted change.
type ChangeResult struct {
	Version  carawayspread.Version `json:"version"`  // made by the change
	Replaced carawayspread.Version `json:"replaced"` // the version that it was made against
	Actor    string                `json:"actor"`
	Attempt  string                `json:"attempt"`
	Touches  []string              `json:"touches"`
	RolloutStatus
}

// RolloutStatus reports in which instances a version is in force. An accepted version is never
// reverted, but is not yet in force in an instance that cannot be reached and does not hold it.
type RolloutStatus struct {
	// InForce is true if every listed instance confirmed the version.
	InForce     bool          `json:"inForce"`
	Unconfirmed []Unconfirmed `json:"unconfirmed,omitempty"`
	// ListError is the reason why the list of instances could not be read; InForce is then false.
	ListError string `json:"unlisted,omitempty"`
}

// Unconfirmed is an instance that did not confirm a version.
type Unconfirmed struct {
	Instance string                `json:"instance"`
	Version  carawayspread.Version `json:"version,omitempty"` // the version that it holds, if it answered
	Reason   string                `json:"reason"`
}

// Configuration is the answer to config show.
type Configuration struct {
	Version carawayspread.Version `json:"version"`
	// EvidenceAgeMs is the time since this was last known to be the newest version.
	EvidenceAgeMs int64          `json:"evidenceAgeMs"`
	Config        *change.Change `json:"config"`
}

// Classes is the answer to class list.
type Classes struct {
	Version carawayspread.Version `json:"version"`
	Classes []change.Class        `json:"classes"`
}

// Class is the answer to class show.
type Class struct {
	Version carawayspread.Version `json:"version"`
	Class   change.Class          `json:"class"`
}

// Workspaces is the answer to workspace list and workspace show.
type Workspaces struct {
	Version    carawayspread.Version `json:"version"`
	Workspaces []change.Workspace    `json:"workspaces"`
}

// Services is the answer to service list.
type Services struct {
	Version  carawayspread.Version `json:"version"`
	Services []change.Service      `json:"services"`
}

// Service is the answer to service show.
type Service struct {
	Version carawayspread.Version `json:"version"`
	Service change.Service        `json:"service"`
}

// CheckResult is the answer to config check.
type CheckResult struct {
	Version  carawayspread.Version `json:"version"` // the version that the change was checked against
	Findings finding.List          `json:"findings"`
}

// History is the answer to config history.
type History struct {
	Records []record.Record       `json:"records"`
	Next    carawayspread.Version `json:"next,omitempty"` // parameter after of the next page; zero at the end
}

// Audit is the answer to audit.
type Audit struct {
	Day     string                    `json:"day"`
	Records []auditrecord.AuditRecord `json:"records"`
	Next    string                    `json:"next,omitempty"` // parameter after of the next page; empty at the end
}

// Status is the answer to status.
type Status struct {
	Version carawayspread.Version `json:"version"` // held by the answering instance
	RolloutStatus
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
	Confirmed bool                        `json:"confirmed"` // holds the requested version or a newer one
	Draining  bool                        `json:"draining,omitempty"`
	Endpoints []Endpoint                  `json:"endpoints,omitempty"`
	Reason    string                      `json:"reason,omitempty"` // why it did not answer
	// EvidenceAgeMs is the time since its version was last known to be the newest.
	EvidenceAgeMs uint64 `json:"evidenceAgeMs,omitempty"`
}

// Endpoint is one worker of an instance.
type Endpoint struct {
	ID       string `json:"id"`
	Role     string `json:"role,omitempty"`
	Running  uint32 `json:"running"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	Crashed  bool   `json:"crashed,omitempty"`
}

// DrainRequest selects the endpoints that get no new work: one, or all of one instance.
type DrainRequest struct {
	Instance string `json:"instance,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// DrainResult is the answer to a drain.
type DrainResult struct {
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint,omitempty"`
	Running  uint32 `json:"running"` // requests that are still running and will be completed
}

// Fault is the JSON body of every error.
type Fault struct {
	Error FaultDetail `json:"error"`
}

// FaultDetail is an error, with what an operator needs to handle it.
type FaultDetail struct {
	Code    carawayspread.Code    `json:"code"`
	Message string                `json:"message"`
	NotRun  bool                  `json:"notRun"`            // provably had no effect
	Attempt string                `json:"attempt,omitempty"` // the token of the attempted change
	Current carawayspread.Version `json:"current,omitempty"` // the newest version known
	// Since holds the changes that were accepted after the version that the operator has seen.
	Since    []record.Record `json:"since,omitempty"`
	Findings finding.List    `json:"findings,omitempty"`
}
