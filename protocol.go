package carawayspread

import (
	"net/http"
	"time"
)

// Ask is what a caller's request says of itself beside its bytes.
type Ask struct {
	ID      string        // of this attempt of the caller; empty where it sent none
	Left    time.Duration // how long the caller waits; zero where it does not say
	Prompt  *Prompt       // nil where there is none
	Resumed string        // the last event that the caller has; empty from the start
}

// Phase is the part of an engine's work that an attempt asks for.
type Phase int

// Phases of an attempt.
const (
	PhaseWhole    Phase = iota // read the prompt and answer
	PhaseRead                  // read the prompt and keep its KV cache
	PhaseContinue              // take over a KV cache and answer
)

// String names the phase in logs and metrics.
func (p Phase) String() string {
	switch p {
	case PhaseRead:
		return "read"
	case PhaseContinue:
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
	To       Endpoint
	Left     time.Duration
	Phase    Phase
	Handover Handover  // for PhaseContinue
	Fetch    *Endpoint // that holds more of the prompt; nil for none, or for PhaseContinue
	Resume   string    // the last event that the caller has; empty from the start
	Priority int       // 0 is the most urgent
	// Workspace is that of the caller's API key; empty where it is not known.
	Workspace string
}

// Verdict says what a reply proves.
type Verdict int

// Verdicts on replies.
const (
	// VerdictAnswer is the endpoint's own answer to this request.
	VerdictAnswer Verdict = iota
	// VerdictNotRun proves that the endpoint has not run the request.
	VerdictNotRun
	// VerdictStranger proves that another endpoint has the address.
	VerdictStranger
	// VerdictForeign is no answer to this request; it leaves its fate open.
	VerdictForeign
)

// Protocol translates between the messages of callers and endpoints and the
// words of this package. It decides nothing.
type Protocol interface {
	// Ask reads what the header says. Malformed values are left out.
	Ask(h http.Header) Ask
	// Instruct sets the headers that this system sets for an endpoint, and
	// removes those of their names that a caller sent.
	Instruct(h http.Header, a Attempt)
	// Judge tells what a reply to an attempt of the request with that
	// identifier proves.
	Judge(r *Reply, id string, phase Phase) Verdict
	// Feedback reads what the reply says of its endpoint. An error names the header
	// that cannot be read; the reply then says nothing.
	Feedback(r *Reply) (Feedback, error)
	// Handover reads the answer to an attempt of PhaseRead.
	Handover(body []byte, from Endpoint) (Handover, error)
	// Forget returns the request that frees a KV cache nobody took.
	Forget(h Handover) Outbound
	// Refuse writes a final answer of this system's own.
	Refuse(w http.ResponseWriter, err *Error)
}
