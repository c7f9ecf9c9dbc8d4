package placement

import (
	"time"

	"carawayspread"
)

// choice is a way to the first event.
type choice struct {
	engine *engine
	reads  bool
	first  time.Duration
	cost   time.Duration
	work   time.Duration
	alone  time.Duration // first, were nothing else there
	found  int
	from   *engine       // that holds more of the prompt; nil where nothing is fetched
	takes  time.Duration // until that is there
	// cold and warm are work with nothing and with all held of a shared beginning
	// that nobody is known to hold; zero where somebody is, or it is not its home.
	cold, warm time.Duration
}

func (p *Placer) placePrompt(now time.Time, pool *pool, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	chains := req.Prompt.PrefixHashes()
	pool.seen(req)
	engines := pool.candidates(req, chains)
	best, ok := p.best(now, pool, engines, req, chains)
	if !ok && len(engines) < len(pool.ordered) {
		// None of those drawn is open, which says nothing of the others.
		best, ok = p.best(now, pool, pool.ordered, req, chains)
	}
	if !ok {
		return carawayspread.Placement{}, nowhere()
	}
	if req.PrefilledBy != "" {
		return carawayspread.Placement{Endpoint: best.engine.endpoint, TimeToFirstEvent: best.first}, nil
	}
	at := carawayspread.Placement{
		Endpoint: best.engine.endpoint, PrefillOnly: best.reads, TimeToFirstEvent: best.first, CachedTokens: best.found,
		PrefillTime: best.work, QueueTime: best.engine.wait(now),
		FetchTime: best.takes, FetchedTokens: best.found - best.engine.holds,
		ColdPrefillTime: best.cold, WarmPrefillTime: best.warm,
	}
	if best.from != nil {
		at.FetchFrom = &best.from.endpoint
	}
	return at, p.judge(now, req, best)
}

