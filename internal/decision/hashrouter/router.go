package hashrouter

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	// reportLife is the age at which a report has no weight left. Reports come
	// every few seconds; after three or four lost ones an entry knows no more
	// than its own attempts.
	reportLife = 15 * time.Second
	// crashLife bounds how long a crash is believed without a newer report.
	crashLife = 30 * time.Second
	// fullLoad and fullLife say when an endpoint is spared a request that its
	// sidecar would refuse: its queue exceeds a quarter of its slots, and the
	// account of it is no older than a place takes to come free.
	fullLoad = 1.25
	fullLife = 20 * time.Millisecond
	// unknownSlots stands for the slots of an endpoint that never reported.
	unknownSlots = 16
	// lostLife is how long a lost endpoint keeps its place on the ring, so
	// that the work which mapped to it counts as displaced. It covers the time
	// in which callers send a request again.
	lostLife = 10 * time.Minute
	// rebuildAfter bounds how often changed residency rebuilds the rings.
	rebuildAfter = 5 * time.Second
	// defaultSpread is the number of second candidates of one prefix. A prefix
	// with a quarter of the load of 32 endpoints got 75% of its callers served
	// in time with 1, 87% with 4, 97% with 16 and 99.9% with 512; prefixes that
	// are not hot lose nothing by it, as overflowShare holds them back.
	defaultSpread = 512
	// overflowShare is the part of the attempts, in thousandths, that known
	// prefixes may send away from their first candidate because of load. In
	// the 20 s after a cold start of 8 endpoints 97% of the answers were in
	// time with 200, 90% with 1,000.
	overflowShare = 200
	// homeBias is the load by which the first candidate of a prefix may exceed
	// the second before work moves. Engines with 64 slots run at about a third
	// of them: with a bias of 16 slots and a ramp of 32 the load hardly counted.
	homeBias = 0.1
	// ramp is the difference of loads over which the share of the second
	// candidate grows from none to all. Entries that share one old report move
	// a part of their work each instead of all at once.
	ramp = 0.2
	// otherZone is the load that a hop to another availability zone is worth.
	otherZone = 0.1
)

// Router is a carawayspread.Router that gives each fingerprint at most two
// endpoints and lets load decide between them.
type Router struct {
	clock  carawayspread.Clock
	zone   string
	spread uint64
	seed   uint64
	draws  atomic.Uint64
	heat   heat
	budget budget
	now    atomic.Pointer[snapshot]
	mu     sync.Mutex  // serialises those who replace the snapshot
	stale  atomic.Bool // residency changed since the snapshot was built
}

// Option sets an optional part of a Router.
type Option func(*Router)

// Spread sets the number of second candidates of one prefix. All entries must
// agree on it, or a fingerprint maps to more than two endpoints.
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
	r.now.Store(newSnapshot(map[carawayspread.EndpointID]*member{}, r.clock.Now()))
	return r
}

// SetEndpoints replaces the list. Endpoints that it no longer names keep their
// place on the ring for lostLife, so it is to be called with every reading of
// the list.
func (r *Router) SetEndpoints(endpoints []carawayspread.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	next := r.now.Load().next(endpoints, now)
	if next == nil {
		return
	}
	r.stale.Store(false)
	r.now.Store(newSnapshot(next, now))
}

// Reported takes a report of a known endpoint.
func (r *Router) Reported(report carawayspread.EndpointReport) {
	m, ok := r.now.Load().byID[report.Endpoint]
	if ok && m.hear(report) {
		r.stale.Store(true)
	}
	r.refresh()
}

