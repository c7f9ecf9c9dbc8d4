package placement

import (
	"slices"
	"time"

	"carawayspread"
)

// attempt is one attempt of a request at an engine.
type attempt struct {
	placer             *Placer
	pool               *pool
	engine             *engine
	tokens             int
	prefillTime        time.Duration
	sentAt             time.Time
	expectedStart      time.Time     // of the prefill, as expected when it was sent
	expectedEnd        time.Time     // of the prefill, as expected when it was sent
	backlogShift       time.Duration // of the engine when it was sent
	slowdown           float64       // of the engine when it was sent
	unreportedLateness time.Duration // backlog correction from its answer that peers have not been sent
	tokensPerEvent     int           // tokens of one event; zero if not configured
	lastEvent          time.Time     // time of the last event
	priority           int           // of the route; 0 is the most urgent
	overtaken          int           // attempts sent later, not more urgent, that have their answer
	answered           bool
	// coldPrefillTime and warmPrefillTime are the prefill time with nothing and with all cached of
	// a shared prefix that no engine was known to hold; zero if one was.
	coldPrefillTime, warmPrefillTime time.Duration
	queueFactor                      float64 // of a plain service: expected latency relative to that without a queue
	streams                          bool    // the answer continues after its first event
	ended                            bool

	route     string
	prompt    *carawayspread.Prompt // of an attempt that decodes; nil for others
	output    int                   // tokens of the answer so far; zero if their number is unknown
	fromStart bool                  // the answer begins at its first token
}

const (
	// maxOvertaken is how many later attempts may have their answer before an attempt counts as
	// stalled: engines and networks reorder two attempts, not three.
	maxOvertaken = 2
	// minSilence is how long an endpoint may show no progress at all, or silenceFactor times the
	// expected prefill time of the attempt if that is longer.
	//
	// With a timeout of a multiple of the expected time, attempts in a long queue were given up and
	// restarted at the end of another queue: two in five prefills at a peak were wasted. An
	// endpoint that answers earlier attempts is waited for. One that holds a request and answers
	// the rest is detected by the attempts that overtake, and one that has failed by its silence.
	minSilence    = 600 * time.Millisecond
	silenceFactor = 4
)

// Sent records that an attempt was sent, and notifies the peers.
func (p *Placer) Sent(req carawayspread.PlacementRequest, at carawayspread.Placement) carawayspread.AttemptTracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	a := &attempt{placer: p, sentAt: now, pool: p.pools[req.Service.Name]}
	if a.pool != nil {
		a.engine = a.pool.engines[at.Endpoint.ID()]
	}
	if a.engine == nil {
		a.engine = newEngine(at.Endpoint) // it was removed from the endpoint list meanwhile
	}
	e := a.engine
	update := carawayspread.LoadUpdate{EndpointHash: e.hash}
	if req.Prompt != nil {
		a.route, a.fromStart = req.Route.Name, req.Route.Stream && !req.Admitted
		a.tokens = p.heldTokens(req, at)
		if !at.PrefillOnly {
			a.prompt = req.Prompt
		}
		if req.Service.Engine != nil {
			a.tokensPerEvent = req.Service.Engine.TokensPerEvent
		}
		hashes := req.Prompt.PrefixHashes()
		update.PrefixHashes = hashes[:max(0, len(hashes)-1)] // no other prompt shares the last part
		update.PrefillTokens = max(0, req.Prompt.Tokens-at.CachedTokens)
		update.PrefillTime = at.PrefillTime
		e.cacheParts(update.PrefixHashes, update.PrefillTokens+at.FetchedTokens)
		if a.pool != nil && at.PrefillTime > 0 {
			a.pool.arrivedTokens += update.PrefillTokens
		}
	}
	a.priority = req.Route.Priority
	a.queueFactor = queueFactor(e, p.load(now, e).running)
	e.unanswered = append(e.unanswered, a)
	e.ownAttempts++
	e.ownTokens += a.tokens
	if at.PrefillTime > 0 {
		a.prefillTime, a.coldPrefillTime, a.warmPrefillTime = at.PrefillTime, at.ColdPrefillTime, at.WarmPrefillTime
		a.backlogShift, a.slowdown, a.streams = e.backlogShift, e.slowdown, !at.PrefillOnly
		e.addPrefill(now, at.PrefillTime)
		a.expectedStart = now.Add(at.QueueTime)
		a.expectedEnd = a.expectedStart.Add(at.PrefillTime + at.FetchTime)
		e.ownPrefills++
	}
	if a.pool != nil {
		a.pool.ejector.Sent(e.endpoint.ID())
	}
	update.Running, update.Tokens = e.ownAttempts, e.ownTokens
	p.env.Broadcast(update)
	return a
}

