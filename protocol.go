package carawayspread

import (
	"net/http"
	"time"
)

// RequestMetadata is what a caller's request says of itself beside its bytes.
type RequestMetadata struct {
	ID          string        // of this attempt of the caller; empty where it sent none
	TimeLeft    time.Duration // how long the caller waits; zero where it does not say
	Prompt      *Prompt       // nil where there is none
	LastEventID string        // the last event that the caller has; empty from the start
}

// Phase is the part of an engine's work that an attempt asks for.
type Phase int

// Phases of an attempt.
const (
	PhaseWhole   Phase = iota // read the prompt and answer
	PhasePrefill              // read the prompt and keep its KV cache
	PhaseDecode               // take over a KV cache and answer
)

// String names the phase in logs and metrics.
func (p Phase) String() string {
	switch p {
	case PhasePrefill:
		return "read"
	case PhaseDecode:
		return "continue"
	default:
		return "whole"
	}
}

// Handover names a KV cache that one engine keeps for another.
type Handover struct {
	Handle string
	From   Endpoint
}

// Attempt is what an endpoint is told beside the caller's own words.
type Attempt struct {
	To          Endpoint
	TimeLeft    time.Duration
	Phase       Phase
	Handover    Handover  // for PhaseDecode
	FetchFrom   *Endpoint // that holds more of the prompt; nil for none, or for PhaseDecode
	LastEventID string    // the last event that the caller has; empty from the start
	Priority    int       // 0 is the most urgent
	// Workspace is that of the caller's API key; empty where it is not known.
	Workspace string
}

// ReplyKind says what a reply proves.
type ReplyKind int

// Verdicts on replies.
const (
	// ReplyAnswer is the endpoint's own answer to this request.
	ReplyAnswer ReplyKind = iota
	// ReplyNotRun proves that the endpoint has not run the request.
	ReplyNotRun
	// ReplyWrongEndpoint proves that another endpoint has the address.
	ReplyWrongEndpoint
	// ReplyInconclusive is no answer to this request; it leaves its fate open.
	ReplyInconclusive
)

// Protocol translates between the messages of callers and endpoints and the
// words of this package. It decides nothing.
type Protocol interface {
	// ParseRequest reads what the header says. Malformed values are left out.
	ParseRequest(h http.Header) RequestMetadata
	// SetAttemptHeaders sets the headers that this system sets for an endpoint, and
	// removes those of their names that a caller sent.
	SetAttemptHeaders(h http.Header, a Attempt)
	// ClassifyReply tells what a reply to an attempt of the request with that
	// identifier proves.
	ClassifyReply(r *Reply, id string, phase Phase) ReplyKind
	// ParseFeedback reads what the reply says of its endpoint. An error names the header
	// that cannot be read; the reply then says nothing.
	ParseFeedback(r *Reply) (Feedback, error)
	// ParseHandover reads the answer to an attempt of PhasePrefill.
	ParseHandover(body []byte, from Endpoint) (Handover, error)
	// ReleaseKV returns the request that frees a KV cache nobody took.
	ReleaseKV(h Handover) Outbound
	// WriteError writes a final answer of this system's own.
	WriteError(w http.ResponseWriter, err *Error)
}
