package rolepolicy

import (
	"math"
	"time"

	"carawayspread"
)

// Defaults of the options.
const (
	// defaultDown is the time for which a change takes an engine away.
	defaultDown = 8 * time.Second
	// defaultBaseGap is the time between two tokens of an otherwise idle engine.
	defaultBaseGap = 12 * time.Millisecond
	// defaultStall is the part of its decode speed that an engine loses while
	// it prefills: with chunks of 2,048 tokens a step of 40 ms takes 296 ms.
	defaultStall = 0.85
	// defaultMoveRate is the speed at which KV cache leaves an engine, in bytes
	// a second.
	defaultMoveRate = 10e9
	// staleAfter bounds the age of a demand: three plans at the usual pace of
	// one every five seconds.
	staleAfter = 15 * time.Second
	// maxShareChanging is the part of the engines that may change at once however
	// much the targets tolerate: the others must carry the load meanwhile.
	maxShareChanging = 0.25
	// overloaded is the part of the work missed from which on steps are planned
	// that take several plans to carry out: the first engines alone may save
	// nothing.
	overloaded = 0.5
	// fewest is how many engines there are at least where roles change. With
	// three, each is a third of the fleet, and a mix that swings back after
	// every change made 123 changes in an hour.
	fewest = 8
	// provedMargin bounds the margin for what the history proves, or a split
	// that was left by mistake could not be reached again for an hour.
	provedMargin = 4.0
	// minDwell and maxDwell bound the time that an engine keeps a role, in
	// multiples of the time that a change takes.
	minDwell = 2
	maxDwell = 200
)

// Policy plans role changes that earn their price within a forecast horizon.
type Policy struct {
	clock    carawayspread.Clock
	down     time.Duration // positive
	baseGap  time.Duration // positive
	stall    float64       // in [0, 1)
	moveRate float64       // bytes a second, positive

	planned  time.Time // when the last demand planned for was taken
	forecast forecast
	margin   margin
	credit   float64 // changes that may be made; not negative
	history  history
	changed  map[carawayspread.EndpointID]time.Time // last change of each engine
}

// Option sets a figure of a Policy.
type Option func(*Policy)

// WithDown sets the time for which a change takes an engine away.
func WithDown(d time.Duration) Option { return func(p *Policy) { p.down = d } }

// WithBaseGap sets the time between two tokens of an otherwise idle engine.
func WithBaseGap(d time.Duration) Option { return func(p *Policy) { p.baseGap = d } }

// WithStall sets the part of its decode speed that an engine loses while it
// prefills.
func WithStall(part float64) Option { return func(p *Policy) { p.stall = part } }

// WithMoveRate sets the speed at which KV cache leaves an engine, in bytes a
// second.
func WithMoveRate(bytes float64) Option { return func(p *Policy) { p.moveRate = bytes } }

