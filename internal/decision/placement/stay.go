package placement

import (
	"slices"
	"time"

	"carawayspread"
)

// stay is one attempt at an engine.
type stay struct {
	placer   *Placer
	pool     *pool
	engine   *engine
	tokens   int
	work     time.Duration
	sent     time.Time
	start    time.Time     // when its reading was expected to begin
	end      time.Time     // and to end
	shift    time.Duration // of the engine then
	pace     float64       // of the engine then
	late     time.Duration // by its answer, until peers are told
	stride   int           // tokens of one event; zero where it is not stated
	event    time.Time     // when the last event came
	priority int           // of the route; 0 is the most urgent
	passed   int           // attempts that were sent later, are not more urgent, and have their answer
	answered bool
	// cold and warm are the work with nothing and with all held of a shared
	// beginning that nobody was known to hold; zero where somebody was.
	cold, warm time.Duration
	queued     float64 // of a plain service: how many times its own time it was expected to take there
	stream     bool    // the answer goes on after its first event
	ended      bool
}

const (
	// passedOver is how many later attempts may have their answer before one counts
	// as passed over: engines and networks swap two, not three.
	passedOver = 2
	// silentFor is how long an endpoint may show nothing at all, or silentFactor
	// times what the attempt itself takes there.
	//
	// Failure: what waits in a long queue is given up after a multiple of what was
	// expected and begins again at the end of another. Symptom: two in five
	// readings at a peak were for nothing. An endpoint that answers what came
	// before is waited for; one that holds a request and answers the rest, or that
	// is dark, shows itself by what passes and by silence.
	silentFor    = 600 * time.Millisecond
	silentFactor = 4
)

// Sent counts an attempt.
func (p *Placer) Sent(req carawayspread.PlacementRequest, at carawayspread.Placement) carawayspread.AttemptTracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	s := &stay{placer: p, sent: now, pool: p.pools[req.Service.Name]}
	if s.pool != nil {
		s.engine = s.pool.engines[at.Endpoint.ID()]
	}
	if s.engine == nil {
		s.engine = newEngine(at.Endpoint) // it left the list meanwhile
	}
	e := s.engine
	notice := carawayspread.LoadUpdate{EndpointHash: e.hash}
	if req.Prompt != nil {
		s.tokens = size(req.Prompt)
		if req.Service.Engine != nil {
			s.stride = req.Service.Engine.TokensPerEvent
		}
		chains := req.Prompt.PrefixHashes()
		notice.PrefixHashes = chains[:max(0, len(chains)-1)] // the last part is the request's own
		notice.PrefillTokens = max(0, req.Prompt.Tokens-at.CachedTokens)
		notice.PrefillTime = at.PrefillTime
		e.take(notice.PrefixHashes, notice.PrefillTokens+at.FetchedTokens)
		if s.pool != nil && at.PrefillTime > 0 {
			s.pool.arrived += notice.PrefillTokens
		}
	}
	s.priority = req.Route.Priority
	s.queued = queued(e, p.load(now, e).running)
	e.open = append(e.open, s)
	e.own++
	e.tokens += s.tokens
	if at.PrefillTime > 0 {
		s.work, s.cold, s.warm = at.PrefillTime, at.ColdPrefillTime, at.WarmPrefillTime
		s.shift, s.pace, s.stream = e.shift, e.pace, !at.PrefillOnly
		s.start, s.end = e.begin(now, at.PrefillTime)
		s.end = s.end.Add(at.FetchTime)
		e.calls++
	}
	if s.pool != nil {
		s.pool.ejector.Sent(e.endpoint.ID())
	}
	notice.Running, notice.Tokens = e.own, e.tokens
	p.env.Broadcast(notice)
	return s
}

// explained returns the work of a reading that took so long. Where nobody was known
// to hold its beginning, any time between that with all and with nothing of it held
// tells of what was held, not of the engine's pace.
func (s *stay) explained(took time.Duration) time.Duration {
	if s.cold == 0 {
		return s.work
	}
	return max(s.warm, min(s.cold, took))
}

// Answered learns from the time to the first event.
func (s *stay) Answered() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	if s.answered {
		return
	}
	s.answered = true
	now := s.placer.env.Clock.Now()
	s.engine.advanced = now
	s.leaveQueue(true)
	s.event = now
	if s.work > 0 {
		s.engine.calls--
		if s.pool != nil {
			s.pool.learnKept(now, s)
		}
		s.late = s.engine.answered(now, s)
		if s.pool != nil {
			s.pool.answered(now)
		}
		if s.stream {
			s.placer.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: s.engine.hash, Running: s.engine.own, Tokens: s.engine.tokens, PrefillDelay: s.late})
			s.late = 0
		}
	}
}

// Event learns from the time since the event before.
func (s *stay) Event() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := s.placer.env.Clock.Now()
	last := s.event
	s.event, s.engine.advanced = now, now
	if s.stride == 0 || last.IsZero() {
		return
	}
	s.engine.paused(last, now, s.stride, s.placer.load(now, s.engine).running)
}

// leaveQueue takes the attempt from those without an answer. Where it has one, those
// that were sent before it were passed over, unless it is more urgent.
func (s *stay) leaveQueue(answered bool) {
	e := s.engine
	i := slices.Index(e.open, s)
	if i < 0 {
		return
	}
	for _, before := range e.open[:i] {
		if answered && s.priority >= before.priority {
			before.passed++
		}
	}
	e.open = slices.Delete(e.open, i, i+1)
}

// Stalled reports whether the attempt was passed over or the engine is silent.
func (s *stay) Stalled() bool {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	quiet := s.placer.env.Clock.Now().Sub(later(s.sent, s.engine.advanced))
	return s.passed > passedOver || quiet >= max(silentFor, silentFactor*s.work)
}

// End frees the attempt.
func (s *stay) End(outcome carawayspread.Outcome) {
	p := s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	now := p.env.Clock.Now()
	e := s.engine
	s.leaveQueue(false)
	e.own--
	e.tokens -= s.tokens
	if s.work > 0 && !s.answered {
		// What was expected of it comes off again, unless it was through.
		e.calls--
		if left := e.through(s).Sub(now); left > 0 && e.reading.After(now) {
			e.reading = e.reading.Add(-min(left, s.work))
		}
	}
	if s.tokens == 0 && outcome == carawayspread.OutcomeServed {
		took := time.Duration(float64(now.Sub(s.sent)) / s.queued)
		if e.mean == 0 {
			e.mean = took
		}
		e.mean += time.Duration(plainLearning * float64(took-e.mean))
	}
	if outcome == carawayspread.OutcomeUnreachable {
		e.aside = later(e.aside, now.Add(unreachableFor))
	}
	if s.pool != nil {
		s.pool.ejector.Observe(e.endpoint.ID(), 0, outcome)
	}
	p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.own, Tokens: e.tokens, PrefillDelay: s.late})
}
