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
	// workPrice is what a millisecond of an engine is worth against one of the
	// request's own waiting.
	workPrice = 0.6
	// tokenPrice is what a millisecond of the rest of an answer is worth: it
	// keeps answers where they are made fast.
	tokenPrice = 0.01
	// besidePrice is what a millisecond of reading costs for each answer that
	// it slows down beside it.
	besidePrice = 0.015
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
	// peerLife is how long the account of a silent peer counts.
	peerLife = 3 * time.Second
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

// load is what a peer says of its attempts at one endpoint.
type load struct{ running, tokens int }

type peer struct {
	heard time.Time
	loads map[uint32]load
}

type pool struct {
	engines map[carawayspread.EndpointID]*engine
	ordered []*engine // by identifier
	ejector carawayspread.Ejector
}

// from returns the engines in an order that starts at a place which follows
// from the key: where several are as good, requests spread over them, and the
// same request finds the same one.
func (pool *pool) from(key uint64) func(yield func(*engine) bool) {
	return func(yield func(*engine) bool) {
		n := uint64(len(pool.ordered))
		for i := range n {
			if !yield(pool.ordered[(key%n+i)%n]) {
				return
			}
		}
	}
}

// Placer is a carawayspread.Placer by estimates.
type Placer struct {
	env carawayspread.Environment

	mu     sync.Mutex
	pools  map[string]*pool
	byHash map[uint32]*engine
	peers  map[string]*peer
}

var _ = carawayspread.Placers.Register("estimate", func(env carawayspread.Environment) carawayspread.Placer {
	return New(env)
})

// New returns a placer without endpoints.
func New(env carawayspread.Environment) *Placer {
	if env.Tell == nil {
		env.Tell = func(carawayspread.Notice) {}
	}
	return &Placer{env: env, pools: map[string]*pool{}, byHash: map[uint32]*engine{}, peers: map[string]*peer{}}
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
		old = &pool{ejector: eject(p.env)}
	}
	next := &pool{engines: make(map[carawayspread.EndpointID]*engine, len(endpoints)), ejector: old.ejector}
	ids := make([]carawayspread.EndpointID, 0, len(endpoints))
	for _, endpoint := range endpoints {
		e := old.engines[endpoint.ID()]
		if e == nil {
			e = newEngine(endpoint)
		}
		e.update(endpoint)
		next.engines[endpoint.ID()] = e
		next.ordered = append(next.ordered, e)
		ids = append(ids, endpoint.ID())
	}
	slices.SortFunc(next.ordered, func(a, b *engine) int { return cmp.Compare(a.endpoint.ID(), b.endpoint.ID()) })
	next.teach()
	for _, kind := range []bool{true, false} {
		pace := next.medianPace(kind)
		for _, e := range next.ordered {
			if e.reads() == kind {
				e.relax(p.env.Clock.Now(), pace)
			}
		}
	}
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
func (p *Placer) Place(req carawayspread.Placing) (carawayspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	pool := p.pools[req.Service.Name]
	if pool == nil {
		return carawayspread.Placement{}, nowhere()
	}
	if req.Prompt == nil || req.Service.Engine == nil {
		return p.placePlain(now, pool, req)
	}
	return p.placePrompt(now, pool, req)
}

// teach gives the delay that was learnt of one engine to those of its kind of
// which nothing is known yet: they would look faster than they are, and get
// everything. Their pace is their own.
func (pool *pool) teach() {
	for _, pupil := range pool.ordered {
		if !pupil.learnt.IsZero() {
			continue
		}
		for _, e := range pool.ordered {
			if !e.learnt.IsZero() && e.reads() == pupil.reads() {
				pupil.delay = e.delay
				break
			}
		}
	}
}

