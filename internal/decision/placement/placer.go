// Package placement decides where requests run, and which are refused.
//
// Load pattern: prompts of very different length arrive at several processes,
// share their beginnings, and are read either by engines that only read or,
// slower, by those that also answer. Without this, long prompts queue before
// some engines while others idle, shared beginnings are read again and again,
// and every process sends its next request to the engine that looked free to
// all of them.
//
// Each process keeps, for each engine, when the readings known are through and
// which parts of prompts it holds, and tells its peers of each placement. A
// request goes where its first event is expected first, at a price for the
// engine's time that it takes from others. One that cannot be answered while
// its caller waits is refused at once.
//
// With nothing heard, the process knows its own placements alone.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"carawayspread"
)

const (
	// handOver is what moving a KV cache costs beside its bytes.
	handOver = 6 * time.Millisecond
	// zoneFactor is how much longer a KV cache takes between zones.
	zoneFactor = 2
	// otherZone and otherZoneByte are the time that staying in the zone is worth.
	otherZone     = 3 * time.Millisecond
	otherZoneByte = 2 * time.Microsecond
	// transferPrice is what a millisecond of a link between engines costs that moves a KV
	// cache, and otherZoneTransfer how often that is between zones: operators pay for what
	// crosses them, and other traffic shares those links.
	transferPrice     = 8
	otherZoneTransfer = 3
	// transferPriceMost bounds it, in parts of the target: no answer is late to spare a link.
	transferPriceMost = 0.25
	// workPrice is what a millisecond of an engine is worth against one of the
	// request's own waiting.
	workPrice = 0.6
	// againPrice is what reading a token costs that another engine holds, beside
	// the time that it takes here.
	//
	// Without it a shared prefix is prefilled by every engine that happens to be free,
	// and engines' memories turn over sooner. A prefix of usual length is worth half a
	// second of waiting; before a longer queue it spreads.
	againPrice = 100 * time.Microsecond
	// tokenPrice is what a millisecond of the rest of an answer is worth: it
	// keeps answers where they are made fast.
	tokenPrice = 0.01
	// besidePrice is what a millisecond of reading costs for each answer that
	// it slows down beside it.
	besidePrice = 0.015
	// pauseUsed is the part of the routes' pause that is planned for.
	pauseUsed = 0.9
	// unheard is what a reading beside answers counts for in a pause: some of those
	// that other processes send there at the same moment are heard too late.
	unheard = 1.5
	// usualLearning is the weight of one prompt in the mean length.
	usualLearning = 0.02
	// answerShare is the part of the time left that the whole of an answer may
	// be expected to take; an engine where it takes longer is used last.
	answerShare = 0.7
	// patience is the part of the target that a request may be expected to
	// take: what is expected later is refused, since it would hold back
	// others and be late itself.
	patience = 1.15
	// ownPatience is the same in parts of the time that the request would take
	// were nothing else there.
	//
	// Failure: prompts whose reading alone takes as long as the target are
	// refused for what they are. Symptom: the largest requests of a class are
	// hardly ever served. They are taken where they wait little.
	ownPatience = 1.15
	// lateQueue is how long a request that is late already may wait for an
	// engine, in parts of the time that it would take were nothing else there.
	//
	// Failure: callers that were refused come back, and late requests take the
	// engines from those that could still be in time. Symptom: under overload
	// nearly all answers are late. What is late waits little, or comes again.
	lateQueue = 0.35
	// latePatience is the part of the target that it is granted in any case,
	// since a second refusal leaves its caller with nothing.
	latePatience = 0.9
	// mostLate bounds what a peer may say of one reading.
	mostLate = surprise
	// memoryLimit is the part of the memory that running requests may take.
	memoryLimit = 0.92
	// plainStart is the time of an answer of a plain service before one is known.
	plainStart = 30 * time.Millisecond
	// plainLearning is the weight of one answer in the mean.
	plainLearning = 0.05
	// soonest and latest bound when a refused caller is told to come back.
	soonest = 300 * time.Millisecond
	latest  = 3 * time.Second
)

// Placer is a carawayspread.Placer by estimates.
type Placer struct {
	env carawayspread.Environment

	mu     sync.Mutex
	pools  map[string]*pool
	byHash map[uint32]*engine
	loads  *loads
	fair   map[string]*fairness // by route
}

var _ = carawayspread.Placers.Register("estimate", func(env carawayspread.Environment) carawayspread.Placer {
	return New(env)
})

