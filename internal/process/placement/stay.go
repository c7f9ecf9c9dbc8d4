package placement

import (
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
	start    time.Time // when its reading was expected to begin
	end      time.Time // and to end
	stride   int       // tokens of one event; zero where it is not stated
	event    time.Time // when the last event came
	answered bool
	ended    bool
}

// Sent counts an attempt.
func (p *Placer) Sent(req carawayspread.Placing, at carawayspread.Placement) carawayspread.Stay {
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
	notice := carawayspread.Notice{Endpoint: e.hash}
	if req.Prompt != nil {
		s.tokens = size(req.Prompt)
		if req.Service.Engine != nil {
			s.stride = req.Service.Engine.Stride
		}
		chains := req.Prompt.Chains()
		notice.Chains = chains[:max(0, len(chains)-1)] // the last part is the request's own
		notice.Read = max(0, req.Prompt.Tokens-at.Found)
		notice.Work = at.Work
		e.take(notice.Chains, notice.Read)
		if s.pool != nil && at.Work > 0 {
			s.pool.arrived += notice.Read
		}
	}
	e.own++
	e.tokens += s.tokens
	if at.Work > 0 {
		s.work = at.Work
		s.start, s.end = e.begin(now, at.Work)
		e.calls++
	}
	if s.pool != nil {
		s.pool.ejector.Sent(e.endpoint.ID())
	}
	notice.Running, notice.Tokens = e.own, e.tokens
	p.env.Tell(notice)
	return s
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
	s.event = now
	if s.work > 0 {
		s.engine.calls--
		s.engine.learn(now, s.sent, s.start, s.end)
		if s.pool != nil {
			s.pool.teach()
		}
	}
}

// Event learns from the time since the event before.
func (s *stay) Event() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := s.placer.env.Clock.Now()
	last := s.event
	s.event = now
	if s.stride == 0 || last.IsZero() {
		return
	}
	s.engine.paused(last, now, s.stride, s.placer.load(now, s.engine).running)
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
	e.own--
	e.tokens -= s.tokens
	if s.work > 0 && !s.answered {
		// What was expected of it comes off again, unless it was through.
		e.calls--
		if left := s.end.Sub(now); left > 0 && e.reading.After(now) {
			e.reading = e.reading.Add(-min(left, s.work))
		}
	}
	if s.tokens == 0 && outcome == carawayspread.OutcomeServed {
		took := now.Sub(s.sent)
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
	p.env.Tell(carawayspread.Notice{Endpoint: e.hash, Running: e.own, Tokens: e.tokens})
}
