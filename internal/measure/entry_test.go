package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayspread"
	_ "carawayspread/internal/decision/ejection"
	_ "carawayspread/internal/decision/fairqueue"
	_ "carawayspread/internal/decision/fifo"
	_ "carawayspread/internal/decision/gradient"
	_ "carawayspread/internal/decision/hashrouter"
	_ "carawayspread/internal/decision/leastoutstanding"
	_ "carawayspread/internal/decision/neverejects"
	"carawayspread/internal/decision/retrybudget"
	_ "carawayspread/internal/decision/rolepolicy"
	_ "carawayspread/internal/decision/roundrobin"
	_ "carawayspread/internal/decision/unlimited"
)

const (
	networkDelay          = time.Millisecond
	reportInterval        = time.Second
	reportDelay           = time.Second
	referencePromptTokens = 256.0 // prompt length to which the latency of a prefill is scaled
)

// call is one request and what its caller received.
type call struct {
	job            *carawayspread.Job
	class          int
	entry          *entry
	prompt, shared float64 // tokens, and how many of them a prefix cache may hold
	answer         float64 // tokens
	prefix         uint64  // identifies the shared prefix
	priority       int64   // engines prefill the lowest value first

	prefillTokens, remaining, endsAt float64       // tokens; maintained by the engine
	scheduledAt, sentAt              time.Duration // when the scheduler released it, and when it was sent to an engine
	firstTokenAt, endedAt            time.Duration
	hasSlot                          bool // holds a slot of the limiter
	refused, failed                  bool
}

// entry simulates one entry process for one service.
type entry struct {
	*sim
	run         *run
	scheduler   carawayspread.Scheduler
	router      carawayspread.Router
	ejector     carawayspread.Ejector
	retryBudget carawayspread.RetryBudget // nil allows every retry
	limiters    map[carawayspread.EndpointID]carawayspread.Limiter
	inflight    map[carawayspread.EndpointID]int
	reports     map[carawayspread.EndpointID]carawayspread.EndpointReport
	engines     map[carawayspread.EndpointID]*engine
	calls       map[*carawayspread.Job]*call
	retries     []*call // refused by an engine, to be sent to another one
	handoffs    []*call // prefilled, waiting for a decode engine
	queued      map[int]*carawayspread.Cost
}

func newEntry(r *run, n int, engines []*engine) *entry {
	env := carawayspread.Environment{
		Clock: r.sim, Rand: rand.New(rand.NewPCG(r.fleet.seed, uint64(n))), Zone: zone(n),
	}
	e := &entry{
		sim: r.sim, run: r,
		scheduler: build(carawayspread.Schedulers, r.variant.scheduler, env),
		router:    build(carawayspread.Routers, r.variant.router, env),
		ejector:   build(carawayspread.Ejectors, r.variant.ejector, env),
		limiters:  map[carawayspread.EndpointID]carawayspread.Limiter{},
		inflight:  map[carawayspread.EndpointID]int{},
		reports:   map[carawayspread.EndpointID]carawayspread.EndpointReport{},
		engines:   map[carawayspread.EndpointID]*engine{},
		calls:     map[*carawayspread.Job]*call{},
		queued:    map[int]*carawayspread.Cost{},
	}
	if r.variant.retryBudget {
		e.retryBudget = retrybudget.New(r.sim)
	}
	endpoints := make([]carawayspread.Endpoint, 0, len(engines))
	ids := make([]carawayspread.EndpointID, 0, len(engines))
	for i, g := range engines {
		endpoints = append(endpoints, carawayspread.NewEndpoint(g.id, "service", zone(i), "", false))
		ids = append(ids, g.id)
		e.engines[g.id] = g
		e.limiters[g.id] = build(carawayspread.Limiters, r.variant.limiter, env)
		e.reports[g.id] = g.report()
	}
	e.router.SetEndpoints(endpoints)
	e.ejector.SetEndpoints(ids)
	for _, g := range engines {
		e.router.Reported(g.report())
	}
	e.updateCapacity()
	for _, g := range engines {
		r.every(reportInterval, func() {
			report := g.report()
			r.in(reportDelay, func() { e.reports[g.id] = report; e.router.Reported(report) })
		})
	}
	r.every(reportInterval, func() { e.updateCapacity(); e.dispatch() })
	return e
}

func zone(n int) string { return string(rune('a' + n%3)) }

func build[T any](registry *carawayspread.Registry[func(carawayspread.Environment) T], name string, env carawayspread.Environment) T {
	factory, _ := registry.Get(name)
	return factory(env)
}

func (e *entry) updateCapacity() {
	slots := 0
	for id, l := range e.limiters {
		if e.reports[id].Role != carawayspread.RoleDecode {
			slots += min(l.Limit(), 1<<20)
		}
	}
	e.scheduler.Capacity(slots)
}

// arrive accepts a request from its caller.
func (e *entry) arrive(c *call) {
	c.entry = e
	if e.run.variant.deadlinePriority {
		c.priority = c.job.Class.Target().Latest(c.job.Arrived).UnixNano()
	}
	if err := e.scheduler.Offer(c.job); err != nil {
		e.refuse(c)
		return
	}
	e.calls[c.job] = c
	e.addQueued(c, 1)
	e.dispatch()
}

func (e *entry) addQueued(c *call, sign int) {
	if e.queued[c.class] == nil {
		e.queued[c.class] = &carawayspread.Cost{}
	}
	e.queued[c.class].Prefill += sign * c.job.Cost.Prefill
	e.queued[c.class].Decode += sign * c.job.Cost.Decode
}

func (e *entry) refuse(c *call) {
	c.refused = true
	c.endedAt = e.now
	e.run.recordEnd(c)
}