// refresh rebuilds the rings after models moved, at most once in rebuildAfter.
func (r *Router) refresh() {
	now := r.clock.Now()
	if !r.stale.Load() || now.Sub(r.now.Load().built) < rebuildAfter {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale.Swap(false) {
		r.now.Store(newSnapshot(r.now.Load().byID, now))
	}
}

// Pick chooses between the two candidates of the job, and looks further only
// when both are unavailable.
func (r *Router) Pick(job *carawayspread.Job, standing func(carawayspread.EndpointID) carawayspread.Availability) carawayspread.Choice {
	s := r.now.Load()
	if s.listed == 0 {
		return carawayspread.Choice{}
	}
	p := pick{snapshot: s, job: job, standing: standing, now: r.clock.Now()}
	near, far := s.pools(job)
	home, other := near.rings(job.Model), far.rings(job.Model)
	first, second := r.candidates(home.current, other.current, job)
	a, b := p.ask(first), p.ask(second)
	chosen := first
	switch {
	case a == carawayspread.AvailabilityFree && b == carawayspread.AvailabilityFree:
		chosen = r.lighter(&p, first, second)
	case a == carawayspread.AvailabilityFree:
	case b == carawayspread.AvailabilityFree && (a == carawayspread.AvailabilityExcluded || r.overflows(&p)):
		chosen = second
	case a == carawayspread.AvailabilityBusy || b == carawayspread.AvailabilityBusy:
		return carawayspread.Choice{Wait: true}
	default:
		return p.displaced(home.current, s.any.all.current)
	}
	return carawayspread.Choice{Endpoint: chosen.id, OutsideAffinity: r.replaced(&p, home, other, chosen)}
}

// replaced reports whether the chosen endpoint took the place of a candidate
// that was lost or crashed lately. A newcomer changes the candidates of some
// fingerprints; without this a harmful request that brought down its own two
// would get the newcomer as a third.
func (r *Router) replaced(p *pick, home, other rings, chosen *endpoint) bool {
	if home.settled == home.current && other.settled == other.current {
		return false
	}
	first, second := r.candidates(home.settled, other.settled, p.job)
	if chosen == first || chosen == second {
		return false
	}
	return p.troubled(first) || p.troubled(second)
}

// overflows reports whether the job may leave its first candidate because of
// load. After a restart every prompt misses its cache and all first candidates
// are full; if all that work went elsewhere it would evict prefixes there
// before they are used again, and the misses would never end. A hot prefix may
// always overflow, since it is soon cached everywhere, and so may an unknown
// one, since it is cached nowhere.
func (r *Router) overflows(p *pick) bool {
	if p.job.Prefix == 0 || !r.heat.known(p.job.Prefix) || r.heat.hot(p.job.Prefix, p.snapshot.listed) {
		return true
	}
	return r.budget.spend()
}

// candidates returns the endpoints that every entry derives for the job. The
// first follows from the prefix, so that its cache is found again. The second
// also follows from the body: a hot prefix overflows onto many endpoints, and
// still each of its requests has one second candidate.
func (r *Router) candidates(home, other *ring, job *carawayspread.Job) (first, second *endpoint) {
	if job.Prefix == 0 {
		first = home.after(mix(job.Fingerprint, 0))
		return first, other.after(mix(job.Fingerprint, 1), first)
	}
	first = home.after(mix(job.Prefix, 0))
	return first, other.after(mix(job.Prefix, 1+job.Fingerprint%r.spread), first)
}

// lighter chooses between two available candidates.
func (r *Router) lighter(p *pick, first, second *endpoint) *endpoint {
	difference := p.cost(r.zone, first) - p.cost(r.zone, second)
	toSecond := difference/ramp + 0.5
	if p.job.Prefix != 0 {
		toSecond = (difference - homeBias) / ramp
	}
	if r.draw() < toSecond && r.overflows(p) {
		return second
	}
	return first
}

// draw returns a number in [0, 1) without a lock.
func (r *Router) draw() float64 {
	const bits = 53
	return float64(mix(r.seed, r.draws.Add(1))>>(64-bits)) / (1 << bits)
}

// Sent counts an attempt of this entry.
func (r *Router) Sent(id carawayspread.EndpointID, job *carawayspread.Job) {
	r.count(id, 1)
	r.budget.earn(overflowShare)
	if job.Prefix != 0 {
		r.heat.add(job.Prefix)
	}
}

// Ended counts it off.
func (r *Router) Ended(id carawayspread.EndpointID, _ *carawayspread.Job, _ carawayspread.Outcome) {
	r.count(id, -1)
}

func (r *Router) count(id carawayspread.EndpointID, by int64) {
	if m, ok := r.now.Load().byID[id]; ok {
		m.own.Add(by)
	}
}