// New returns a placer without endpoints.
func New(env carawayspread.Environment) *Placer {
	if env.Broadcast == nil {
		env.Broadcast = func(carawayspread.LoadUpdate) {}
	}
	return &Placer{env: env, pools: map[string]*pool{}, byHash: map[uint32]*engine{}, loads: newLoads(), fair: map[string]*fairness{}}
}

func hashOf(id carawayspread.EndpointID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// SetEndpoints replaces the endpoints of a service and keeps what is known.
func (p *Placer) SetEndpoints(service string, endpoints []carawayspread.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.pools[service]
	if old == nil {
		eject, _ := carawayspread.Ejectors.Get("")
		old = &pool{kept: keptStart, ejector: eject(p.env), pauses: map[string]time.Duration{}}
	}
	next := &pool{}
	*next = *old // what was seen of the service holds on
	next.engines, next.ordered = make(map[carawayspread.EndpointID]*engine, len(endpoints)), nil
	ids := make([]carawayspread.EndpointID, 0, len(endpoints))
	now := p.env.Clock.Now()
	for _, endpoint := range endpoints {
		e := old.engines[endpoint.ID()]
		if e == nil {
			e = newEngine(endpoint)
		}
		if endpoint.Leaving() && !e.endpoint.Leaving() && !e.aside.After(now) {
			p.env.Broadcast(carawayspread.LoadUpdate{EndpointHash: e.hash, Running: e.own, Tokens: e.tokens, SuspendedFor: leavingFor})
		}
		e.update(endpoint)
		e.mostParts = max(1, min(mostParts, allParts/len(endpoints)))
		next.engines[endpoint.ID()] = e
		next.ordered = append(next.ordered, e)
		ids = append(ids, endpoint.ID())
	}
	slices.SortFunc(next.ordered, func(a, b *engine) int { return cmp.Compare(a.endpoint.ID(), b.endpoint.ID()) })
	next.teach()
	next.ejector.SetEndpoints(ids)
	p.pools[service] = next
	p.byHash = map[uint32]*engine{}
	for _, pool := range p.pools {
		for _, e := range pool.engines {
			p.byHash[e.hash] = e
		}
	}
}

// Place chooses an endpoint.
func (p *Placer) Place(req carawayspread.PlacementRequest) (carawayspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	pool := p.pools[req.Service.Name]
	if pool == nil {
		return carawayspread.Placement{}, nowhere()
	}
	pool.relax(now)
	if req.Prompt == nil || req.Service.Engine == nil {
		return p.placePlain(now, pool, req)
	}
	return p.placePrompt(now, pool, req)
}

// load returns all attempts known at the engine.
func (p *Placer) load(now time.Time, e *engine) load {
	return load{e.own, e.tokens}.plus(p.loads.at(now, e.hash))
}

func nowhere() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
		carawayspread.NotRun(), carawayspread.RetryAfter(soonest))
}

// tooLate refuses a request whose first event is expected over by so long.
// The time to come back is spread, so that the refused do not return at once.
func (p *Placer) tooLate(over time.Duration) *carawayspread.Error {
	after := max(soonest, min(latest, 2*over))
	if p.env.Rand != nil {
		after += time.Duration(p.env.Rand.Float64() * float64(after))
	}
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the target cannot be met now",
		carawayspread.NotRun(), carawayspread.RetryAfter(after))
}

// Crashed takes note of a connection that broke while a request ran.
func (p *Placer) Crashed(id carawayspread.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if e := pool.engines[id]; e != nil {
			e.parts = map[uint64]mark{}
		}
	}
}

// ApplyLoadUpdates takes the notices of a peer.
func (p *Placer) ApplyLoadUpdates(sender string, notices []carawayspread.LoadUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	from := p.loads.heard(now, sender)
	for _, n := range notices {
		before := p.loads.set(from, n)
		e := p.byHash[n.EndpointHash]
		if e == nil {
			continue
		}
		if n.Running < before.running {
			e.advanced = now
		}
		if n.PrefillTime > 0 {
			e.begin(now, n.PrefillTime)
			if pool := p.pools[e.endpoint.Service()]; pool != nil {
				pool.arrived += n.PrefillTokens
			}
		}
		e.shiftBy(max(-mostLate, min(mostLate, n.PrefillDelay)))
		if n.SuspendedFor > 0 {
			e.aside = later(e.aside, now.Add(min(n.SuspendedFor, mostAside)))
		}
		if n.PrefillTokens > 0 || len(n.PrefixHashes) > 0 {
			e.take(n.PrefixHashes, n.PrefillTokens)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