// New returns a policy that has seen nothing yet.
func New(env carawayspread.Environment, options ...Option) *Policy {
	p := &Policy{
		clock:    env.Clock,
		down:     defaultDown,
		baseGap:  defaultBaseGap,
		stall:    defaultStall,
		moveRate: defaultMoveRate,
		margin:   margin{value: 1},
		credit:   math.MaxInt32, // cut to what the fleet may keep
		changed:  map[carawayspread.EndpointID]time.Time{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Plan returns the changes that are worth their price now, often none.
//
// Nothing new means no change: a demand that is old or was planned for before
// says nothing about the work to come, and a change made on it would have to
// be undone when reports return. The roles last accepted stay.
func (p *Policy) Plan(engines []carawayspread.RoleState, demand carawayspread.Demand) []carawayspread.RoleChange {
	now := p.clock.Now()
	if !demand.MeasuredAt.After(p.planned) || now.Sub(demand.MeasuredAt) > staleAfter {
		return nil
	}
	p.planned = demand.MeasuredAt
	p.forget(engines)
	fleet := newFleet(engines)
	if fleet.prefillRate == 0 || fleet.decodeRate == 0 {
		return nil
	}
	model := model{stall: p.stall, base: p.baseGap.Seconds(), tight: tightest(demand.Classes, p.baseGap)}
	work := newLoad(demand, fleet, p.forecast.persistence(now))
	dt := p.forecast.observe(demand.MeasuredAt, work)
	p.margin.settle(now, dt, model, work)

	expected := p.forecast.ahead(p.down)
	tolerance := tolerance(demand.Classes, p.down)
	if expected.work() > 0 {
		tolerance = lenient(tolerance, model.missed(fleet.split, expected)/expected.work())
	}
	p.history.follow(work, dt)
	if p.margin.home == (split{}) {
		p.margin.home = fleet.split
	}
	few := fleet.split.total() < fewest && fleet.split.complete()
	if few || !p.forecast.warm() {
		return nil
	}
	free := newPicker(fleet, p.changed, now.Add(-p.dwell(tolerance)))
	if !fleet.split.complete() {
		free.since = now
	}
	p.earn(dt, fleet, demand.Classes)
	most := min(p.atOnce(fleet, tolerance)-fleet.changing, int(p.credit))
	best, price, ok := p.best(now, fleet, model, expected, free, tolerance, most)
	if !ok || most <= 0 {
		return nil
	}
	best.n = min(best.n, most)
	p.credit -= float64(best.n)
	p.margin.place(now, bet{
		until: now.Add(p.down + 2*p.forecast.persistence(now)),
		step:  best, from: fleet.split, to: fleet.split.after(best), price: price * float64(best.n),
	})
	return p.order(now, best, free)
}

// best returns the step that is worth most beyond its price, and the price of
// one of its engines.
//
// It must pay for the way there and back: by the forecast, and that as often
// as the failures of forecasts demand, or by the history, unless the forecast
// speaks against it.
func (p *Policy) best(now time.Time, fleet fleet, model model, expected load, free *picker, tolerance float64, most int) (best step, cost float64, ok bool) {
	horizon := p.forecast.persistence(now).Seconds()
	missed := model.missed(fleet.split, expected)
	past := p.history.missed(fleet.split, model)
	surplus := 0.0
	if missed > overloaded*expected.work() {
		most = fleet.split.total()
	}
	for _, s := range steps(fleet.split, most) {
		engines := free.peek(s)
		to := fleet.split.after(s)
		promised := (missed - model.missed(to, expected)) * horizon
		if promised <= 0 || len(engines) == 0 {
			continue
		}
		each := p.price(engines, tolerance) / float64(len(engines))
		proved := (past - p.history.missed(to, model)) / math.Min(provedMargin, p.margin.factor(now))
		worth := math.Max(promised/p.margin.asked(now, fleet.split, to), proved) / 2
		worth = math.Max(worth, p.margin.regret(s)) - each*float64(s.n)
		if worth > surplus {
			best, cost, surplus, ok = s, each, worth, true
			best.n = len(engines)
		}
	}
	return best, cost, ok
}

// order turns a step into changes of engines.
func (p *Policy) order(now time.Time, s step, free *picker) []carawayspread.RoleChange {
	changes := make([]carawayspread.RoleChange, 0, s.n)
	for _, engine := range free.peek(s) {
		p.changed[engine.Endpoint] = now
		changes = append(changes, carawayspread.RoleChange{Endpoint: engine.Endpoint, From: s.from, To: s.to})
	}
	return changes
}

// price returns what changing these engines costs, in engine-seconds.
//
// The engine is away, and its KV cache takes time to leave. What a change
// harms may use up the misses that the targets allow and no more, so that the
// price rises as they tolerate less.
func (p *Policy) price(engines []carawayspread.RoleState, tolerance float64) float64 {
	seconds := 0.0
	for _, engine := range engines {
		seconds += p.down.Seconds() + float64(engine.KVBytes)/p.moveRate
	}
	return seconds / math.Min(1, tolerance)
}

// dwell returns how long an engine keeps its role at least: the time away,
// spread over it, is the share of misses that the targets tolerate.
func (p *Policy) dwell(tolerance float64) time.Duration {
	times := math.Min(maxDwell, math.Max(minDwell, 1/tolerance))
	return time.Duration(times * float64(p.down))
}

// atOnce returns how many engines may be changing at one time.
func (p *Policy) atOnce(fleet fleet, tolerance float64) int {
	total := float64(fleet.split.total())
	return max(1, int(total*math.Min(maxShareChanging, tolerance)))
}

// earn adds the changes that the targets allow in dt: the time away may use up
// half of the misses that they allow, and the other half is left to load. This
// bounds changes whatever the mix does.
func (p *Policy) earn(dt time.Duration, fleet fleet, classes []carawayspread.ClassDemand) {
	total := float64(fleet.split.total())
	p.credit += total * allowed(classes) / 2 * dt.Seconds() / p.down.Seconds()
	p.credit = math.Min(p.credit, total/2)
}

// forget drops what is known of engines that are gone.
func (p *Policy) forget(engines []carawayspread.RoleState) {
	if len(p.changed) <= len(engines) {
		return
	}
	known := make(map[carawayspread.EndpointID]time.Time, len(engines))
	for _, engine := range engines {
		if at, ok := p.changed[engine.Endpoint]; ok {
			known[engine.Endpoint] = at
		}
	}
	p.changed = known
}
