package placement

import (
	"time"

	"carawayspread"
	"carawayspread/internal/decision/room"
)

// needs is the KV memory that a request takes, in tokens.
type needs struct{ prefill, whole int }

func (p *Placer) needsOf(req carawayspread.PlacementRequest) needs {
	return needs{prefill: room.Blocks(req.Prompt.Tokens), whole: p.lengths.Tokens(req.Route.Name, req.Prompt)}
}

// fits reports whether the engine has a free slot, and KV memory for the request until its end. Prompts queue
// for slots at engines that only prefill, and keep their memory until a decode engine takes it.
func (p *Placer) fits(now time.Time, l load, e *engine, req carawayspread.PlacementRequest, n needs) bool {
	if e.prefillOnly() {
		return p.fitsMemory(now, l, e, req, n.prefill)
	}
	return l.running < slotsOf(e, req) && p.fitsMemory(now, l, e, req, n.whole)
}

// fitsMemory reports whether the engine holds that many more tokens, and what peers may be placing there at
// this moment. An idle engine takes whatever it holds.
func (p *Placer) fitsMemory(now time.Time, l load, e *engine, req carawayspread.PlacementRequest, tokens int) bool {
	memory := req.Service.Engine.KVTokens
	if memory == 0 {
		return true
	}
	if l.running == 0 {
		return tokens <= memory
	}
	full := kvCacheLimit * float64(memory)
	if req.Service.Engine.MaxHold == 0 && float64(l.tokens+tokens) > full/2 {
		tokens += p.unreportedTokens(now, e)
	}
	return float64(l.tokens+tokens) < full
}

// contested returns the KV memory to reserve at the engine before the request is sent there; zero if it has room
// for whatever all processes may place there before they know of each other: what they place anywhere, and what
// finds no room yet.
//
// When most engines are full, the one that gets room gets the next requests of all processes. A margin that
// prevents that leaves a quarter of the memory unused; the engine itself can tell who comes first, at the price
// of one message, which is paid only there.
func (p *Placer) contested(now time.Time, pool *pool, e *engine, req carawayspread.PlacementRequest) int {
	traits := req.Service.Engine
	l := p.load(now, e)
	if traits.MaxHold == 0 || traits.KVTokens == 0 || e.prefillOnly() {
		return 0
	}
	tokens := p.lengths.Tokens(req.Route.Name, req.Prompt)
	peers := len(p.loads.peers)
	arriving := pool.placed.Margin(now, peers) + pool.refused.Fleet(now, peers)
	if float64(l.tokens+tokens+arriving) < kvCacheLimit*float64(traits.KVTokens) {
		return 0
	}
	return tokens
}

// slotsOf returns how many requests the engine runs at once.
func slotsOf(e *engine, req carawayspread.PlacementRequest) int {
	if slots := e.endpoint.Slots(); slots > 0 {
		return slots
	}
	return max(1, req.Service.Engine.Slots)
}

// unreportedTokens returns what peers may have placed at the engine without this process knowing yet.
func (p *Placer) unreportedTokens(now time.Time, e *engine) int {
	u := p.unreported[e.hash]
	if u == nil {
		return 0
	}
	return u.Margin(now, len(p.loads.peers))
}

// reportPlaced records that a peer has placed so many tokens at the engine.
func (p *Placer) reportPlaced(now time.Time, e *engine, tokens int) {
	if tokens <= 0 {
		return
	}
	u := p.unreported[e.hash]
	if u == nil {
		u = &room.Unreported{}
		p.unreported[e.hash] = u
	}
	u.Report(now, tokens)
	if pool := p.pools[e.endpoint.Service()]; pool != nil && !e.prefillOnly() {
		pool.placed.Report(now, tokens)
	}
}

// forgetRemoved drops what is known of engines that are not listed any more.
func (p *Placer) forgetRemoved() {
	for hash := range p.unreported {
		if p.byHash[hash] == nil {
			delete(p.unreported, hash)
		}
	}
}

// heldTokens returns the KV memory that an attempt is counted with.
func (p *Placer) heldTokens(req carawayspread.PlacementRequest, at carawayspread.Placement) int {
	if at.PrefillOnly {
		return room.Blocks(req.Prompt.Tokens)
	}
	return p.lengths.Tokens(req.Route.Name, req.Prompt)
}

// grow counts another event of the answer, and tells peers where the request needs more memory than it is
// counted with. Otherwise an answer that turns out long would take memory that is given to another request.
func (a *attempt) grow() {
	if a.prompt == nil {
		return
	}
	a.output += a.tokensPerEvent
	if a.prompt.Tokens+a.output <= a.tokens {
		return
	}
	grown := room.Grown(a.prompt, a.output)
	e := a.engine
	e.ownTokens += grown - a.tokens
	a.tokens = grown
	a.placer.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.ownAttempts, Tokens: e.ownTokens})
}

// learnLength learns from an answer that was begun here and is complete.
func (a *attempt) learnLength(outcome carawayspread.Outcome) {
	if a.prompt != nil && a.fromStart && outcome == carawayspread.OutcomeServed && a.output > 0 {
		a.placer.lengths.Learn(a.route, a.prompt, a.output)
	}
}

// noChoice returns the refusal of a request for which there is no engine: because none may take it, or because
// none of those that may has room. Of the latter it says how long the first event takes once there is room.
func (p *Placer) noChoice(now time.Time, pool *pool, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	for _, e := range pool.ordered {
		if e.prefillOnly() || !pool.eligible(now, e, req) {
			continue
		}
		var at carawayspread.Placement
		if req.PrefilledBy == "" {
			cached := int(float64(req.Prompt.Tokens) * pool.cachedShare)
			at.TimeToFirstEvent = e.prefillTime(req.Prompt.Tokens, cached, 0) + e.delay
		}
		pool.refused.Report(now, p.lengths.Tokens(req.Route.Name, req.Prompt))
		return at, p.noRoom(pool)
	}
	return carawayspread.Placement{}, noEndpoint()
}

// noRoom returns the refusal of a request for which no engine has room. It tells when some is expected: an
// engine whose answers take so long, and of which so many run, ends one of them after their quotient.
func (p *Placer) noRoom(pool *pool) *carawayspread.Error {
	expected := maxRetryAfter
	for _, e := range pool.ordered {
		if running := p.load(p.env.Clock.Now(), e).running; running > 0 && !e.prefillOnly() {
			expected = min(expected, pool.answerTime(e, running)/time.Duration(running))
		}
	}
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
		carawayspread.NotRun(), carawayspread.RetryAfter(max(minRetryAfter, expected)), carawayspread.CausedBy(carawayspread.ErrNoRoom))
}
