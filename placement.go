package carawayspread

import "time"

// Placers decide where requests run.
var Placers = NewRegistry[func(Environment) Placer]("estimate")

// Placing is what a Placer knows of one request.
type Placing struct {
	Route    *Route
	Service  RoutedService
	Prompt   *Prompt // nil for plain services
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
	// Late says that the target has passed already, because the caller was
	// refused before and has come back.
	Late bool
	// Exclude names endpoints that this request must not go to again.
	Exclude map[EndpointID]bool
	Bytes   int // of the request, which cross to another availability zone with it
	// Key is the same for each copy of the request.
	Key uint64
	// Handed is where the prompt was read; empty where it was not.
	Handed EndpointID
	// Direct asks for one endpoint that reads and answers.
	Direct bool
	// Owed says that the request was taken on: it is not refused for lateness.
	Owed bool
}

// Placement is where a request goes.
type Placement struct {
	Endpoint Endpoint
	// Reads says that the endpoint reads the prompt for another, which is
	// asked for when it has: Place with Handed set.
	Reads bool
	// First is the expected time from now to the first event or the answer.
	First time.Duration
	// Work is the expected time that the endpoint spends on reading, and Wait how
	// long that waits for the readings before it.
	Work, Wait time.Duration
	// Found are the tokens of the prompt that the endpoint is thought to hold, or
	// to get from Fetch.
	Found int
	// Fetch is another endpoint that holds more of the prompt, and Fetching the
	// expected time that it takes to get that; nil and zero for none.
	Fetch    *Endpoint
	Fetching time.Duration
	Fetched  int // tokens of Found that come from there
	// Cold and Warm are Work with nothing and with all held of a shared beginning
	// that no endpoint is known to hold; both are zero where one is.
	Cold, Warm time.Duration
}

// Placer decides where requests run, and which are refused because their
// target cannot be met. It is safe for concurrent use.
type Placer interface {
	// SetEndpoints replaces all endpoints of a service.
	SetEndpoints(service string, endpoints []Endpoint)
	// Place chooses an endpoint, or returns an *Error that is not run; the placement
	// is then the one that was refused, if there was any.
	Place(p Placing) (Placement, error)
	// Sent follows a placement that is carried out; its End is called once.
	Sent(p Placing, at Placement) Stay
	// Heard takes what another process says of its placements.
	Heard(from string, notices []Notice)
	// Crashed takes note that an endpoint broke off while it ran a request.
	Crashed(id EndpointID)
	// Gone takes note that another instance answers at the endpoint's address, or
	// that the endpoint has another role than its entry says.
	Gone(id EndpointID)
}

// Stay is the time of one attempt at an endpoint.
type Stay interface {
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

// Notice is what a process tells its peers of one endpoint, so that they place
// as if they knew all attempts.
type Notice struct {
	Endpoint uint32 // hash of the identifier
	Running  int    // attempts of the sender there now
	Tokens   int    // of their prompts and answers
	Work     time.Duration
	Read     int      // tokens read anew by the placement that is told; zero for none
	Chains   []uint64 // what the placement leaves in the endpoint's memory
	// Late is by how much later than was expected the readings known at the endpoint
	// are through, as an answer to the sender has shown; negative where they are
	// sooner.
	Late time.Duration
	// Aside is how long the endpoint is not to be used, as it changes its role or leaves;
	// zero where it does not.
	Aside time.Duration
}
