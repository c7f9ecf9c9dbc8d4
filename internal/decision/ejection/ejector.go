package ejection

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

const (
	// maxEjectedFraction is the fraction of the endpoints that may be ejected at once.
	maxEjectedFraction = 0.2
	// medianTTL bounds how often the latencies of all endpoints are sorted.
	medianTTL = time.Second
	// minPeers is the number of endpoints with a known latency below which there is no
	// meaningful median.
	minPeers = 3
)

// Ejector is a carawayspread.Ejector that compares endpoints with their peers.
type Ejector struct {
	clock carawayspread.Clock
	known atomic.Pointer[map[carawayspread.EndpointID]*endpoint]

	mu       sync.Mutex // guards ejections and the median
	median   float64    // of the latencies in seconds; zero if unknown
	medianAt time.Time
}

var _ = carawayspread.Ejectors.Register("outlier", func(env carawayspread.Environment) carawayspread.Ejector {
	return New(env)
})

// New returns an ejector without endpoints.
func New(env carawayspread.Environment) *Ejector {
	e := &Ejector{clock: env.Clock}
	e.known.Store(&map[carawayspread.EndpointID]*endpoint{})
	return e
}

// SetEndpoints replaces the endpoints and keeps the state of those that remain.
func (e *Ejector) SetEndpoints(ids []carawayspread.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := *e.known.Load()
	next := make(map[carawayspread.EndpointID]*endpoint, len(ids))
	for _, id := range ids {
		next[id] = old[id]
		if next[id] == nil {
			next[id] = &endpoint{}
		}
	}
	e.known.Store(&next)
}

// Allowed reports whether a request may be sent to the endpoint.
func (e *Ejector) Allowed(id carawayspread.EndpointID) bool {
	p, ok := (*e.known.Load())[id]
	if !ok || !p.isEjected() {
		return true
	}
	now := e.clock.Now()
	return p.probing(now) && noProbe(p.probe.Load(), now)
}

// noProbe reports whether no probe request is running. The probe is given by its start in
// Unix nanoseconds; zero for none.
func noProbe(probe int64, now time.Time) bool {
	return probe == 0 || now.UnixNano()-probe > int64(probeTimeout)
}

// Sent records that a request was sent. At an ejected endpoint it is the probe request.
func (e *Ejector) Sent(id carawayspread.EndpointID) {
	p, ok := (*e.known.Load())[id]
	if ok && p.isEjected() {
		p.probe.Store(e.clock.Now().UnixNano())
	}
}

// Observe records the outcome of one attempt.
func (e *Ejector) Observe(id carawayspread.EndpointID, latency time.Duration, outcome carawayspread.Outcome) {
	p, ok := (*e.known.Load())[id]
	if !ok {
		return
	}
	now := e.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case outcome == carawayspread.OutcomeRefused || outcome == carawayspread.OutcomeCancelled:
		p.probe.Store(0)
	case !p.isEjected():
		if p.update(now, latency, outcome, e.medianLatency(now)) {
			e.eject(p, now)
		}
	case p.probing(now):
		e.observeProbe(p, now, latency, outcome)
	}
}

// observeProbe records the outcome of a probe request. Outcomes of attempts that were sent
// before the ejection arrive during the ejection time and are not counted.
func (e *Ejector) observeProbe(p *endpoint, now time.Time, latency time.Duration, outcome carawayspread.Outcome) {
	p.probe.Store(0)
	median := e.medianLatency(now)
	slow := median > 0 && latency.Seconds() > slowFactor*median
	if outcome != carawayspread.OutcomeServed || slow {
		p.eject(now)
		return
	}
	p.probesPassed++
	if p.probesPassed >= probeSuccesses {
		p.ejectedUntil.Store(0)
	}
}

// eject ejects the endpoint unless too many are ejected. With a fault of this process all
// endpoints seem to fail; the bound keeps the rest of them in use.
func (e *Ejector) eject(p *endpoint, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := *e.known.Load()
	ejected := 0
	for _, other := range known {
		if other.isEjected() {
			ejected++
		}
	}
	if ejected < maxEjected(len(known)) {
		p.eject(now)
	}
}

func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(maxEjectedFraction*float64(n)))
}

// medianLatency returns the median over the endpoints that are not ejected, at most
// medianTTL old.
func (e *Ejector) medianLatency(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.medianAt) < medianTTL {
		return e.median
	}
	e.medianAt = now
	e.median = 0
	var latencies []float64
	for _, p := range *e.known.Load() {
		if latency := p.published(); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) >= minPeers {
		slices.Sort(latencies)
		e.median = latencies[len(latencies)/2]
	}
	return e.median
}
