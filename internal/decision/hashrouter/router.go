package hashrouter

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	// reportTTL is the age at which a report has no weight left. Reports arrive every few seconds;
	// after three or four lost ones an entry knows only its own attempts.
	reportTTL = 15 * time.Second
	// crashTTL bounds how long a crash is believed without a newer report.
	crashTTL = 30 * time.Second
	// fullLoad and fullTTL define when an endpoint is skipped because its sidecar would refuse the
	// request: its queue exceeds a quarter of its slots, and the report is no older than it takes
	// for a slot to become free.
	fullLoad = 1.25
	fullTTL  = 20 * time.Millisecond
	// unknownSlots is assumed for an endpoint that never reported its slots.
	unknownSlots = 16
	// lostTTL is how long a lost endpoint keeps its place on the ring, so that the work mapped to
	// it counts as outside affinity. It covers the time in which callers resend a request.
	lostTTL = 10 * time.Minute
	// rebuildAfter is the minimum interval between rebuilds of the rings because of changed
	// residency.
	rebuildAfter = 5 * time.Second
	// defaultSpread is the number of second candidates of one prefix. A prefix with a quarter of
	// the load of 32 endpoints got 75% of its callers served in time with 1, 87% with 4, 97% with
	// 16 and 99.9% with 512. Prefixes that are not hot lose nothing by it, since overflowShare
	// holds them back.
	defaultSpread = 512
	// overflowShare is the fraction of the attempts, in thousandths, that recently seen prefixes
	// may send away from their first candidate because of load. In the 20 s after a cold start of 8
	// endpoints, 97% of the answers were in time with 200 and 90% with 1,000.
	overflowShare = 200
	// affinityBias is how much the load of a prefix's first candidate may exceed that of the second
	// before work moves. Engines with 64 slots use about a third of them: with a bias of 16 slots
	// and a ramp of 32, the load hardly counted.
	affinityBias = 0.1
	// loadRamp is the difference in load over which the share of the second candidate grows from
	// none to all. Entries that share one old report each move a part of their work instead of all
	// at once.
	loadRamp = 0.2
	// crossZoneCost is the load to which a hop to another availability zone is equivalent.
	crossZoneCost = 0.1
)

// Router is a carawayspread.Router that maps each fingerprint to at most two endpoints and lets
// load decide between them.
type Router struct {
	clock     carawayspread.Clock
	zone      string
	spread    uint64
	seed      uint64
	drawCount atomic.Uint64
	heat      heat
	budget    budget
	current   atomic.Pointer[snapshot]
	mu        sync.Mutex  // serialises replacements of the snapshot
	stale     atomic.Bool // residency or role changed since the snapshot was built
}

// Option sets an optional part of a Router.
type Option func(*Router)

// Spread sets the number of second candidates of one prefix. All entries must use the same number;
// otherwise a fingerprint maps to more than two endpoints.
func Spread(n int) Option { return func(r *Router) { r.spread = uint64(max(1, n)) } }

var _ = carawayspread.Routers.Register("hashRouter", func(env carawayspread.Environment) carawayspread.Router {
	return New(env)
})

// New returns a router without endpoints.
func New(env carawayspread.Environment, opts ...Option) *Router {
	r := &Router{clock: env.Clock, zone: env.Zone, spread: defaultSpread, seed: env.Rand.Uint64()}
	for _, opt := range opts {
		opt(r)
	}
	r.current.Store(newSnapshot(map[carawayspread.EndpointID]*member{}, r.clock.Now()))
	return r
}

// SetEndpoints replaces the list. Endpoints that are no longer listed keep their place on the ring
// for lostTTL, which is checked only here, so SetEndpoints must be called after every read of the
// list.
func (r *Router) SetEndpoints(endpoints []carawayspread.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	next := r.current.Load().next(endpoints, now)
	if next == nil {
		return
	}
	r.stale.Store(false)
	r.current.Store(newSnapshot(next, now))
}

// Reported records a report; reports of unknown endpoints are ignored.
func (r *Router) Reported(report carawayspread.EndpointReport) {
	m, ok := r.current.Load().byID[report.Endpoint]
	if ok && m.update(report) {
		r.stale.Store(true)
	}
	r.refresh()
}

