package carawayspread

import "time"

// Scheduler decides who is served, who waits and who is refused, before one
// service. Its callers serialise their calls.
type Scheduler interface {
	// Offer queues the job or refuses it at once with an *Error that is not
	// run and says when to come back.
	Offer(job *Job) error
	// Next removes and returns the job that is to be sent now, or nil.
	Next() *Job
	// Expired removes and returns the jobs that can no longer meet their
	// target, each with its refusal.
	Expired() []Refused
	// Cancel removes a queued job whose caller went away; false when it is
	// not queued.
	Cancel(job *Job) bool
	// Done reports the work that a job took in the end.
	Done(job *Job, served Cost, took time.Duration)
	// Capacity reports how many jobs the endpoints can run at once, as known now.
	Capacity(slots int)
	// Len returns the number of queued jobs.
	Len() int
}

// Refused is a queued job with its final refusal.
type Refused struct {
	Job *Job
	Err *Error
}

// Router decides where work goes. It is safe for concurrent use.
type Router interface {
	// SetEndpoints replaces what is known of the endpoints of a service.
	SetEndpoints(endpoints []Endpoint)
	// Reported takes a report, which may be late or out of order.
	Reported(report Report)
	// Pick chooses an endpoint that exclude does not name; ok is false when
	// there is none.
	Pick(job *Job, exclude func(EndpointID) bool) (id EndpointID, ok bool)
	// Sent and Ended follow the attempts of this entry.
	Sent(id EndpointID, job *Job)
	Ended(id EndpointID, job *Job, outcome Outcome)
}

// Limiter bounds the attempts of this entry at one endpoint. It is safe for
// concurrent use.
type Limiter interface {
	// Acquire takes a place; false when all are taken.
	Acquire() bool
	// Release returns a place with the latency that the attempt measured.
	Release(latency time.Duration, outcome Outcome)
	// Limit returns the places that there are now; at least 1.
	Limit() int
}

// RetryBudget bounds retries to a share of what succeeds. It is safe for
// concurrent use.
type RetryBudget interface {
	// Succeeded earns a part of a retry.
	Succeeded()
	// Allow spends one retry; false when none is left.
	Allow() bool
}

// Ejector tells which endpoints get no work because they fail or are slow. It
// is safe for concurrent use.
type Ejector interface {
	// SetEndpoints replaces the endpoints that it judges.
	SetEndpoints(ids []EndpointID)
	// Observe takes the outcome of one attempt.
	Observe(id EndpointID, latency time.Duration, outcome Outcome)
	// Allowed reports whether the endpoint may get this request. It admits
	// single trial requests to an ejected endpoint whose time has come.
	Allowed(id EndpointID) bool
}

// RoleState is what a RolePolicy knows of one engine.
type RoleState struct {
	Endpoint EndpointID
	Role     Role // while it changes, the one to come
	Changing bool
	Leaving  bool // drains, is down or is not heard of: it is neither counted nor changed
	Running  int  // requests that a change must move or wait for
	KVBytes  int64
	// PrefillRate and DecodeRate are tokens a second as measured with nothing
	// else on the engine; zero when unknown.
	PrefillRate float64
	DecodeRate  float64
}

// Demand is the work of one service, measured since the last plan.
type Demand struct {
	// Taken is when the demand was measured. A demand that is old, or that was
	// planned for before, is no ground for a change.
	Taken   time.Time
	Classes []ClassDemand // at most one for each class
}

// ClassDemand is the part of a demand that one class brings.
type ClassDemand struct {
	Class         Class
	PrefillTokens float64 // arriving a second, those in a prefix cache left out
	DecodeTokens  float64 // arriving a second
	QueuedPrefill float64 // tokens waiting
	QueuedDecode  float64 // tokens waiting
}

// RoleChange orders one engine into another role.
type RoleChange struct {
	Endpoint EndpointID
	From, To Role
}

// RolePolicy decides which engines change their roles. Its callers serialise
// their calls.
type RolePolicy interface {
	// Plan returns the changes that are worth their price now, often none.
	Plan(engines []RoleState, demand Demand) []RoleChange
}
