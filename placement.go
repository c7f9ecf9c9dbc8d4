package carawayspread

import (
	"errors"
	"time"
)

// Placers is the registry of placers.
var Placers = NewRegistry[func(Environment) Placer]("estimate")

// PlacementRequest is one request as a Placer sees it.
type PlacementRequest struct {
	Route    *Route
	Service  RoutedService
	Prompt   *Prompt // nil for plain services
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's deadline
	// TargetMissed says that the target has passed already, because the caller retries after a
	// refusal.
	TargetMissed bool
	// Exclude holds the endpoints that must not get this request again.
	Exclude map[EndpointID]bool
	Bytes   int // size of the request, to price its transfer to another availability zone
	// Fingerprint is the same for all copies of the request.
	Fingerprint uint64
	// PrefilledBy is the endpoint that has prefilled the prompt and holds its KV cache; empty if
	// none has.
	PrefilledBy EndpointID
	// SingleEndpoint requires one endpoint for both prefill and decode.
	SingleEndpoint bool
	// Build is the only build whose endpoints may generate the answer, since a part of it was generated
	// there; zero if any may. The prompt may be prefilled elsewhere.
	Build BuildID
	// Admitted says that the request was admitted before: it is not refused for missing its target.
	Admitted bool
	// Repeated says that Place was called for the request before: it has not arrived again.
	Repeated bool
	// Admission counts the request since an earlier call of Place; nil if none has admitted it.
	Admission AdmissionTracker
}

// Placement is the endpoint that is chosen for a request, with the expected times and cache hits.
type Placement struct {
	Endpoint Endpoint
	// PrefillOnly says that the endpoint only prefills the prompt. The endpoint that decodes is
	// chosen after that, by a call of Place with PrefilledBy set.
	PrefillOnly bool
	// TimeToFirstEvent is the expected time from now to the first event, or to the answer of a
	// plain service.
	TimeToFirstEvent time.Duration
	// PrefillTime is how long the prefill is expected to take at the endpoint, and QueueTime how
	// long it is expected to wait for the prefills queued before it.
	PrefillTime, QueueTime time.Duration
	// CachedTokens is how many tokens of the prompt the endpoint is expected to have in its prefix
	// cache, including those that it gets from FetchFrom.
	CachedTokens int
	// FetchFrom is another endpoint whose cache holds more of the prompt, and FetchTime the
	// expected duration of the transfer; nil and zero if nothing is fetched.
	FetchFrom     *Endpoint
	FetchTime     time.Duration
	FetchedTokens int // part of CachedTokens that comes from FetchFrom
	// EventGap is the expected time between two events of an answer that is decoded at the endpoint; zero if
	// unknown.
	EventGap time.Duration
	// ColdPrefillTime and WarmPrefillTime are PrefillTime with none and with all of a shared prefix
	// in the cache, if no endpoint is known to hold that prefix; otherwise both are zero.
	ColdPrefillTime, WarmPrefillTime time.Duration
	// Allowed is the longest TimeToFirstEvent at which the request is admitted; zero if that was not
	// decided, because the request was admitted before or has no prompt.
	Allowed time.Duration
	// SizeClass is the tenth of the sizes of its route that the request belongs to, from 0 for the
	// smallest, and Owed how many admissions this tenth was owed when the request was judged.
	SizeClass int
	Owed      float64
	// Urgent says that the request was admitted as one of the most urgent, whatever the priority of
	// its route, since its size is owed an admission. It is sent with priority 0.
	Urgent bool
	// Admission counts the request among those of its size until its end; nil if that was not
	// decided. It is the one of the PlacementRequest if that has one.
	Admission AdmissionTracker
	// ReserveTokens is the KV memory to reserve at the endpoint before the request is sent there, since
	// other processes may place requests in the same room; zero if there is enough for all.
	ReserveTokens int
}

// ErrNoRoom is the cause of a refusal where endpoints may take the request, and none has room for it now.
var ErrNoRoom = errors.New("no engine has room")

// Placer decides where requests run, and which are refused because their target cannot be met. It
// is safe for concurrent use.
type Placer interface {
	// SetEndpoints replaces the endpoints of a service.
	SetEndpoints(service string, endpoints []Endpoint)
	// Place chooses an endpoint, or returns an *Error that is marked as not run. With an error,
	// the placement is the one that was refused, if there was one.
	Place(p PlacementRequest) (Placement, error)
	// Sent records that a placement is carried out. The caller calls End of the returned tracker
	// once.
	Sent(p PlacementRequest, at Placement) AttemptTracker
	// ApplyLoadUpdates applies the load updates of another process.
	ApplyLoadUpdates(from string, notices []LoadUpdate)
	// Crashed records that an endpoint broke the connection while it ran a request.
	Crashed(id EndpointID)
	// MarkStale records that another instance answers at the endpoint's address, or that the
	// endpoint has another role than its entry in the list says.
	MarkStale(id EndpointID)
}

// AttemptTracker records the progress of one attempt at an endpoint.
type AttemptTracker interface {
	// Answered records that the first event, the answer of a plain service or the answer to a
	// prefill has arrived. Calls after the first have no effect.
	Answered()
	// Event records that an event of the answer after the first has arrived.
	Event()
	// Stalled reports whether the endpoint answers later attempts before this one, or has stopped
	// making progress. While it processes earlier attempts, it has not stalled.
	Stalled() bool
	// End releases the attempt's share of the endpoint's load. Calls after the first have no
	// effect.
	End(outcome Outcome)
}

// AdmissionTracker counts an admitted request until its end.
type AdmissionTracker interface {
	// End records whether the caller has got a complete answer. Calls after the first have no effect.
	End(served bool)
}

// LoadUpdate is a process's own load on one endpoint. It is sent to the peers, so that each of them
// can place requests as if it knew the attempts of all processes.
type LoadUpdate struct {
	EndpointHash  uint32        // hash of the EndpointID
	Running       int           // running attempts of the sender at the endpoint
	Tokens        int           // of the prompts and answers of these attempts
	PrefillTime   time.Duration // expected, of the new placement; zero if there is none
	PrefillTokens int           // of the new placement, without cached tokens; zero if there is none
	PrefixHashes  []uint64      // of what the new placement leaves in the endpoint's prefix cache
	// PrefillDelay is how much later than expected the known prefills at the endpoint complete, as
	// an answer to the sender has shown; negative if they complete earlier.
	PrefillDelay time.Duration
	// SuspendedFor is how long the endpoint must not be used, because it changes its role or is
	// draining; zero if neither.
	SuspendedFor time.Duration
}