// refresh rebuilds the rings after resident models or roles changed, at most once per rebuildAfter.
func (r *Router) refresh() {
	now := r.clock.Now()
	if !r.stale.Load() || now.Sub(r.current.Load().built) < rebuildAfter {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale.Swap(false) {
		r.current.Store(newSnapshot(r.current.Load().byID, now))
	}
}

// Pick chooses between the two candidates of the job, and tries other endpoints only when both are
// unavailable.
func (r *Router) Pick(job *carawayspread.Job, availability func(carawayspread.EndpointID) carawayspread.Availability) carawayspread.Choice {
	s := r.current.Load()
	if s.listed == 0 {
		return carawayspread.Choice{}
	}
	p := pick{snapshot: s, job: job, availability: availability, now: r.clock.Now()}
	firstPool, secondPool := s.pools(job)
	firstRings, secondRings := firstPool.rings(job.Model), secondPool.rings(job.Model)
	first, second := r.candidates(firstRings.current, secondRings.current, job)
	a, b := p.check(first), p.check(second)
	chosen := first
	switch {
	case a == carawayspread.AvailabilityFree && b == carawayspread.AvailabilityFree:
		chosen = r.lessLoaded(&p, first, second)
	case a == carawayspread.AvailabilityFree:
	case b == carawayspread.AvailabilityFree && (a == carawayspread.AvailabilityExcluded || r.overflows(&p)):
		chosen = second
	case a == carawayspread.AvailabilityBusy || b == carawayspread.AvailabilityBusy:
		return carawayspread.Choice{Wait: true}
	default:
		return p.fallback(firstRings.current, s.all.anyModel.current)
	}
	return carawayspread.Choice{Endpoint: chosen.id, OutsideAffinity: r.replacesFailed(&p, firstRings, secondRings, chosen)}
}

// replacesFailed reports whether the chosen endpoint took the place of a candidate that was lost or
// crashed recently. A new endpoint changes the candidates of some fingerprints; without this check,
// a harmful request that crashed its own two candidates would get the new endpoint as a third.
func (r *Router) replacesFailed(p *pick, firstRings, secondRings rings, chosen *endpoint) bool {
	if firstRings.established == firstRings.current && secondRings.established == secondRings.current {
		return false
	}
	first, second := r.candidates(firstRings.established, secondRings.established, p.job)
	if chosen == first || chosen == second {
		return false
	}
	return p.recentlyFailed(first) || p.recentlyFailed(second)
}

// overflows reports whether the job may leave its first candidate because of load. After a restart
// every prompt misses its cache and all first candidates are full. If all that work moved, it would
// evict prefixes elsewhere before they are used again, and the cache misses would never end. A hot
// prefix may always overflow, since it is soon cached everywhere, and so may a prefix not seen
// recently, since it is cached nowhere.
func (r *Router) overflows(p *pick) bool {
	if p.job.Prefix == 0 || !r.heat.seen(p.job.Prefix) || r.heat.hot(p.job.Prefix, p.snapshot.listed) {
		return true
	}
	return r.budget.spend()
}

// candidates returns the endpoints that every entry derives for the job. The first depends on the
// prefix, so that its cache is found again. The second also depends on the body: a hot prefix
// overflows onto many endpoints, while each of its requests still has a single second candidate.
func (r *Router) candidates(firstRing, secondRing *ring, job *carawayspread.Job) (first, second *endpoint) {
	if job.Prefix == 0 {
		first = firstRing.successor(mix(job.Fingerprint, 0))
		return first, secondRing.successor(mix(job.Fingerprint, 1), first)
	}
	first = firstRing.successor(mix(job.Prefix, 0))
	return first, secondRing.successor(mix(job.Prefix, 1+job.Fingerprint%r.spread), first)
}

// lessLoaded chooses between two available candidates at random, with a probability that depends on
// their costs.
func (r *Router) lessLoaded(p *pick, first, second *endpoint) *endpoint {
	difference := p.cost(r.zone, first) - p.cost(r.zone, second)
	toSecond := difference/loadRamp + 0.5
	if p.job.Prefix != 0 {
		toSecond = (difference - affinityBias) / loadRamp
	}
	if r.draw() < toSecond && r.overflows(p) {
		return second
	}
	return first
}

// draw returns a random number in [0, 1) without a lock.
func (r *Router) draw() float64 {
	const bits = 53
	return float64(mix(r.seed, r.drawCount.Add(1))>>(64-bits)) / (1 << bits)
}

// Sent counts an attempt of this entry as in flight.
func (r *Router) Sent(id carawayspread.EndpointID, job *carawayspread.Job) {
	r.count(id, 1)
	r.budget.credit(overflowShare)
	if job.Prefix != 0 {
		r.heat.add(job.Prefix)
	}
}

// Ended removes an attempt from the count.
func (r *Router) Ended(id carawayspread.EndpointID, _ *carawayspread.Job, _ carawayspread.Outcome) {
	r.count(id, -1)
}

func (r *Router) count(id carawayspread.EndpointID, by int64) {
	if m, ok := r.current.Load().byID[id]; ok {
		m.inFlight.Add(by)
	}
}