// dispatch sends every call that can be sent now.
func (e *entry) dispatch() {
	e.handoffs = slices.DeleteFunc(e.handoffs, func(c *call) bool { return e.tryPlace(c, carawayspread.RolePrefill) })
	e.retries = slices.DeleteFunc(e.retries, func(c *call) bool { return e.tryPlace(c, carawayspread.RoleDecode) })
	for {
		for _, r := range e.scheduler.Expired() {
			e.addQueued(e.calls[r.Job], -1)
			e.refuse(e.calls[r.Job])
		}
		job := e.scheduler.Next()
		if job == nil {
			return
		}
		c := e.calls[job]
		c.scheduledAt = e.now
		if e.tryPlace(c, carawayspread.RoleDecode) {
			e.addQueued(c, -1)
		} else {
			e.scheduler.Requeue(job)
		}
	}
}

// tryPlace sends a call to an engine that doesn't have the excluded role. An answer
// that has begun ignores the limiters, because it can't be refused any more.
func (e *entry) tryPlace(c *call, excludedRole carawayspread.Role) bool {
	job := *c.job
	job.Phase = carawayspread.RolePrefill
	if excludedRole == carawayspread.RolePrefill {
		job.Phase = carawayspread.RoleDecode
	}
	choice := e.router.Pick(&job, func(id carawayspread.EndpointID) carawayspread.Availability {
		switch k := e.reports[id]; {
		case k.Role == excludedRole || k.Draining || !e.ejector.Allowed(id):
			return carawayspread.AvailabilityExcluded
		case excludedRole == carawayspread.RoleDecode && e.inflight[id] >= e.limiters[id].Limit():
			return carawayspread.AvailabilityBusy
		}
		return carawayspread.AvailabilityFree
	})
	if choice.Endpoint == "" {
		return false
	}
	c.hasSlot = e.limiters[choice.Endpoint].Acquire()
	e.ejector.Sent(choice.Endpoint)
	e.send(c, e.engines[choice.Endpoint], excludedRole)
	return true
}

func (e *entry) send(c *call, g *engine, excludedRole carawayspread.Role) {
	e.inflight[g.id]++
	e.router.Sent(g.id, c.job)
	c.sentAt = e.now
	delay, submit := networkDelay, g.submit
	if excludedRole == carawayspread.RolePrefill {
		delay += time.Duration(c.prompt) * g.hw.transferPerToken
		submit = g.resumeDecode
	}
	e.in(delay, func() {
		if submit(c) {
			return
		}
		// The last report was out of date: the sidecar refuses the call, and nothing ran.
		e.endAttempt(c, g, 0, carawayspread.OutcomeRefused)
		e.reports[g.id] = g.report()
		if excludedRole == carawayspread.RolePrefill {
			e.handoffs = append(e.handoffs, c)
		} else {
			e.retry(c)
		}
		e.dispatch()
	})
}

func (e *entry) retry(c *call) {
	if e.retryBudget != nil && !e.retryBudget.Allow() {
		c.failed = true
		c.endedAt = e.now
		e.scheduler.Done(c.job, carawayspread.JobResult{})
		e.run.recordEnd(c)
		return
	}
	e.retries = append(e.retries, c)
}

// endAttempt ends one attempt. The latency is zero if none was measured.
func (e *entry) endAttempt(c *call, g *engine, latency time.Duration, outcome carawayspread.Outcome) {
	e.inflight[g.id]--
	e.router.Ended(g.id, c.job, outcome)
	if c.hasSlot {
		e.limiters[g.id].Release(latency, outcome)
	}
	e.ejector.Observe(g.id, latency, outcome)
}

// firstToken is called by the engine that prefilled the prompt.
func (c *call) firstToken(g *engine) {
	c.firstTokenAt = c.entry.now
	c.remaining = c.answer
	c.entry.run.recordPrefill(c, c.prefillTokens)
	if g.role != carawayspread.RolePrefill && !g.changing {
		g.admit(c)
		return
	}
	c.handOff(g)
}

// handOff moves a prefilled call from one engine to another.
func (c *call) handOff(g *engine) {
	e := c.entry
	latency := time.Duration(0)
	if g.role == carawayspread.RolePrefill {
		latency = time.Duration(float64(e.now-c.sentAt) * referencePromptTokens / c.prompt)
	}
	e.endAttempt(c, g, latency, carawayspread.OutcomeServed)
	e.handoffs = append(e.handoffs, c)
	e.in(0, e.dispatch)
}

func (c *call) refuseUnstarted(g *engine) {
	c.entry.endAttempt(c, g, 0, carawayspread.OutcomeRefused)
	c.entry.retries = append(c.entry.retries, c)
	c.entry.in(0, c.entry.dispatch)
}

// finish is called by the engine that decoded the last token.
func (c *call) finish(g *engine) {
	e := c.entry
	c.endedAt = e.now
	gap := (c.endedAt - c.firstTokenAt) / time.Duration(c.answer)
	if e.run.fleet.kinds[c.class].plain {
		gap = c.endedAt - c.sentAt
	}
	e.endAttempt(c, g, gap, carawayspread.OutcomeServed)
	if e.retryBudget != nil {
		e.retryBudget.Succeeded()
	}
	e.scheduler.Done(c.job, carawayspread.JobResult{
		Cost:       carawayspread.Cost{Prefill: int(c.prefillTokens), Decode: int(c.answer)},
		FirstToken: c.firstTokenAt - c.scheduledAt, Took: c.endedAt - c.scheduledAt,
	})
	delete(e.calls, c.job)
	e.run.recordEnd(c)
	e.dispatch()
}
