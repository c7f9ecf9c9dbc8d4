// Package placement decides on which engine a request is prefilled and decoded, and which requests
// are refused.
//
// Prompts of very different length arrive at several processes and share prefixes. They are
// prefilled by engines that only prefill or, more slowly, by engines that also decode. With plain
// load balancing, long prompts queue at some engines while others idle, shared prefixes are
// prefilled again and again, and every process sends its next request to the engine that looked
// free to all of them.
//
// Each process keeps, for each engine, when the known prefills end and which parts of prompts the
// engine holds, and notifies its peers of each placement. A request goes to the engine with the
// earliest expected first event, after adding a price for the engine time that it takes from other
// requests. A request that cannot be answered while its caller waits is refused at once.
//
// A process that receives no load updates knows its own placements only.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/room"
	"carawayspread/internal/decision/sizeshares"
)

const (
	// handoffDelay is the fixed time of moving a KV cache, in addition to the transfer of its
	// bytes.
	handoffDelay = 6 * time.Millisecond
	// crossZoneFactor is how much longer a KV cache transfer takes between zones.
	crossZoneFactor = 2
	// crossZonePrice and crossZoneBytePrice are the prices of a request, and of each of its bytes,
	// that crosses to another zone.
	crossZonePrice     = 3 * time.Millisecond
	crossZoneBytePrice = 2 * time.Microsecond
	// transferPrice is the price of a millisecond of a link between engines that moves a KV cache,
	// and crossZoneTransferFactor multiplies it between zones: operators pay for traffic between
	// zones, and other traffic shares those links.
	transferPrice           = 8
	crossZoneTransferFactor = 3
	// maxTransferPrice bounds the price of a transfer, relative to the target, so that no answer is
	// late to spare a link.
	maxTransferPrice = 0.25
	// prefillPrice is the price of a millisecond of engine time, relative to a millisecond of the
	// request's own wait.
	prefillPrice = 0.6
	// recomputePrice is the price of prefilling a token that another engine holds, in addition to
	// the time that it takes here.
	//
	// Without it a shared prefix is prefilled by every engine that happens to be free, and the KV
	// memories of the engines turn over sooner. A prefix of usual length is worth half a second of
	// queueing; when the queue is longer, the prefix spreads to other engines.
	recomputePrice = 100 * time.Microsecond
	// decodePrice is the price of a millisecond of the answer after its first event. It prefers the
	// engines that decode fastest.
	decodePrice = 0.01
	// interferencePrice is the price of a millisecond of prefill for each running answer that it
	// slows down.
	interferencePrice = 0.015
	// gapTargetShare is the part of the routes' target for the gap between events that is planned
	// for.
	gapTargetShare = 0.9
	// unknownPrefillFactor scales a prefill beside decodes when its event gap is estimated: load
	// updates of some prefills that other processes send to the engine at the same moment arrive
	// too late.
	unknownPrefillFactor = 1.5
	// meanLearningRate is the weight of one prompt in the mean lengths of prompts and outputs.
	meanLearningRate = 0.02
	// maxDecodeShare is the part of the time left until the deadline that the whole answer may be
	// expected to take; an engine where it takes longer is penalised.
	maxDecodeShare = 0.7
	// targetTolerance bounds the expected time of a request, relative to its target. A request that
	// is expected later is refused, since it would delay others and be late itself.
	targetTolerance = 1.15
	// unqueuedTolerance is the same bound relative to the time that the request would take without
	// a queue.
	//
	// Prompts whose prefill alone takes as long as the target would otherwise be refused always,
	// and the largest requests of a class would hardly ever be served. They are admitted where they
	// wait little.
	unqueuedTolerance = 1.15
	// lateQueueTolerance is how long a request that is late already may wait for an engine,
	// relative to the time that it would take without a queue.
	//
	// Under overload, refused callers retry, and their late requests would take the engines from
	// those that can still meet their target, until nearly all answers are late. A late request
	// waits little or is refused again.
	lateQueueTolerance = 0.35
	// lateTargetTolerance is the part of the target that a late request may take in any case, since
	// a second refusal leaves its caller without an answer.
	lateTargetTolerance = 0.9
	// maxPeerCorrection bounds the backlog correction that a peer may report for one prefill.
	maxPeerCorrection = maxBacklogCorrection
	// kvCacheLimit is the part of the KV memory that running requests may take.
	kvCacheLimit = 0.92
	// initialPlainLatency is the assumed latency of a plain service before the first answer.
	initialPlainLatency = 30 * time.Millisecond
	// plainLearningRate is the weight of one answer in the mean latency.
	plainLearningRate = 0.05
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is given.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Placer is a carawayspread.Placer that estimates the time to the first event at each engine.
type Placer struct {
	env carawayspread.Environment

	mu      sync.Mutex
	pools   map[string]*pool
	byHash  map[uint32]*engine
	loads   *loads
	shares  map[string]*sizeshares.Shares // by route
	lengths *room.Lengths
	// unreported is what peers place at engines, by the engine's hash.
	unreported map[uint32]*room.Unreported
}

var _ = carawayspread.Placers.Register("estimate", func(env carawayspread.Environment) carawayspread.Placer {
	return New(env)
})

// New returns a placer without endpoints.
func New(env carawayspread.Environment) *Placer {
	if env.Broadcast == nil {
		env.Broadcast = func(carawayspread.LoadUpdate) {}
	}
	return &Placer{
		env: env, pools: map[string]*pool{}, byHash: map[uint32]*engine{}, loads: newLoads(), shares: map[string]*sizeshares.Shares{},
		lengths: room.NewLengths(), unreported: map[uint32]*room.Unreported{},
	}
}

func hashOf(id carawayspread.EndpointID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// SetEndpoints replaces the endpoints of a service and keeps what was learned of them.
func (p *Placer) SetEndpoints(service string, endpoints []carawayspread.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.pools[service]
	if old == nil {
		eject, _ := carawayspread.Ejectors.Get("")
		old = &pool{affinityHitRate: initialHitRate, ejector: eject(p.env), gapTargets: map[string]time.Duration{}}
	}
	next := &pool{}
	*next = *old // what was learned of the service remains
	next.engines, next.ordered = make(map[carawayspread.EndpointID]*engine, len(endpoints)), nil
	ids := make([]carawayspread.EndpointID, 0, len(endpoints))
	now := p.env.Clock.Now()
	for _, endpoint := range endpoints {
		e := old.engines[endpoint.ID()]
		if e == nil {
			e = newEngine(endpoint)
		}
		if endpoint.Leaving() && !e.endpoint.Leaving() && !e.suspendedUntil.After(now) {
			p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.ownAttempts, Tokens: e.ownTokens, SuspendedFor: leavingSuspension})
		}
		e.update(endpoint)
		e.maxParts = max(1, min(maxPartsPerEngine, maxPartsPerService/len(endpoints)))
		next.engines[endpoint.ID()] = e
		next.ordered = append(next.ordered, e)
		ids = append(ids, endpoint.ID())
	}
	slices.SortFunc(next.ordered, func(a, b *engine) int { return cmp.Compare(a.endpoint.ID(), b.endpoint.ID()) })
	next.seedUnlearned()
	next.ejector.SetEndpoints(ids)
	p.pools[service] = next
	p.byHash = map[uint32]*engine{}
	for _, pool := range p.pools {
		for _, e := range pool.engines {
			p.byHash[e.hash] = e
		}
	}
	p.forgetRemoved()
}

