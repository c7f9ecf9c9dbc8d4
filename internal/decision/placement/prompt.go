package placement

import (
	"time"

	"carawayspread"
)

// choice is an engine for a request, with the expected times and the cost of choosing it.
type choice struct {
	engine           *engine
	prefillOnly      bool
	timeToFirstEvent time.Duration
	cost             time.Duration
	prefillTime      time.Duration
	unqueued         time.Duration // timeToFirstEvent without a queue
	cachedTokens     int
	fetchSource      *engine       // engine to fetch a cached prefix from; nil for none
	fetchTime        time.Duration // expected time of the fetch
	// coldPrefillTime and warmPrefillTime are prefillTime with nothing and with all cached of a
	// shared prefix that no engine is known to hold; zero if one is, or if the engine is not the
	// affinity engine.
	coldPrefillTime, warmPrefillTime time.Duration
}

func (p *Placer) placePrompt(now time.Time, pool *pool, req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	prefixHashes := req.Prompt.PrefixHashes()
	pool.observePrompt(req)
	p.arrive(req)
	engines := pool.candidates(req, prefixHashes)
	best, ok := p.best(now, pool, engines, req, prefixHashes)
	if !ok && len(engines) < len(pool.ordered) {
		// No sampled engine is eligible, which says nothing about the others.
		best, ok = p.best(now, pool, pool.ordered, req, prefixHashes)
	}
	if !ok {
		return p.noChoice(now, pool, req)
	}
	if req.PrefilledBy != "" {
		return carawayspread.Placement{
			Endpoint: best.engine.endpoint, TimeToFirstEvent: best.timeToFirstEvent, EventGap: p.answerGap(now, best.engine, req),
			ReserveTokens: p.contested(now, pool, best.engine, req),
		}, nil
	}
	at := p.placementOf(now, pool, best, req)
	shares := p.sharesOf(req.Route.Name)
	class := shares.Class(weightedTokens(req.Prompt))
	owed := shares.Owed(class)
	refusal := p.admit(now, req, best, &at)
	if refusal != nil && owed >= overtakingOwed && !req.Admitted {
		if urgent, ok := p.overtake(now, pool, engines, req, prefixHashes); ok {
			at, refusal = urgent, nil
		}
	}
	at.SizeClass, at.Owed = class, owed
	if refusal != nil {
		return at, refusal
	}
	if !req.Admitted {
		at.Admission = p.countAdmission(req, class)
	}
	p.correctBacklog(now, pool, pool.engines[at.Endpoint.ID()])
	return at, nil
}

// placementOf returns the placement of a request at the chosen engine.
func (p *Placer) placementOf(now time.Time, pool *pool, best choice, req carawayspread.PlacementRequest) carawayspread.Placement {
	at := carawayspread.Placement{
		Endpoint: best.engine.endpoint, PrefillOnly: best.prefillOnly, TimeToFirstEvent: best.timeToFirstEvent, CachedTokens: best.cachedTokens,
		PrefillTime: best.prefillTime, QueueTime: p.queueTime(now, pool, best.engine, urgencyOf(req)),
		FetchTime: best.fetchTime, FetchedTokens: best.cachedTokens - best.engine.cachedPrefix,
		ColdPrefillTime: best.coldPrefillTime, WarmPrefillTime: best.warmPrefillTime,
		ReserveTokens: p.contested(now, pool, best.engine, req),
	}
	if best.fetchSource != nil {
		at.FetchFrom = &best.fetchSource.endpoint
	}
	return at
}

