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
	network     = time.Millisecond
	reportEvery = time.Second
	reportLag   = time.Second
	chunk       = 256.0 // prompt tokens to whose time the latency of a prefill is scaled
)

// call is one request with its caller.
type call struct {
	job            *carawayspread.Job
	class          int
	entry          *entry
	prompt, shared float64 // tokens, and those of the prompt that a prefix cache may hold
	answer         float64
	prefix         uint64
	priority       int64 // engines prefill the lowest first

	toPrefill, left, endsAt float64       // kept by the engine
	next, sent              time.Duration // when the scheduler and the router let it go
	first, last             time.Duration
	place                   bool // holds a place of the limiter
	refused, failed         bool
}

// entry is the part of one entry process that serves one service.
type entry struct {
	*sim
	run      *run
	sched    carawayspread.Scheduler
	router   carawayspread.Router
	ejector  carawayspread.Ejector
	budget   carawayspread.RetryBudget // nil allows all
	limiters map[carawayspread.EndpointID]carawayspread.Limiter
	inflight map[carawayspread.EndpointID]int
	known    map[carawayspread.EndpointID]carawayspread.EndpointReport
	engines  map[carawayspread.EndpointID]*engine
	calls    map[*carawayspread.Job]*call
	again    []*call // refused by an engine, to be sent to another
	handOver []*call // prefilled, waiting for an engine that decodes
	queued   map[int]*carawayspread.Cost
}

func newEntry(r *run, n int, engines []*engine) *entry {
	env := carawayspread.Environment{
		Clock: r.sim, Rand: rand.New(rand.NewPCG(r.fleet.seed, uint64(n))), Zone: zone(n),
	}
	e := &entry{
		sim: r.sim, run: r,
		sched:    build(carawayspread.Schedulers, r.variant.scheduler, env),
		router:   build(carawayspread.Routers, r.variant.router, env),
		ejector:  build(carawayspread.Ejectors, r.variant.ejector, env),
		limiters: map[carawayspread.EndpointID]carawayspread.Limiter{},
		inflight: map[carawayspread.EndpointID]int{},
		known:    map[carawayspread.EndpointID]carawayspread.EndpointReport{},
		engines:  map[carawayspread.EndpointID]*engine{},
		calls:    map[*carawayspread.Job]*call{},
		queued:   map[int]*carawayspread.Cost{},
	}
	if r.variant.budget {
		e.budget = retrybudget.New(r.sim)
	}
	endpoints := make([]carawayspread.Endpoint, 0, len(engines))
	ids := make([]carawayspread.EndpointID, 0, len(engines))
	for i, g := range engines {
		endpoints = append(endpoints, carawayspread.NewEndpoint(g.id, "service", zone(i), "", false))
		ids = append(ids, g.id)
		e.engines[g.id] = g
		e.limiters[g.id] = build(carawayspread.Limiters, r.variant.limiter, env)
		e.known[g.id] = g.report()
	}
	e.router.SetEndpoints(endpoints)
	e.ejector.SetEndpoints(ids)
	for _, g := range engines {
		e.router.Reported(g.report())
	}
	e.capacity()
	for _, g := range engines {
		r.every(reportEvery, func() {
			report := g.report()
			r.in(reportLag, func() { e.known[g.id] = report; e.router.Reported(report) })
		})
	}
	r.every(reportEvery, func() { e.capacity(); e.pump() })
	return e
}

func zone(n int) string { return string(rune('a' + n%3)) }

func build[T any](registry *carawayspread.Registry[func(carawayspread.Environment) T], name string, env carawayspread.Environment) T {
	factory, _ := registry.Get(name)
	return factory(env)
}

func (e *entry) capacity() {
	slots := 0
	for id, l := range e.limiters {
		if e.known[id].Role != carawayspread.RoleDecode {
			slots += min(l.Limit(), 1<<20)
		}
	}
	e.sched.Capacity(slots)
}

// arrive takes a request from its caller.
func (e *entry) arrive(c *call) {
	c.entry = e
	if e.run.variant.urgent {
		c.priority = c.job.Class.Target().Latest(c.job.Arrived).UnixNano()
	}
	if err := e.sched.Offer(c.job); err != nil {
		e.refuse(c)
		return
	}
	e.calls[c.job] = c
	e.wait(c, 1)
	e.pump()
}

func (e *entry) wait(c *call, sign int) {
	if e.queued[c.class] == nil {
		e.queued[c.class] = &carawayspread.Cost{}
	}
	e.queued[c.class].Prefill += sign * c.job.Cost.Prefill
	e.queued[c.class].Decode += sign * c.job.Cost.Decode
}

func (e *entry) refuse(c *call) {
	c.refused = true
	c.last = e.now
	e.run.over(c)
}

