package carawayspread

import "time"

// Placers decide where requests run.
var Placers = NewRegistry[func(Environment) Placer]("estimate")

// PlacementRequest is what a Placer knows of one request.
type PlacementRequest struct {
	Route    *Route
	Service  RoutedService
	Prompt   *Prompt // nil for plain services
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
	// TargetMissed says that the target has passed already, because the caller was
	// refused before and has come back.
	TargetMissed bool
	// Exclude names endpoints that this request must not go to again.
	Exclude map[EndpointID]bool
	Bytes   int // of the request, which cross to another availability zone with it
	// Fingerprint is the same for each copy of the request.
	Fingerprint uint64
	// PrefilledBy is where the prompt was read; empty where it was not.
	PrefilledBy EndpointID
	// SingleEndpoint asks for one endpoint that reads and answers.
	SingleEndpoint bool
	// Admitted says that the request was taken on: it is not refused for lateness.
	Admitted bool
}

// Placement is where a request goes.
type Placement struct {
	Endpoint Endpoint
	// PrefillOnly says that the endpoint reads the prompt for another, which is
	// asked for when it has: Place with PrefilledBy set.
	PrefillOnly bool
	// TimeToFirstEvent is the expected time from now to the first event or the answer.
	TimeToFirstEvent time.Duration
	// PrefillTime is the expected time that the endpoint spends on reading, and QueueTime how
	// long that waits for the readings before it.
	PrefillTime, QueueTime time.Duration
	// CachedTokens are the tokens of the prompt that the endpoint is thought to hold, or
	// to get from Fetch.
	CachedTokens int
	// FetchFrom is another endpoint that holds more of the prompt, and Fetching the
	// expected time that it takes to get that; nil and zero for none.
	FetchFrom     *Endpoint
	FetchTime     time.Duration
	FetchedTokens int // tokens of Found that come from there
	// ColdPrefillTime and WarmPrefillTime are Work with nothing and with all held of a shared beginning
	// that no endpoint is known to hold; both are zero where one is.
	ColdPrefillTime, WarmPrefillTime time.Duration
}

// Placer decides where requests run, and which are refused because their
// target cannot be met. It is safe for concurrent use.
type Placer interface {
	// SetEndpoints replaces all endpoints of a service.
	SetEndpoints(service string, endpoints []Endpoint)
	// Place chooses an endpoint, or returns an *Error that is not run; the placement
	// is then the one that was refused, if there was any.
	Place(p PlacementRequest) (Placement, error)
	// Sent follows a placement that is carried out; its End is called once.
	Sent(p PlacementRequest, at Placement) AttemptTracker
	// ApplyLoadUpdates takes what another process says of its placements.
	ApplyLoadUpdates(from string, notices []LoadUpdate)
	// Crashed takes note that an endpoint broke off while it ran a request.
	Crashed(id EndpointID)
	// MarkStale takes note that another instance answers at the endpoint's address, or
	// that the endpoint has another role than its entry says.
	MarkStale(id EndpointID)
}

// AttemptTracker is the time of one attempt at an endpoint.
type AttemptTracker interface {
	// Answered tells that the first event, or the answer to a reading, is
	// there. Calls after the first have no effect.
	Answered()
	// Event tells that an event of the answer after the first is there.
	Event()
	// Stalled reports whether the endpoint passed the attempt over or does nothing
	// any more. While it works off what came before, it has not stalled.
	Stalled() bool
	// End frees what the attempt held. Calls after the first have no effect.
	End(outcome Outcome)
}

// LoadUpdate is what a process tells its peers of one endpoint, so that they place
// as if they knew all attempts.
type LoadUpdate struct {
	EndpointHash  uint32 // hash of the identifier
	Running       int    // attempts of the sender there now
	Tokens        int    // of their prompts and answers
	PrefillTime   time.Duration
	PrefillTokens int      // tokens read anew by the placement that is told; zero for none
	PrefixHashes  []uint64 // what the placement leaves in the endpoint's memory
	// PrefillDelay is by how much later than was expected the readings known at the endpoint
	// are through, as an answer to the sender has shown; negative where they are
	// sooner.
	PrefillDelay time.Duration
	// SuspendedFor is how long the endpoint is not to be used, as it changes its role or leaves;
	// zero where it does not.
	SuspendedFor time.Duration
}