// best returns the cheapest way to the first event by one of the engines.
func (p *Placer) best(now time.Time, pool *pool, engines []*engine, req carawayspread.PlacementRequest, chains []uint64) (choice, bool) {
	answer, continued := p.continued(now, pool, engines, req)
	if req.PrefilledBy != "" {
		return answer, continued
	}
	held := pool.find(now, engines, req, chains)
	var home *engine
	var away time.Duration
	if held.most == 0 {
		home = pool.home(now, engines, req, chains)
		away = time.Duration(homePrice * float64(shared(req.Prompt)) * float64(againPrice))
	}
	var best choice
	for e := range from(engines, req.Fingerprint) {
		if !pool.open(now, e, req) || e.reads() && (req.SingleEndpoint || !continued) {
			continue
		}
		l := p.load(now, e)
		if !e.reads() && !fits(l, e, req) {
			continue
		}
		if e == home {
			e.holds = int(pool.kept * float64(shared(req.Prompt)))
		}
		c := p.way(now, pool, e, l, held, answer, req)
		if e == home {
			c.cold = e.work(req.Prompt.Tokens, 0, l.running)
			c.warm = e.work(req.Prompt.Tokens, shared(req.Prompt), l.running)
		} else if home != nil {
			c.cost += away
		}
		if best.engine == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, best.engine != nil
}

// way returns what the first event takes and costs by an engine, which hands the
// KV cache to the one of answer where it only reads.
func (p *Placer) way(now time.Time, pool *pool, e *engine, l load, held sources, answer choice, req carawayspread.PlacementRequest) choice {
	found := e.holds
	work := e.work(req.Prompt.Tokens, found, l.running)
	less := e.work(req.Prompt.Tokens, held.most, l.running)
	source, takes := held.fetch(e, req.Service.Engine, work-less)
	if source != nil {
		work, found = less, held.most
	}
	c := choice{
		engine: e, reads: e.reads(), work: work, found: found, from: source, takes: takes,
		first: e.wait(now) + takes + work + e.delay,
	}
	if c.reads {
		c.first += handOver + answer.first
	} else {
		c.first += e.step(l.running)
	}
	c.cost = c.first + time.Duration(workPrice*float64(work))
	if c.reads {
		c.cost += answer.cost - answer.first
	} else {
		c.cost += p.rest(now, e, l.running, req) + time.Duration(besidePrice*float64(l.running)*float64(work))
		c.cost += pool.spoils(now, e, l.running, work, req)
	}
	c.cost += p.crossing(e, req) + time.Duration(max(0, held.most-found))*againPrice + time.Duration(found-e.holds)*fetchPrice
	c.alone = c.first - e.wait(now)
	return c
}

// spoils prices the answers that a reading would make late by a pause: those that
// run, unless what is read there already makes them late, and those that begin
// while it lasts.
//
// A prefill beside decodes puts a chunk between any two steps, so that each event takes
// several times as long. If only running answers counted, the next prompt would cost
// nothing where one is prefilled already, and engines that decode would prefill for as
// long as the load lasts.
func (pool *pool) spoils(now time.Time, e *engine, running int, work time.Duration, req carawayspread.PlacementRequest) time.Duration {
	bears, stride := pool.bears(), req.Service.Engine.TokensPerEvent
	if bears == 0 || running == 0 {
		return 0
	}
	wait := e.wait(now)
	if e.pause(running, stride, wait+time.Duration(unheard*float64(work)), req.Prompt.Tokens) <= bears {
		return 0
	}
	late := float64(running) * float64(work) / float64(pool.lasts(e, running))
	if e.pause(running, stride, wait, req.Prompt.Tokens) <= bears {
		late += float64(running)
	}
	return time.Duration(late * float64(req.Route.TargetLatency))
}

// judge refuses what would be too late to be worth its engine time.
func (p *Placer) judge(now time.Time, req carawayspread.PlacementRequest, way choice) error {
	first := way.first
	if now.Add(first).After(req.Deadline) {
		return p.tooLate(first)
	}
	if req.Admitted {
		return nil
	}
	fair := p.fair[req.Route.Name]
	if fair == nil {
		fair = &fairness{}
		p.fair[req.Route.Name] = fair
	}
	target, alone := float64(req.Route.TargetLatency), float64(way.alone)
	var allowed time.Duration
	var kind int
	if req.TargetMissed {
		kind = fair.kind(weight(req.Prompt))
		allowed = time.Duration(max(latePatience*target, (1+lateQueue+fair.grant(kind))*alone))
	} else {
		kind = fair.ask(weight(req.Prompt))
		allowed = time.Duration(max(patience*target, (ownPatience+fair.grant(kind))*alone)) - now.Sub(req.Arrived)
	}
	if first > allowed {
		return p.tooLate(first - allowed)
	}
	fair.take(kind)
	return nil
}

// continued returns the engine that would go on from a KV cache first.
func (p *Placer) continued(now time.Time, pool *pool, engines []*engine, req carawayspread.PlacementRequest) (choice, bool) {
	var best choice
	zone := p.env.Zone
	if from := pool.engines[req.PrefilledBy]; from != nil {
		zone = from.endpoint.Zone()
	}
	traits := req.Service.Engine
	var move time.Duration
	if traits.LinkBitsPerSecond > 0 {
		move = time.Duration(float64(req.Prompt.Tokens) * float64(traits.KVBytesPerToken) * 8 / float64(traits.LinkBitsPerSecond) * float64(time.Second))
	}
	for e := range from(engines, req.Fingerprint) {
		if e.reads() || !pool.open(now, e, req) {
			continue
		}
		l := p.load(now, e)
		if !fits(l, e, req) {
			continue
		}
		first := move + e.step(l.running)
		if e.wait(now) > 0 {
			first += wholePiece * wholeFactor * startPerToken
		}
		cost := p.rest(now, e, l.running, req) + p.crossing(e, req)
		transfer := transferPrice * move
		if e.endpoint.Zone() != zone {
			first += move * (zoneFactor - 1)
			cost += otherZone
			transfer *= otherZoneTransfer
		}
		cost += min(transfer, time.Duration(transferPriceMost*float64(req.Route.TargetLatency)))
		if bears := pool.bears(); bears > 0 && e.pause(l.running, traits.TokensPerEvent, e.wait(now), req.Prompt.Tokens) > bears {
			cost += req.Route.TargetLatency // it would be late by a pause
		}
		cost += first
		if best.engine == nil || cost < best.cost {
			best = choice{engine: e, first: first, cost: cost}
		}
	}
	return best, best.engine != nil
}

// crossing prices the bytes of a request that go to another availability zone.
func (p *Placer) crossing(e *engine, req carawayspread.PlacementRequest) time.Duration {
	if e.endpoint.Zone() == p.env.Zone {
		return 0
	}
	return otherZone + time.Duration(req.Bytes)*otherZoneByte
}

// rest prices the answer after its first event.
func (p *Placer) rest(now time.Time, e *engine, running int, req carawayspread.PlacementRequest) time.Duration {
	takes := time.Duration(size(req.Prompt)-req.Prompt.Tokens) * e.token(now, running)
	price := time.Duration(tokenPrice * float64(takes))
	if over := takes - time.Duration(answerShare*float64(req.Deadline.Sub(now))); over > 0 {
		price += over / 4
	}
	return price
}

// fits reports whether the engine has a slot and memory for the request.
func fits(l load, e *engine, req carawayspread.PlacementRequest) bool {
	traits := req.Service.Engine
	slots := max(1, e.endpoint.Slots())
	if e.endpoint.Slots() == 0 {
		slots = max(1, traits.Slots)
	}
	if l.running >= slots {
		return false
	}
	return traits.KVTokens == 0 || float64(l.tokens+size(req.Prompt)) < memoryLimit*float64(traits.KVTokens)
}

// size returns the tokens of a request in an engine's memory.
func size(prompt *carawayspread.Prompt) int {
	out := prompt.MaxOutputTokens
	if prompt.LengthHint > 0 {
		out = min(out, prompt.LengthHint)
	}
	return prompt.Tokens + out
}