// best returns the choice with the lowest cost among the engines.
func (p *Placer) best(now time.Time, pool *pool, engines []*engine, req carawayspread.PlacementRequest, prefixHashes []uint64) (choice, bool) {
	decode, canDecode := p.bestDecode(now, pool, engines, req)
	if req.PrefilledBy != "" {
		return decode, canDecode
	}
	sources := pool.findSources(now, engines, req, prefixHashes)
	var affinity *engine
	var missPrice time.Duration
	if sources.cachedTokens == 0 {
		affinity = pool.affinityEngine(now, engines, req, prefixHashes)
		missPrice = time.Duration(affinityMissPrice * float64(sharedTokens(req.Prompt)) * float64(recomputePrice))
	}
	var best choice
	need := p.needsOf(req)
	for e := range rotated(engines, req.Fingerprint) {
		if !pool.eligible(now, e, req) || e.prefillOnly() && (req.SingleEndpoint || !canDecode) {
			continue
		}
		l := p.load(now, e)
		if !p.fits(now, l, e, req, need) {
			continue
		}
		if e == affinity {
			e.cachedPrefix = int(pool.affinityHitRate * float64(sharedTokens(req.Prompt)))
		}
		c := p.evaluate(now, pool, e, l, sources, decode, req)
		if e == affinity {
			c.coldPrefillTime = e.prefillTime(req.Prompt.Tokens, 0, l.running)
			c.warmPrefillTime = e.prefillTime(req.Prompt.Tokens, sharedTokens(req.Prompt), l.running)
		} else if affinity != nil {
			c.cost += missPrice
		}
		if best.engine == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, best.engine != nil
}

// evaluate returns the choice of one engine, with its time to the first event and its cost. An
// engine that only prefills hands the KV cache over to the engine of decode.
func (p *Placer) evaluate(now time.Time, pool *pool, e *engine, l load, sources cacheSources, decode choice, req carawayspread.PlacementRequest) choice {
	cached := e.cachedPrefix
	prefillTime := e.prefillTime(req.Prompt.Tokens, cached, l.running)
	fetchedPrefillTime := e.prefillTime(req.Prompt.Tokens, sources.cachedTokens, l.running)
	source, fetchTime := sources.fetchSource(e, req.Service.Engine, prefillTime-fetchedPrefillTime)
	if source != nil {
		prefillTime, cached = fetchedPrefillTime, sources.cachedTokens
	}
	wait := p.queueTime(now, pool, e, urgencyOf(req))
	c := choice{
		engine: e, prefillOnly: e.prefillOnly(), prefillTime: prefillTime, cachedTokens: cached, fetchSource: source, fetchTime: fetchTime,
		timeToFirstEvent: wait + fetchTime + prefillTime + e.delay,
	}
	if c.prefillOnly {
		c.timeToFirstEvent += handoffDelay + decode.timeToFirstEvent
	} else {
		c.timeToFirstEvent += e.stepTime(l.running)
	}
	c.cost = c.timeToFirstEvent + time.Duration(prefillPrice*float64(prefillTime))
	if c.prefillOnly {
		c.cost += decode.cost - decode.timeToFirstEvent
	} else {
		c.cost += p.decodeCost(now, e, l.running, req) + time.Duration(interferencePrice*float64(l.running)*float64(prefillTime))
		c.cost += pool.gapPenalty(now, e, l.running, prefillTime, req)
	}
	c.cost += p.crossZoneCost(e, req) + time.Duration(max(0, sources.cachedTokens-cached))*recomputePrice + time.Duration(cached-e.cachedPrefix)*fetchPrice
	c.unqueued = c.timeToFirstEvent - wait
	return c
}

// gapPenalty prices the answers that a prefill would make late by a gap between events: those that
// run, unless pending prefills make them late already, and those that start while the prefill runs.
//
// A prefill beside decodes puts a chunk between any two steps, so that each event takes several
// times as long. If only running answers counted, the next prompt would cost nothing where one is
// prefilled already, and engines that decode would prefill for as long as the load lasts.
func (pool *pool) gapPenalty(now time.Time, e *engine, running int, prefillTime time.Duration, req carawayspread.PlacementRequest) time.Duration {
	limit, tokensPerEvent := pool.gapLimit(), req.Service.Engine.TokensPerEvent
	if limit == 0 || running == 0 {
		return 0
	}
	wait := e.wait(now)
	if e.eventGap(running, tokensPerEvent, wait+time.Duration(unknownPrefillFactor*float64(prefillTime)), req.Prompt.Tokens) <= limit {
		return 0
	}
	late := float64(running) * float64(prefillTime) / float64(pool.answerTime(e, running))
	if e.eventGap(running, tokensPerEvent, wait, req.Prompt.Tokens) <= limit {
		late += float64(running)
	}
	return time.Duration(late * float64(req.Route.TargetLatency))
}

// admit refuses a request that would be too late to be worth its engine time. What it decided by is
// added to the placement.
func (p *Placer) admit(now time.Time, req carawayspread.PlacementRequest, best choice, at *carawayspread.Placement) error {
	first := best.timeToFirstEvent
	if now.Add(first).After(req.Deadline) {
		return p.overloaded(first)
	}
	if req.Admitted {
		return nil
	}
	target, unqueued := float64(req.Route.TargetLatency), float64(best.unqueued)
	if req.TargetMissed {
		at.Allowed = time.Duration(max(lateTargetTolerance*target, (1+lateQueueTolerance)*unqueued))
	} else {
		at.Allowed = time.Duration(max(targetTolerance*target, unqueuedTolerance*unqueued)) - now.Sub(req.Arrived)
	}
	if first > at.Allowed {
		return p.overloaded(first - at.Allowed)
	}
	return nil
}

// bestDecode returns the engine with the lowest cost for decoding from a transferred KV cache.
func (p *Placer) bestDecode(now time.Time, pool *pool, engines []*engine, req carawayspread.PlacementRequest) (choice, bool) {
	var best choice
	zone := p.env.Zone
	if source := pool.engines[req.PrefilledBy]; source != nil {
		zone = source.endpoint.Zone()
	}
	traits, need := req.Service.Engine, p.needsOf(req)
	var transferTime time.Duration
	if traits.LinkBitsPerSecond > 0 {
		transferTime = time.Duration(float64(req.Prompt.Tokens) * float64(traits.KVBytesPerToken) * 8 / float64(traits.LinkBitsPerSecond) * float64(time.Second))
	}
	for e := range rotated(engines, req.Fingerprint) {
		if e.prefillOnly() || !pool.eligible(now, e, req) {
			continue
		}
		l := p.load(now, e)
		if !p.fits(now, l, e, req, need) {
			continue
		}
		first := transferTime + e.stepTime(l.running)
		if e.wait(now) > 0 {
			first += prefillChunk * mixedPrefillFactor * prefillPerToken
		}
		cost := p.decodeCost(now, e, l.running, req) + p.crossZoneCost(e, req)
		linkPrice := transferPrice * transferTime
		if e.endpoint.Zone() != zone {
			first += transferTime * (crossZoneFactor - 1)
			cost += crossZonePrice
			linkPrice *= crossZoneTransferFactor
		}
		cost += min(linkPrice, time.Duration(maxTransferPrice*float64(req.Route.TargetLatency)))
		if limit := pool.gapLimit(); limit > 0 && e.eventGap(l.running, traits.TokensPerEvent, e.wait(now), req.Prompt.Tokens) > limit {
			cost += req.Route.TargetLatency // it would be late by an event gap
		}
		cost += first
		if best.engine == nil || cost < best.cost {
			best = choice{engine: e, timeToFirstEvent: first, cost: cost}
		}
	}
	return best, best.engine != nil
}

// answerGap returns the expected time between two events of an answer that the engine decodes besides its others.
func (p *Placer) answerGap(now time.Time, e *engine, req carawayspread.PlacementRequest) time.Duration {
	running := p.load(now, e).running + 1
	token := max(e.stepTime(running), e.interTokenLatency(now, running))
	return time.Duration(req.Service.Engine.TokensPerEvent) * token
}

// crossZoneCost prices the bytes of a request that go to another availability zone.
func (p *Placer) crossZoneCost(e *engine, req carawayspread.PlacementRequest) time.Duration {
	if e.endpoint.Zone() == p.env.Zone {
		return 0
	}
	return crossZonePrice + time.Duration(req.Bytes)*crossZoneBytePrice
}

// decodeCost prices the answer after its first event.
func (p *Placer) decodeCost(now time.Time, e *engine, running int, req carawayspread.PlacementRequest) time.Duration {
	decodeTime := time.Duration(sequenceTokens(req.Prompt)-req.Prompt.Tokens) * e.interTokenLatency(now, running)
	price := time.Duration(decodePrice * float64(decodeTime))
	if over := decodeTime - time.Duration(maxDecodeShare*float64(req.Deadline.Sub(now))); over > 0 {
		price += over / 4
	}
	return price
}

// sequenceTokens returns the tokens of a request at its expected end: its prompt and its output.
func sequenceTokens(prompt *carawayspread.Prompt) int {
	output := prompt.MaxOutputTokens
	if prompt.LengthHint > 0 {
		output = min(output, prompt.LengthHint)
	}
	return prompt.Tokens + output
}