// attributablePrefillTime returns the expected time that a measured prefill time is compared with.
// If no engine was known to hold the prefix, any time between the warm and the cold one shows how
// much of it was cached and says nothing about the engine's slowdown.
func (a *attempt) attributablePrefillTime(measured time.Duration) time.Duration {
	if a.coldPrefillTime == 0 {
		return a.prefillTime
	}
	return max(a.warmPrefillTime, min(a.coldPrefillTime, measured))
}

// Answered learns from the time to the first event.
func (a *attempt) Answered() {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if a.answered {
		return
	}
	a.answered = true
	a.grow()
	now := a.placer.env.Clock.Now()
	a.engine.lastProgress = now
	a.removeUnanswered(true)
	a.lastEvent = now
	if a.prefillTime > 0 {
		a.engine.ownPrefills--
		if a.pool != nil {
			a.pool.learnHitRate(now, a)
		}
		a.unreportedLateness = a.engine.learnFromPrefill(now, a)
		if a.pool != nil {
			a.pool.seedIfDue(now)
		}
		if a.streams {
			a.placer.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: a.engine.hash, Running: a.engine.ownAttempts, Tokens: a.engine.ownTokens, PrefillDelay: a.unreportedLateness})
			a.unreportedLateness = 0
		}
	}
}

// Event learns from the time since the previous event.
func (a *attempt) Event() {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	now := a.placer.env.Clock.Now()
	last := a.lastEvent
	a.lastEvent, a.engine.lastProgress = now, now
	a.grow()
	if a.tokensPerEvent == 0 || last.IsZero() {
		return
	}
	a.engine.learnStepTime(last, now, a.tokensPerEvent, a.placer.load(now, a.engine).running)
}

// removeUnanswered removes the attempt from the unanswered ones. If it has its answer, it has
// overtaken those that were sent before it, unless it is more urgent.
func (a *attempt) removeUnanswered(answered bool) {
	e := a.engine
	i := slices.Index(e.unanswered, a)
	if i < 0 {
		return
	}
	for _, earlier := range e.unanswered[:i] {
		if answered && a.priority >= earlier.priority {
			earlier.overtaken++
		}
	}
	e.unanswered = slices.Delete(e.unanswered, i, i+1)
}

// Stalled reports whether the attempt was overtaken too often or the engine is silent.
func (a *attempt) Stalled() bool {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	silence := a.placer.env.Clock.Now().Sub(later(a.sentAt, a.engine.lastProgress))
	return a.overtaken > maxOvertaken || silence >= max(minSilence, silenceFactor*a.prefillTime)
}

// End releases what the attempt holds and learns from its outcome.
func (a *attempt) End(outcome carawayspread.Outcome) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.learnLength(outcome)
	now := p.env.Clock.Now()
	e := a.engine
	a.removeUnanswered(false)
	e.ownAttempts--
	e.ownTokens -= a.tokens
	if a.prefillTime > 0 && !a.answered {
		// Its prefill no longer counts in the backlog, unless it has ended by now.
		e.ownPrefills--
		if remaining := e.expectedEnd(a).Sub(now); remaining > 0 && e.busyUntil.After(now) {
			e.busyUntil = e.busyUntil.Add(-min(remaining, a.prefillTime))
		}
	}
	if a.tokens == 0 && outcome == carawayspread.OutcomeServed {
		took := time.Duration(float64(now.Sub(a.sentAt)) / a.queueFactor)
		if e.meanLatency == 0 {
			e.meanLatency = took
		}
		e.meanLatency += time.Duration(plainLearningRate * float64(took-e.meanLatency))
	}
	if outcome == carawayspread.OutcomeUnreachable {
		e.suspendedUntil = later(e.suspendedUntil, now.Add(unreachableSuspension))
	}
	if a.pool != nil {
		a.pool.ejector.Observe(e.endpoint.ID(), 0, outcome)
	}
	p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.ownAttempts, Tokens: e.ownTokens, PrefillDelay: a.unreportedLateness})
}
