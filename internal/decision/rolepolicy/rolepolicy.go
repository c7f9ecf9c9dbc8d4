package rolepolicy

import (
	"math"
	"time"

	"carawayspread"
)

// Defaults of the options, and bounds of the policy.
const (
	// defaultDowntime is the time for which a change takes an engine out of service.
	defaultDowntime = 8 * time.Second
	// defaultBaseGap is the time between two tokens of an otherwise idle engine.
	defaultBaseGap = 12 * time.Millisecond
	// defaultPrefillStall is the share of its decode speed that an engine loses while it prefills:
	// with chunks of 2,048 tokens a step of 40 ms takes 296 ms.
	defaultPrefillStall = 0.85
	// defaultTransferRate is the speed at which KV cache leaves an engine, in bytes a second.
	defaultTransferRate = 10e9
	// staleAfter bounds the age of a demand: three plans at the usual interval of five seconds.
	staleAfter = 15 * time.Second
	// maxShareChanging is the share of the engines that may change at one time however much the
	// targets tolerate: the others must carry the load meanwhile.
	maxShareChanging = 0.25
	// overloadShare is the share of missed work from which on steps are considered that take
	// several plans to carry out: the first engines alone may save nothing.
	overloadShare = 0.5
	// minEngines is the least number of engines with which roles change. With three, each is a
	// third of the fleet, and a mix that swings back after every change caused 123 changes in an
	// hour.
	minEngines = 8
	// maxHistoryMargin bounds the margin for steps justified by the history. Without it, a split
	// that was left by mistake could not be restored for an hour.
	maxHistoryMargin = 4.0
	// minDwell and maxDwell bound the time that an engine keeps a role, in multiples of the time
	// that a change takes.
	minDwell = 2
	maxDwell = 200
)

// Policy plans role changes that save more than their cost within a forecast horizon.
type Policy struct {
	clock        carawayspread.Clock
	downtime     time.Duration // positive
	baseGap      time.Duration // positive
	prefillStall float64       // in [0, 1)
	transferRate float64       // bytes a second, positive

	lastMeasuredAt time.Time // when the last demand that was planned for was measured
	forecast       forecast
	margin         margin
	credit         float64 // changes that may be made; not negative
	history        history
	lastChange     map[carawayspread.EndpointID]time.Time // of each engine
}

// Option sets a parameter of a Policy.
type Option func(*Policy)

// WithDowntime sets the time for which a change takes an engine out of service.
func WithDowntime(d time.Duration) Option { return func(p *Policy) { p.downtime = d } }

// WithBaseGap sets the time between two tokens of an otherwise idle engine.
func WithBaseGap(d time.Duration) Option { return func(p *Policy) { p.baseGap = d } }

// WithPrefillStall sets the share of its decode speed that an engine loses while it prefills.
func WithPrefillStall(share float64) Option { return func(p *Policy) { p.prefillStall = share } }

// WithTransferRate sets the speed at which KV cache leaves an engine, in bytes a second.
func WithTransferRate(bytes float64) Option { return func(p *Policy) { p.transferRate = bytes } }

