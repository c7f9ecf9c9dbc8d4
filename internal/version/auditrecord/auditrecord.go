// Package auditrecord holds one line of the audit trail: who asked for which
// change of the configuration, when, and what became of it.
package auditrecord

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// Verdicts on what was asked for.
const (
	Accepted = "accepted"
	Refused  = "refused"
	Unknown  = "unknown" // it may have taken effect
)

// Actions that are audited.
const (
	Change = "change"
	Drain  = "drain"
)

// maxBytes keeps a record within one item of the table service.
const maxBytes = 60 << 10

// AuditRecord is one line of the audit trail. Its fields must not be modified.
type AuditRecord struct {
	At      time.Time             `json:"at"` // by the clock of the daemon that took the change
	Actor   string                `json:"actor"`
	Attempt string                `json:"attempt"`
	Action  string                `json:"action"`
	Verdict string                `json:"verdict"`
	Code    carawayspread.Code    `json:"code,omitempty"`    // of what is not accepted
	Reason  string                `json:"reason,omitempty"`  // of what is not accepted
	Against carawayspread.Version `json:"against,omitempty"` // what the operator saw
	Version carawayspread.Version `json:"version,omitempty"` // what an accepted change made
	Touches []string              `json:"touches,omitempty"`
	From    *change.Change        `json:"from,omitempty"` // would undo the change
	To      *change.Change        `json:"to,omitempty"`   // the change itself
}

// Encode returns the JSON form. Values of a change too large for one item are
// left out; what it touches stays.
func (a AuditRecord) Encode() ([]byte, error) {
	body, err := json.Marshal(a)
	if err == nil && len(body) > maxBytes {
		a.From, a.To = nil, nil
		a.Touches = a.Touches[:min(len(a.Touches), maxTouches)]
		body, err = json.Marshal(a)
	}
	return body, trace.Wrap(err)
}

// maxTouches of the longest names fit into one item.
const maxTouches = 300

// Decode reads a record from its JSON form.
func Decode(body []byte) (AuditRecord, error) {
	var a AuditRecord
	err := json.Unmarshal(body, &a)
	return a, trace.Wrap(err)
}