// medianPace returns the middle pace of the engines of a kind.
func (pool *pool) medianPace(reads bool) float64 {
	var paces []float64
	for _, e := range pool.ordered {
		if e.reads() == reads && !e.learnt.IsZero() {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// open reports whether the engine may get the request.
func (pool *pool) open(e *engine, req carawayspread.Placing) bool {
	return !e.endpoint.Leaving() && !req.Exclude[e.endpoint.ID()] && pool.ejector.Allowed(e.endpoint.ID())
}

// load returns all attempts known at the engine.
func (p *Placer) load(now time.Time, e *engine) load {
	sum := load{e.own, e.tokens}
	for _, peer := range p.peers {
		if now.Sub(peer.heard) < peerLife {
			l := peer.loads[e.hash]
			sum.running += l.running
			sum.tokens += l.tokens
		}
	}
	return sum
}

func (p *Placer) placePlain(now time.Time, pool *pool, req carawayspread.Placing) (carawayspread.Placement, error) {
	var best *engine
	var bestFirst, bestCost, soon time.Duration
	for e := range pool.from(req.Key) {
		if !pool.open(e, req) {
			continue
		}
		mean := e.mean
		if mean == 0 {
			mean = plainStart
		}
		slots := max(1, e.endpoint.Slots())
		running := p.load(now, e).running
		first := mean
		if running >= slots {
			first += mean * time.Duration(running-slots+1) / time.Duration(slots)
		}
		cost := first + mean*time.Duration(running)/time.Duration(4*slots)
		cost += p.crossing(e, req)
		if best == nil || cost < bestCost {
			best, bestFirst, bestCost = e, first, cost
		}
		soon = max(soon, mean)
	}
	if best == nil {
		return carawayspread.Placement{}, nowhere()
	}
	if now.Add(bestFirst).After(req.Deadline) {
		return carawayspread.Placement{}, p.tooLate(bestFirst)
	}
	return carawayspread.Placement{Endpoint: best.endpoint, First: bestFirst}, nil
}

// choice is a way to the first event.
type choice struct {
	engine *engine
	reads  bool
	first  time.Duration
	cost   time.Duration
	work   time.Duration
	alone  time.Duration // first, were nothing else there
	found  int
}

func (p *Placer) placePrompt(now time.Time, pool *pool, req carawayspread.Placing) (carawayspread.Placement, error) {
	chains := req.Prompt.Chains()
	traits := req.Service.Engine
	var best choice
	answer, continued := p.continued(now, pool, req)
	if req.Handed != "" {
		if !continued {
			return carawayspread.Placement{}, nowhere()
		}
		return carawayspread.Placement{Endpoint: answer.engine.endpoint, First: answer.first}, nil
	}
	for e := range pool.from(req.Key) {
		if !pool.open(e, req) || e.reads() && (req.Direct || !continued) {
			continue
		}
		l := p.load(now, e)
		if !e.reads() && !fits(l, e, req) {
			continue
		}
		found := e.found(req.Prompt.Parts, chains, traits.KVTokens)
		work := e.work(req.Prompt.Tokens, found, l.running)
		c := choice{engine: e, reads: e.reads(), work: work, found: found, first: e.wait(now) + work + e.delay}
		if c.reads {
			c.first += handOver + answer.first
		} else {
			c.first += step(l.running)
		}
		c.cost = c.first + time.Duration(workPrice*float64(work))
		if c.reads {
			c.cost += answer.cost - answer.first
		} else {
			c.cost += p.rest(now, e, l.running, req) + time.Duration(besidePrice*float64(l.running)*float64(work))
		}
		c.cost += p.crossing(e, req)
		c.alone = c.first - e.wait(now)
		if best.engine == nil || c.cost < best.cost {
			best = c
		}
	}
	if best.engine == nil {
		return carawayspread.Placement{}, nowhere()
	}
	if err := p.judge(now, req, best); err != nil {
		return carawayspread.Placement{}, err
	}
	return carawayspread.Placement{
		Endpoint: best.engine.endpoint, Reads: best.reads, First: best.first, Work: best.work, Found: best.found,
	}, nil
}

// judge refuses what would be too late to be worth its engine time.
func (p *Placer) judge(now time.Time, req carawayspread.Placing, way choice) error {
	first := way.first
	if now.Add(first).After(req.Deadline) {
		return p.tooLate(first)
	}
	if req.Owed {
		return nil
	}
	if req.Late {
		allowed := max(time.Duration(latePatience*float64(req.Route.Target)), time.Duration((1+lateQueue)*float64(way.alone)))
		if first > allowed {
			return p.tooLate(first - allowed)
		}
		return nil
	}
	target := float64(req.Route.Target)
	allowed := max(time.Duration(patience*target), time.Duration(ownPatience*float64(way.alone))) - now.Sub(req.Arrived)
	if first > allowed {
		return p.tooLate(first - allowed)
	}
	return nil
}

// continued returns the engine that would go on from a KV cache first.
func (p *Placer) continued(now time.Time, pool *pool, req carawayspread.Placing) (choice, bool) {
	var best choice
	zone := p.env.Zone
	if from := pool.engines[req.Handed]; from != nil {
		zone = from.endpoint.Zone()
	}
	traits := req.Service.Engine
	var move time.Duration
	if traits.LinkBits > 0 {
		move = time.Duration(float64(req.Prompt.Tokens) * float64(traits.TokenBytes) * 8 / float64(traits.LinkBits) * float64(time.Second))
	}
	for e := range pool.from(req.Key) {
		if e.reads() || !pool.open(e, req) {
			continue
		}
		l := p.load(now, e)
		if !fits(l, e, req) {
			continue
		}
		first := move + step(l.running)
		if e.wait(now) > 0 {
			first += wholePiece * wholeFactor * startPerToken
		}
		cost := p.rest(now, e, l.running, req) + p.crossing(e, req)
		if e.endpoint.Zone() != zone {
			first += move * (zoneFactor - 1)
			cost += otherZone
		}
		cost += first
		if best.engine == nil || cost < best.cost {
			best = choice{engine: e, first: first, cost: cost}
		}
	}
	return best, best.engine != nil
}

// crossing prices the bytes of a request that go to another availability zone.
func (p *Placer) crossing(e *engine, req carawayspread.Placing) time.Duration {
	if e.endpoint.Zone() == p.env.Zone {
		return 0
	}
	return otherZone + time.Duration(req.Bytes)*otherZoneByte
}

// rest prices the answer after its first event.
func (p *Placer) rest(now time.Time, e *engine, running int, req carawayspread.Placing) time.Duration {
	takes := time.Duration(size(req.Prompt)-req.Prompt.Tokens) * e.token(now, running)
	price := time.Duration(tokenPrice * float64(takes))
	if over := takes - time.Duration(answerShare*float64(req.Deadline.Sub(now))); over > 0 {
		price += over / 4
	}
	return price
}

// fits reports whether the engine has a slot and memory for the request.
func fits(l load, e *engine, req carawayspread.Placing) bool {
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
	out := prompt.Most
	if prompt.Hint > 0 {
		out = min(out, prompt.Hint)
	}
	return prompt.Tokens + out
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

// Heard takes the notices of a peer.
func (p *Placer) Heard(from string, notices []carawayspread.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	known := p.peers[from]
	if known == nil {
		known = &peer{loads: map[uint32]load{}}
		p.peers[from] = known
	}
	known.heard = now
	for _, n := range notices {
		known.loads[n.Endpoint] = load{n.Running, n.Tokens}
		e := p.byHash[n.Endpoint]
		if e == nil {
			continue
		}
		if n.Work > 0 {
			e.begin(now, n.Work)
		}
		if n.Read > 0 || len(n.Chains) > 0 {
			e.take(n.Chains, n.Read)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
