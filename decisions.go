package carawayspread

import (
	"math/rand/v2"
	"time"
)

// Environment holds what a process passes to the constructors of its decision modules.
type Environment struct {
	Clock Clock
	// Rand is the module's source of randomness. It is not safe for concurrent use: only
	// constructors and modules whose callers serialise their calls draw from it.
	Rand *rand.Rand
	Zone string // availability zone of the process; empty if zones are ignored
	// Broadcast sends a load update to the peers without blocking; nil if there are no peers.
	Broadcast func(LoadUpdate)
}

// Registries of the decision modules. An implementation registers itself when its package is
// imported; daemons run the fallback.
var (
	Schedulers = NewRegistry[func(Environment) Scheduler]("fairQueue")
	Routers    = NewRegistry[func(Environment) Router]("hashRouter")
	Limiters   = NewRegistry[func(Environment) Limiter]("gradient")
	Ejectors   = NewRegistry[func(Environment) Ejector]("outlier")
	// RolePolicies also holds baselines to compare the fallback with.
	RolePolicies = NewRegistry[func(Environment) RolePolicy]("forecast")
)

// Scheduler decides which jobs of one service are sent, queued or refused. Its callers serialise
// their calls.
type Scheduler interface {
	// Offer queues the job, or refuses it at once with an *Error that is marked as not run and
	// has a RetryAfter.
	Offer(job *Job) error
	// Next removes and returns the job that is to be sent now, or nil if none is queued or all
	// slots are taken. The caller passes each returned job to Done or Requeue, once.
	Next() *Job
	// Requeue puts a job that could not be placed back into the queue. Next returns it again
	// after the next Done, after Capacity has grown, or after a short delay.
	Requeue(job *Job)
	// Expired removes and returns the queued jobs that can no longer meet their target or were
	// evicted in favour of others, each with its refusal.
	Expired() []RefusedJob
	// Cancel removes a queued job whose caller disconnected. It returns false if the job is not
	// queued.
	Cancel(job *Job) bool
	// Done frees the slot of a job and records its result.
	Done(job *Job, result JobResult)
	// Capacity sets how many jobs this process may run at the endpoints concurrently.
	Capacity(slots int)
	// Len returns the number of queued jobs.
	Len() int
}

// JobResult holds the measured cost and times of a job. The zero value is that of a job that did
// not run.
type JobResult struct {
	Cost       Cost          // tokens as counted
	FirstToken time.Duration // from Next to the first byte of the answer
	Took       time.Duration // from Next to the end of the answer
}

// RefusedJob is a job that was removed from the queue, with its final refusal.
type RefusedJob struct {
	Job *Job
	Err *Error
}

// Availability says whether an entry can send to an endpoint at the time of a pick.
type Availability int

// Availabilities of endpoints.
const (
	AvailabilityFree     Availability = iota
	AvailabilityBusy                  // at its concurrency limit; expected to take work again soon
	AvailabilityExcluded              // ejected, tried already for this job, or known to be unavailable
)

// Choice is the result of Router.Pick.
type Choice struct {
	Endpoint EndpointID // empty if the job cannot be sent now
	// OutsideAffinity says that none of the endpoints that the fingerprint maps to is available.
	// The job may then reach an endpoint without a record of its earlier attempts, so quarantine
	// requires a trial claim.
	OutsideAffinity bool
	// Wait says that an endpoint for the job exists and is only busy.
	Wait bool
}

// Router chooses the endpoint for each job. It is safe for concurrent use.
type Router interface {
	// SetEndpoints replaces the endpoints of the service.
	SetEndpoints(endpoints []Endpoint)
	// Reported records a report, which may arrive late or out of order.
	Reported(report EndpointReport)
	// Pick chooses an endpoint for the job. It calls availability only for candidate endpoints.
	Pick(job *Job, availability func(EndpointID) Availability) Choice
	// Sent and Ended record the start and the end of this entry's attempts.
	Sent(id EndpointID, job *Job)
	Ended(id EndpointID, job *Job, outcome Outcome)
}

// Limiter limits the concurrent attempts of this entry at one endpoint. It is safe for concurrent
// use.
type Limiter interface {
	// Acquire takes a slot, or returns false if all are taken.
	Acquire() bool
	// Release frees a slot. The latency must be comparable between requests: the mean
	// inter-token latency for engines, the total time for plain services; zero if none was
	// measured.
	Release(latency time.Duration, outcome Outcome)
	// Limit returns the current number of slots; at least 1.
	Limit() int
}

// RetryBudget limits retries to a fraction of the successful requests. It is safe for concurrent
// use.
type RetryBudget interface {
	// Succeeded adds a fraction of a retry to the budget.
	Succeeded()
	// Allow takes one retry from the budget, or returns false if none is left.
	Allow() bool
}

// Ejector decides which endpoints get no work because they fail or are slow. It is safe for
// concurrent use.
type Ejector interface {
	// SetEndpoints replaces the endpoints that are watched.
	SetEndpoints(ids []EndpointID)
	// Observe records the outcome of one attempt, with a latency that is comparable between
	// requests, as for Limiter.Release.
	Observe(id EndpointID, latency time.Duration, outcome Outcome)
	// Allowed reports whether the endpoint may get a request. It has no side effect and may be
	// called for each candidate endpoint.
	Allowed(id EndpointID) bool
	// Sent records that a request is sent to the endpoint. At an endpoint whose ejection time is
	// over, that request is the single probe.
	Sent(id EndpointID)
}

// RoleState is the state of one engine as a RolePolicy sees it.
type RoleState struct {
	Endpoint EndpointID
	Role     Role // while it changes, the new one
	Changing bool
	Leaving  bool // draining, down or without a recent report: neither counted nor changed
	Running  int  // requests that a role change must move or wait for
	KVBytes  int64
	// PrefillDelaysDecode says that prefills run beside the engine's decodes would make them
	// exceed the target for the event gap.
	PrefillDelaysDecode bool
	// PrefillRate and DecodeRate are tokens per second, measured with nothing else on the engine;
	// zero if unknown.
	PrefillRate float64
	DecodeRate  float64
}

// Demand is the load of one service, measured since the last plan.
type Demand struct {
	// MeasuredAt is when the demand was measured. A policy makes no change for a demand that is
	// old or that it has planned for already.
	MeasuredAt time.Time
	Classes    []ClassDemand // at most one for each class
}

// ClassDemand is the demand of one class.
type ClassDemand struct {
	Class         Class
	PrefillTokens float64 // arriving per second, without those in a prefix cache
	DecodeTokens  float64 // arriving per second
	QueuedPrefill float64 // queued tokens
	QueuedDecode  float64 // queued tokens
}

// RoleChange is a planned change of one engine's role.
type RoleChange struct {
	Endpoint EndpointID
	From, To Role
}

// RolePolicy decides which engines change their roles. Its callers serialise their calls.
type RolePolicy interface {
	// Plan returns the changes whose benefit exceeds their cost now; often none.
	Plan(engines []RoleState, demand Demand) []RoleChange
}
