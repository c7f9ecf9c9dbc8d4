package placement

import (
	"math"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/enginespeed"
)

const (
	// tellInterval is how often peers are told of a slowness that goes on, which they forget otherwise.
	tellInterval = 500 * time.Millisecond
	// maxKnownSpeeds bounds the engines of KnownSpeeds.
	maxKnownSpeeds = 2048
	// minTellWeight is the evidence, in measurements, from which a slowness is told.
	minTellWeight = 1.5
)

var _ carawayspread.SpeedTracker = (*Placer)(nil)

// speedIndex finds engines by the keys of their speeds, and remembers whose turn it is.
type speedIndex struct {
	byKey   map[uint32]speedOwner
	ordered []speedOwner
	next    int
}

type speedOwner struct {
	engine *engine
	pool   *pool
}

// set replaces the engines: those of services that run models.
func (x *speedIndex) set(pools map[string]*pool) {
	x.byKey, x.ordered = map[uint32]speedOwner{}, x.ordered[:0]
	for _, pool := range pools {
		for _, e := range pool.ordered {
			if e.endpoint.Role() != "" {
				owner := speedOwner{e, pool}
				x.byKey[e.speed.key] = owner
				x.ordered = append(x.ordered, owner)
			}
		}
	}
}

// SpeedShares implements carawayspread.SpeedTracker.
func (p *Placer) SpeedShares(n int) []carawayspread.EngineSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	var shares []carawayspread.EngineSpeed
	for range p.speeds.ordered {
		if len(shares) == n {
			break
		}
		p.speeds.next = (p.speeds.next + 1) % len(p.speeds.ordered)
		e := p.speeds.ordered[p.speeds.next].engine
		if !e.speed.prefill.Known() && !e.speed.step.Known() {
			continue
		}
		shares = append(shares, carawayspread.EngineSpeed{
			Engine: e.speed.key, Prefill: e.speed.prefill.Share(now), Step: e.speed.step.Share(now), Passing: e.passingEstimate().Slowness(now),
		})
	}
	return shares
}

// KnownSpeeds returns the evidence of the lasting speeds of at most maxKnownSpeeds engines, and hands none
// of it over.
func (p *Placer) KnownSpeeds() []carawayspread.EngineSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var known []carawayspread.EngineSpeed
	for _, owner := range p.speeds.ordered {
		e := owner.engine
		if len(known) == maxKnownSpeeds {
			break
		}
		if e.speed.prefill.Known() || e.speed.step.Known() {
			known = append(known, carawayspread.EngineSpeed{
				Engine: e.speed.key, Endpoint: e.endpoint.ID(), Prefill: e.speed.prefill.Evidence(), Step: e.speed.step.Evidence(),
			})
		}
	}
	return known
}

// SpeedNews implements carawayspread.SpeedTracker. One process tells of a slowness, as those that have
// heard of it have nothing new to say.
func (p *Placer) SpeedNews(n int) []carawayspread.EngineSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	var news []carawayspread.EngineSpeed
	for _, owner := range p.speeds.ordered {
		e := owner.engine
		if len(news) == n {
			break
		}
		e.refreshPassing(now)
		slowness := e.passingEstimate().Slowness(now)
		repeat := e.speed.passing > 1 && now.Sub(e.speed.toldAt) >= tellInterval
		if slowness.Weight >= minTellWeight && (repeat || enginespeed.Differ(e.speed.passing, e.speed.told)) {
			e.speed.told, e.speed.toldAt = e.speed.passing, now
			news = append(news, carawayspread.EngineSpeed{Engine: e.speed.key, Endpoint: e.endpoint.ID(), Passing: slowness})
		}
	}
	return news
}

// LearnSpeeds implements carawayspread.SpeedTracker.
func (p *Placer) LearnSpeeds(speeds []carawayspread.EngineSpeed, processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.env.Clock.Now()
	for _, s := range speeds {
		owner, ok := p.speeds.byKey[s.Engine]
		if !ok {
			continue
		}
		e := owner.engine
		owner.pool.priors.processes = processes
		e.speed.prefill.Receive(now, s.Prefill)
		e.speed.step.Receive(now, s.Step)
		if s.Passing.Weight > 0 {
			e.passingEstimate().ReceiveSlowness(now, s.Passing)
			e.refreshPassing(now)
			e.speed.told, e.speed.toldAt = e.speed.passing, now
		}
		if s.Prefill.Weight > 0 || s.Step.Weight > 0 {
			e.followSpeed(now, owner.pool)
		}
	}
}

// SlowEngines returns how many engines work slower than usual at the moment, and how many times slower the
// slowest engine usually is than the fastest.
func (p *Placer) SlowEngines() (passing int, spread float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest, fastest := 0.0, math.Inf(1)
	for _, owner := range p.speeds.ordered {
		if owner.engine.speed.passing > 1 {
			passing++
		}
		if e := owner.engine; e.prefillOnly() && e.speed.prefill.Known() {
			slowest, fastest = max(slowest, e.slowdown), min(fastest, e.slowdown)
		}
	}
	return passing, max(1, slowest/fastest)
}
