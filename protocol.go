package carawayspread

import (
	"net/http"
	"time"
)

// RequestMetadata is what the headers of a caller's request state about it.
type RequestMetadata struct {
	ID          string        // of this attempt of the caller; empty if it sent none
	TimeLeft    time.Duration // how long the caller waits; zero if it does not say
	Prompt      *Prompt       // nil if there is none
	LastEventID string        // the last event that the caller has; empty from the start
	Resumes     string        // identifier of the attempt that brought the first event which the caller has; empty if it says none
}

// Phase is the part of an engine's work that an attempt requests.
type Phase int

// Phases of an attempt.
const (
	PhaseWhole   Phase = iota // prefill and decode
	PhasePrefill              // prefill and keep the KV cache
	PhaseDecode               // decode from the KV cache of another engine
)

// String returns the name of the phase in logs and metrics.
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

// Handover identifies a KV cache that one engine holds for another.
type Handover struct {
	Handle string
	From   Endpoint
}

// Attempt is what the system tells an endpoint in addition to the caller's request.
type Attempt struct {
	To          Endpoint
	TimeLeft    time.Duration
	Phase       Phase
	Handover    Handover  // for PhaseDecode
	Reservation string    // of a slot and KV memory at the endpoint; empty if there is none
	FetchFrom   *Endpoint // holds more of the prompt in its cache; nil if none does, and for PhaseDecode
	LastEventID string    // the last event that the caller has; empty from the start
	Priority    int       // 0 is the most urgent
	// Backup is the engine to which the KV memory of the run is copied as it grows; nil if there is none.
	Backup *Endpoint
	// Workspace is the one that the caller's API key belongs to; empty if unknown.
	Workspace string
}

// ReplyKind is what a reply proves about the request.
type ReplyKind int

// Kinds of replies.
const (
	// ReplyAnswer is the endpoint's own answer to this request.
	ReplyAnswer ReplyKind = iota
	// ReplyNotRun proves that the endpoint has not run the request.
	ReplyNotRun
	// ReplyWrongEndpoint proves that another endpoint has the address now.
	ReplyWrongEndpoint
	// ReplyInconclusive is not an answer to this request; whether the request ran is unknown.
	ReplyInconclusive
)

// Protocol translates between the messages of callers and endpoints and the types of this package.
// It makes no decisions.
type Protocol interface {
	// ParseRequest reads the metadata of a request from its headers. Malformed values are ignored.
	ParseRequest(h http.Header) RequestMetadata
	// SetAttemptHeaders sets the headers that this system sends to an endpoint, and removes those
	// with the same names that the caller sent.
	SetAttemptHeaders(h http.Header, a Attempt)
	// ClassifyReply returns what a reply to an attempt of the request with that identifier proves.
	ClassifyReply(r *Reply, id string, phase Phase) ReplyKind
	// EchoedID returns the identifier of the request that a reply says it answers; empty if it names none.
	EchoedID(r *Reply) string
	// ParseFeedback reads what the reply states about its endpoint. If a header is malformed, it
	// returns the zero Feedback and an error that names the header.
	ParseFeedback(r *Reply) (Feedback, error)
	// ParseHandover reads the body of the answer to an attempt of PhasePrefill.
	ParseHandover(body []byte, from Endpoint) (Handover, error)
	// ReleaseKV returns the request that frees a KV cache that no engine has taken over.
	ReleaseKV(h Handover) Outbound
	// Reserve returns the request that reserves a slot and KV memory at an engine for that long.
	Reserve(at Endpoint, tokens int, d time.Duration) Outbound
	// ParseReservation reads the reservation in the answer to it; an error if there is none.
	ParseReservation(r *Reply) (string, error)
	// ReleaseReservation returns the request that gives up a reservation.
	ReleaseReservation(at Endpoint, reservation string) Outbound
	// BackupHandover returns what an engine that was the Backup of an attempt of the request holds of it.
	BackupHandover(at Endpoint, request string) Handover
	// WriteError writes the error to the caller as the final answer.
	WriteError(w http.ResponseWriter, err *Error)
}
