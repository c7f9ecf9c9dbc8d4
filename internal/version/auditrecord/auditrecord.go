// Package auditrecord holds one record of the audit trail: who requested which change of the
// configuration or other action, when, and with which outcome.
package auditrecord

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// Verdicts on a requested action.
const (
	Accepted = "accepted"
	Refused  = "refused"
	Unknown  = "unknown" // the action may have taken effect
)

// Actions that are audited.
const (
	Change = "change"
	Drain  = "drain"
)

// maxBytes keeps a record within one item of the table service.
const maxBytes = 60 << 10

// AuditRecord is one record of the audit trail. Its fields must not be modified.
type AuditRecord struct {
	At      time.Time             `json:"at"` // by the clock of the daemon that received the request
	Actor   string                `json:"actor"`
	Attempt string                `json:"attempt"`
	Action  string                `json:"action"`
	Verdict string                `json:"verdict"`
	Code    carawayspread.Code    `json:"code,omitempty"`    // unless accepted
	Reason  string                `json:"reason,omitempty"`  // unless accepted
	Against carawayspread.Version `json:"against,omitempty"` // the version that the operator saw
	Version carawayspread.Version `json:"version,omitempty"` // the version that an accepted change made
	Touches []string              `json:"touches,omitempty"`
	From    *change.Change        `json:"from,omitempty"` // the change that undoes To
	To      *change.Change        `json:"to,omitempty"`   // the change itself
}

// Encode returns the JSON form. If the record is too large for one item, the values of the change
// are omitted and the list of what it touches is cut to maxTouches.
func (a AuditRecord) Encode() ([]byte, error) {
	body, err := json.Marshal(a)
	if err == nil && len(body) > maxBytes {
		a.From, a.To = nil, nil
		a.Touches = a.Touches[:min(len(a.Touches), maxTouches)]
		body, err = json.Marshal(a)
	}
	return body, trace.Wrap(err)
}

// maxTouches is a number of touched values that fits into one item even with the longest names.
const maxTouches = 300

// Decode reads a record from its JSON form.
func Decode(body []byte) (AuditRecord, error) {
	var a AuditRecord
	err := json.Unmarshal(body, &a)
	return a, trace.Wrap(err)
}