// New returns a policy without any observations.
func New(env carawayspread.Environment, options ...Option) *Policy {
	p := &Policy{
		clock:        env.Clock,
		downtime:     defaultDowntime,
		baseGap:      defaultBaseGap,
		prefillStall: defaultPrefillStall,
		transferRate: defaultTransferRate,
		margin:       margin{value: 1},
		credit:       math.MaxInt32, // capped by accrueCredit
		lastChange:   map[carawayspread.EndpointID]time.Time{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Plan returns the changes that are worth their cost now, often none.
//
// Without a new demand it returns none and the roles stay: a demand that is old or was planned for
// before says nothing about the work to come, and a change based on it would have to be undone when
// reports resume.
func (p *Policy) Plan(engines []carawayspread.RoleState, demand carawayspread.Demand) []carawayspread.RoleChange {
	now := p.clock.Now()
	if !demand.MeasuredAt.After(p.lastMeasuredAt) || now.Sub(demand.MeasuredAt) > staleAfter {
		return nil
	}
	p.lastMeasuredAt = demand.MeasuredAt
	p.prune(engines)
	fleet := newFleet(engines)
	if fleet.prefillRate == 0 || fleet.decodeRate == 0 {
		return nil
	}
	model := model{prefillStall: p.prefillStall, baseGap: p.baseGap.Seconds(), tightestGap: tightestGap(demand.Classes, p.baseGap)}
	work := newLoad(demand, fleet, p.forecast.persistence(now))
	dt := p.forecast.observe(demand.MeasuredAt, work)
	p.margin.observe(now, dt, model, work)

	expected := p.forecast.extrapolate(p.downtime)
	tolerance := tolerance(demand.Classes, p.downtime)
	if expected.total() > 0 {
		tolerance = overloadTolerance(tolerance, model.missed(fleet.split, expected)/expected.total())
	}
	p.history.add(work, dt)
	if p.margin.lastGood == (split{}) {
		p.margin.lastGood = fleet.split
	}
	tooFew := fleet.split.total() < minEngines && fleet.split.coversBothPhases()
	if tooFew || !p.forecast.warmedUp() {
		return nil
	}
	candidates := newPicker(fleet, p.lastChange, now.Add(-p.dwell(tolerance)))
	if !fleet.split.coversBothPhases() {
		candidates.unchangedSince = now
	}
	p.accrueCredit(dt, fleet, demand.Classes)
	limit := min(p.maxConcurrent(fleet, tolerance)-fleet.changing, int(p.credit))
	best, cost, ok := p.best(now, fleet, model, expected, candidates, tolerance, limit)
	if !ok || limit <= 0 {
		return nil
	}
	best.n = min(best.n, limit)
	p.credit -= float64(best.n)
	p.margin.start(now, evaluation{
		until: now.Add(p.downtime + 2*p.forecast.persistence(now)),
		step:  best, from: fleet.split, to: fleet.split.after(best), cost: cost * float64(best.n),
	})
	return p.commit(now, best, candidates)
}

// best returns the step with the largest gain beyond its cost, and the cost per engine.
//
// The step must pay for the change and for undoing it: either by the forecast, multiplied as the
// failures of earlier forecasts require, or by the history, unless the forecast predicts no gain.
func (p *Policy) best(now time.Time, fleet fleet, model model, expected load, candidates *picker, tolerance float64, limit int) (best step, cost float64, ok bool) {
	horizon := p.forecast.persistence(now).Seconds()
	missed := model.missed(fleet.split, expected)
	pastMissed := p.history.missed(fleet.split, model)
	bestGain := 0.0
	if missed > overloadShare*expected.total() {
		limit = fleet.split.total()
	}
	for _, s := range candidateSteps(fleet.split, limit) {
		engines := candidates.forStep(s)
		to := fleet.split.after(s)
		forecastGain := (missed - model.missed(to, expected)) * horizon
		if forecastGain <= 0 || len(engines) == 0 {
			continue
		}
		costPerEngine := p.changeCost(engines, tolerance) / float64(len(engines))
		historyGain := (pastMissed - p.history.missed(to, model)) / math.Min(maxHistoryMargin, p.margin.factor(now))
		gain := math.Max(forecastGain/p.margin.required(now, fleet.split, to), historyGain) / 2
		gain = math.Max(gain, p.margin.regret(s)) - costPerEngine*float64(s.n)
		if gain > bestGain {
			best, cost, bestGain, ok = s, costPerEngine, gain, true
			best.n = len(engines)
		}
	}
	return best, cost, ok
}

// commit returns the role changes of a step and records when they were made.
func (p *Policy) commit(now time.Time, s step, candidates *picker) []carawayspread.RoleChange {
	changes := make([]carawayspread.RoleChange, 0, s.n)
	for _, engine := range candidates.forStep(s) {
		p.lastChange[engine.Endpoint] = now
		changes = append(changes, carawayspread.RoleChange{Endpoint: engine.Endpoint, From: s.from, To: s.to})
	}
	return changes
}

// changeCost returns the cost of changing these engines, in engine-seconds.
//
// A changing engine is out of service, and its KV cache takes time to leave. The harm of a change
// may use up the misses that the targets allow and no more, so that the cost rises as they tolerate
// less.
func (p *Policy) changeCost(engines []carawayspread.RoleState, tolerance float64) float64 {
	seconds := 0.0
	for _, engine := range engines {
		seconds += p.downtime.Seconds() + float64(engine.KVBytes)/p.transferRate
	}
	return seconds / math.Min(1, tolerance)
}

// dwell returns the least time that an engine keeps its role. The downtime of a change, spread over
// it, is the share of misses that the targets tolerate.
func (p *Policy) dwell(tolerance float64) time.Duration {
	factor := math.Min(maxDwell, math.Max(minDwell, 1/tolerance))
	return time.Duration(factor * float64(p.downtime))
}

// maxConcurrent returns how many engines may be changing at one time.
func (p *Policy) maxConcurrent(fleet fleet, tolerance float64) int {
	total := float64(fleet.split.total())
	return max(1, int(total*math.Min(maxShareChanging, tolerance)))
}

// accrueCredit adds the changes that the targets allow in dt: downtime may use up half of the
// misses that they allow, and the other half is left to load. This bounds the number of changes
// whatever the mix does.
func (p *Policy) accrueCredit(dt time.Duration, fleet fleet, classes []carawayspread.ClassDemand) {
	total := float64(fleet.split.total())
	p.credit += total * allowedMisses(classes) / 2 * dt.Seconds() / p.downtime.Seconds()
	p.credit = math.Min(p.credit, total/2)
}

// prune drops the records of engines that are not in the fleet any more.
func (p *Policy) prune(engines []carawayspread.RoleState) {
	if len(p.lastChange) <= len(engines) {
		return
	}
	kept := make(map[carawayspread.EndpointID]time.Time, len(engines))
	for _, engine := range engines {
		if at, ok := p.lastChange[engine.Endpoint]; ok {
			kept[engine.Endpoint] = at
		}
	}
	p.lastChange = kept
}