// Place chooses an endpoint, or returns the refusal of the request.
func (p *Placer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	pool := p.pools[req.Service.Name]
	if pool == nil {
		return carawayspread.Placement{}, noEndpoint()
	}
	pool.decay(now)
	if req.Prompt == nil || req.Service.Engine == nil {
		return p.placePlain(now, pool, req)
	}
	return p.placePrompt(now, pool, req)
}

// load returns the load at the engine of all processes that are known.
func (p *Placer) load(now time.Time, e *engine) load {
	return load{e.ownAttempts, e.ownTokens}.plus(p.loads.at(now, e.hash))
}

func noEndpoint() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
		carawayspread.NotRun(), carawayspread.RetryAfter(minRetryAfter))
}

// overloaded returns the refusal of a request whose first event is expected too late by excess. The
// retry delay is randomised, so that refused callers do not retry at the same time.
func (p *Placer) overloaded(excess time.Duration) *carawayspread.Error {
	retryAfter := max(minRetryAfter, min(maxRetryAfter, 2*excess))
	if p.env.Rand != nil {
		retryAfter += time.Duration(p.env.Rand.Float64() * float64(retryAfter))
	}
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the target cannot be met now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryAfter))
}

// Crashed records that a connection broke while a request ran: the engine is assumed to hold no
// parts any more.
func (p *Placer) Crashed(id carawayspread.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if e := pool.engines[id]; e != nil {
			e.parts = map[uint64]cacheEntry{}
		}
	}
}

// ApplyLoadUpdates implements carawayspread.Placer.
func (p *Placer) ApplyLoadUpdates(sender string, updates []carawayspread.LoadUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	from := p.loads.touch(now, sender)
	for _, u := range updates {
		before := p.loads.set(from, u)
		e := p.byHash[u.EndpointHash]
		if e == nil {
			continue
		}
		p.reportPlaced(now, e, u.Tokens-before.tokens)
		if u.Running < before.running {
			e.lastProgress = now
		}
		if u.PrefillTime > 0 {
			e.addPrefill(now, u.PrefillTime)
			if pool := p.pools[e.endpoint.Service()]; pool != nil {
				pool.arrivedTokens += u.PrefillTokens
				pool.observeUncached(u.PrefillTokens, u.Tokens-before.tokens)
			}
		}
		e.shiftBacklog(max(-maxPeerCorrection, min(maxPeerCorrection, u.PrefillDelay)))
		if u.SuspendedFor > 0 {
			e.suspendedUntil = later(e.suspendedUntil, now.Add(min(u.SuspendedFor, maxPeerSuspension)))
		}
		if u.PrefillTokens > 0 || len(u.PrefixHashes) > 0 {
			e.cacheParts(u.PrefixHashes, u.PrefillTokens)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