// pump sends what can be sent now.
func (e *entry) pump() {
	e.handOver = slices.DeleteFunc(e.handOver, func(c *call) bool { return e.place(c, carawayspread.RolePrefill) })
	e.again = slices.DeleteFunc(e.again, func(c *call) bool { return e.place(c, carawayspread.RoleDecode) })
	for {
		for _, r := range e.sched.Expired() {
			e.wait(e.calls[r.Job], -1)
			e.refuse(e.calls[r.Job])
		}
		job := e.sched.Next()
		if job == nil {
			return
		}
		c := e.calls[job]
		c.next = e.now
		if e.place(c, carawayspread.RoleDecode) {
			e.wait(c, -1)
		} else {
			e.sched.Requeue(job)
		}
	}
}

// place sends a call to an engine whose role is not the one named. An answer
// that has begun goes before the limit: it can't be refused any more.
func (e *entry) place(c *call, not carawayspread.Role) bool {
	job := *c.job
	job.Phase = carawayspread.RolePrefill
	if not == carawayspread.RolePrefill {
		job.Phase = carawayspread.RoleDecode
	}
	choice := e.router.Pick(&job, func(id carawayspread.EndpointID) carawayspread.Availability {
		switch k := e.known[id]; {
		case k.Role == not || k.Draining || !e.ejector.Allowed(id):
			return carawayspread.AvailabilityExcluded
		case not == carawayspread.RoleDecode && e.inflight[id] >= e.limiters[id].Limit():
			return carawayspread.AvailabilityBusy
		}
		return carawayspread.AvailabilityFree
	})
	if choice.Endpoint == "" {
		return false
	}
	c.place = e.limiters[choice.Endpoint].Acquire()
	e.ejector.Sent(choice.Endpoint)
	e.send(c, e.engines[choice.Endpoint], not)
	return true
}

func (e *entry) send(c *call, g *engine, not carawayspread.Role) {
	e.inflight[g.id]++
	e.router.Sent(g.id, c.job)
	c.sent = e.now
	delay, take := network, g.submit
	if not == carawayspread.RolePrefill {
		delay += time.Duration(c.prompt) * g.hw.perToken
		take = g.resume
	}
	e.in(delay, func() {
		if take(c) {
			return
		}
		// The report was late: the sidecar refuses, and nothing ran.
		e.left(c, g, 0, carawayspread.OutcomeRefused)
		e.known[g.id] = g.report()
		if not == carawayspread.RolePrefill {
			e.handOver = append(e.handOver, c)
		} else {
			e.retry(c)
		}
		e.pump()
	})
}

func (e *entry) retry(c *call) {
	if e.budget != nil && !e.budget.Allow() {
		c.failed = true
		c.last = e.now
		e.sched.Done(c.job, carawayspread.JobResult{})
		e.run.over(c)
		return
	}
	e.again = append(e.again, c)
}

// left ends one attempt, with its latency where one was measured.
func (e *entry) left(c *call, g *engine, latency time.Duration, outcome carawayspread.Outcome) {
	e.inflight[g.id]--
	e.router.Ended(g.id, c.job, outcome)
	if c.place {
		e.limiters[g.id].Release(latency, outcome)
	}
	e.ejector.Observe(g.id, latency, outcome)
}

// firstToken is called by the engine that prefilled the prompt.
func (c *call) firstToken(g *engine) {
	c.first = c.entry.now
	c.left = c.answer
	c.entry.run.worked(c, c.toPrefill)
	if g.role != carawayspread.RolePrefill && !g.changing {
		g.admit(c)
		return
	}
	c.move(g)
}

// move hands a prefilled call from one engine to another.
func (c *call) move(g *engine) {
	e := c.entry
	latency := time.Duration(0)
	if g.role == carawayspread.RolePrefill {
		latency = time.Duration(float64(e.now-c.sent) * chunk / c.prompt)
	}
	e.left(c, g, latency, carawayspread.OutcomeServed)
	e.handOver = append(e.handOver, c)
	e.in(0, e.pump)
}

func (c *call) refusedBy(g *engine) {
	c.entry.left(c, g, 0, carawayspread.OutcomeRefused)
	c.entry.again = append(c.entry.again, c)
	c.entry.in(0, c.entry.pump)
}

// finish is called by the engine that decoded the last token.
func (c *call) finish(g *engine) {
	e := c.entry
	c.last = e.now
	gap := (c.last - c.first) / time.Duration(c.answer)
	if e.run.fleet.kinds[c.class].plain {
		gap = c.last - c.sent
	}
	e.left(c, g, gap, carawayspread.OutcomeServed)
	if e.budget != nil {
		e.budget.Succeeded()
	}
	e.sched.Done(c.job, carawayspread.JobResult{
		Cost:       carawayspread.Cost{Prefill: int(c.toPrefill), Decode: int(c.answer)},
		FirstToken: c.first - c.next, Took: c.last - c.next,
	})
	delete(e.calls, c.job)
	e.run.over(c)
	e.pump()
}
