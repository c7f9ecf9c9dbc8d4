package carawayspread

import (
	"math/rand/v2"
	"time"
)

// Environment is what a process gives to each of its decision modules.
type Environment struct {
	Clock Clock
	// Rand seeds the module. Only construction and modules whose callers
	// serialise their calls draw from it.
	Rand *rand.Rand
	Zone string // availability zone of the process; empty when it does not matter
	// Broadcast passes a notice on to the peers; nil where there are none. It does
	// not block.
	Broadcast func(LoadUpdate)
}

// Registries of the decision modules. An implementation registers itself when
// its package is imported; the fallback is what daemons run.
var (
	Schedulers = NewRegistry[func(Environment) Scheduler]("fairQueue")
	Routers    = NewRegistry[func(Environment) Router]("hashRouter")
	Limiters   = NewRegistry[func(Environment) Limiter]("gradient")
	Ejectors   = NewRegistry[func(Environment) Ejector]("outlier")
	// RolePolicies holds baselines beside the fallback.
	RolePolicies = NewRegistry[func(Environment) RolePolicy]("forecast")
)

// Scheduler decides who is served, who waits and who is refused, before one
// service. Its callers serialise their calls.
type Scheduler interface {
	// Offer queues the job or refuses it at once with an *Error that is not
	// run and says when to come back.
	Offer(job *Job) error
	// Next removes and returns the job that is to be sent now, or nil when
	// none waits or all slots are taken. Each job that it returns comes back
	// through Done or Requeue once.
	Next() *Job
	// Requeue puts back a job that could not be placed. Next returns it again
	// after the next Done, after a larger Capacity or a little later.
	Requeue(job *Job)
	// Expired removes and returns the jobs that can no longer meet their
	// target or had to make room, each with its refusal.
	Expired() []RefusedJob
	// Cancel removes a queued job whose caller went away; false when it is
	// not queued.
	Cancel(job *Job) bool
	// Done frees the slot of a job and reports what it took.
	Done(job *Job, served JobResult)
	// Capacity reports how many jobs this process may have at the endpoints
	// at once, as known now.
	Capacity(slots int)
	// Len returns the number of queued jobs.
	Len() int
}

// JobResult is what a job took in the end. The zero value is a job that did not run.
type JobResult struct {
	Cost       Cost          // counted tokens
	FirstToken time.Duration // from Next to the first byte of the answer
	Took       time.Duration // from Next to the end of the answer
}

// RefusedJob is a queued job with its final refusal.
type RefusedJob struct {
	Job *Job
	Err *Error
}

// Availability is what an entry holds against an endpoint at the moment of a pick.
type Availability int

// Standings of endpoints.
const (
	AvailabilityFree     Availability = iota
	AvailabilityBusy                  // at its limit, takes work again soon
	AvailabilityExcluded              // ejected, tried already or known to be lost
)

// Choice is where a job goes.
type Choice struct {
	Endpoint EndpointID // empty when the job cannot be sent now
	// OutsideAffinity says that none of the endpoints that the fingerprint maps to
	// is available. The job may reach an endpoint that knows nothing of its
	// earlier attempts, so quarantine demands a trial claim.
	OutsideAffinity bool
	// Wait says that an endpoint of the job is only busy.
	Wait bool
}

// Router decides where work goes. It is safe for concurrent use.
type Router interface {
	// SetEndpoints replaces what is known of the endpoints of a service.
	SetEndpoints(endpoints []Endpoint)
	// Reported takes a report, which may be late or out of order.
	Reported(report EndpointReport)
	// Pick chooses an endpoint for the job. Standing is asked only for the
	// endpoints that come into question.
	Pick(job *Job, standing func(EndpointID) Availability) Choice
	// Sent and Ended follow the attempts of this entry.
	Sent(id EndpointID, job *Job)
	Ended(id EndpointID, job *Job, outcome Outcome)
}

// Limiter bounds the attempts of this entry at one endpoint. It is safe for
// concurrent use.
type Limiter interface {
	// Acquire takes a place; false when all are taken.
	Acquire() bool
	// Release returns a place. The latency must be comparable between
	// requests: the mean gap between tokens for engines, the whole time for
	// plain services; zero when none was measured.
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
	// Observe takes the outcome of one attempt, with a latency that is
	// comparable between requests as for Limiter.
	Observe(id EndpointID, latency time.Duration, outcome Outcome)
	// Allowed reports whether the endpoint may get a request. It changes
	// nothing and may be asked for each endpoint that comes into question.
	Allowed(id EndpointID) bool
	// Sent tells that a request goes to the endpoint; it takes the place of
	// the single trial request at an ejected endpoint whose time has come.
	Sent(id EndpointID)
}

// RoleState is what a RolePolicy knows of one engine.
type RoleState struct {
	Endpoint EndpointID
	Role     Role // while it changes, the one to come
	Changing bool
	Leaving  bool // drains, is down or is not heard of: it is neither counted nor changed
	Running  int  // requests that a change must move or wait for
	KVBytes  int64
	// PrefillDelaysDecode says that prompts read beside its answers would make these late
	// by a pause.
	PrefillDelaysDecode bool
	// PrefillRate and DecodeRate are tokens a second as measured with nothing
	// else on the engine; zero when unknown.
	PrefillRate float64
	DecodeRate  float64
}

// Demand is the work of one service, measured since the last plan.
type Demand struct {
	// MeasuredAt is when the demand was measured. A demand that is old, or that was
	// planned for before, is no ground for a change.
	MeasuredAt time.Time
	Classes    []ClassDemand // at most one for each class
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
