// Package rolebalance decides how many engines of a service only prefill. The others, its decode
// engines, decode and can prefill as well, more slowly.
//
// It is meant for services whose prefill and decode work differs from what the fleet was split for.
// Without it, prefill engines are busy and prompts spill over to decode engines, which prefill them
// at less than half the speed between the steps of running answers, while a split with a few more
// prefill engines would carry both.
//
// Prefill engines should be busy for no more than targetUtilisation of their time. As few engines
// change as are needed for that, and none if the decode engines would then have too many answers
// running. Decisions are based on moving averages, so that bursts of seconds, which are over before
// an engine has changed, cause no change.
//
// Without a new demand, or with one that was planned for before, the roles stay.
package rolebalance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayspread"
)

const (
	// averagingTime is the time constant of the moving averages: longer than several bursts, and
	// several times as long as a change takes.
	averagingTime = 20 * time.Second
	// warmUp is how long work must have arrived before anything changes.
	warmUp = 4 * time.Second
	// farOffPressure is the pressure from which on a split is wrong whatever arrives next: then
	// warmUpFarOff is long enough, and maxChangingFarOff is the share of the engines that may
	// change at one time.
	farOffPressure    = 1.35
	warmUpFarOff      = 600 * time.Millisecond
	maxChangingFarOff = 0.34
	// wantedFor is how long a change must have been wanted without interruption: an engine that
	// fails is back or replaced within seconds.
	wantedFor = 2 * time.Second
	// staleAfter bounds the age of a demand.
	staleAfter = 5 * time.Second
	// targetUtilisation is the share of their time that prefill engines may be busy: of the splits
	// that were tried on two fleets, those with about this utilisation were best
	// (docs/design/roles.md).
	targetUtilisation = 0.6
	// lowUtilisation is the utilisation below which one prefill engine fewer is enough, if the
	// decode engines have too many answers running. It is so far below targetUtilisation that the
	// change does not cause its own reversal.
	lowUtilisation = 0.4
	// maxRunningAnswers is how many answers an engine may have running: with 16 a decode step takes
	// two thirds longer than with one.
	maxRunningAnswers = 16
	// maxPrefillShare is the share of the engines that may only prefill. With two thirds, answers
	// missed their targets on both fleets that were tried.
	maxPrefillShare = 0.5
	// maxPrefillShareSeparate is the same where decode engines must not prefill: when a split is
	// chosen, fewer answers are running than soon after, and with three decode engines the loss of
	// one would affect a third of the answers.
	maxPrefillShareSeparate = 0.67
	// dwell is the least time that an engine keeps a role; the few seconds of a change are then
	// less than a tenth of it.
	dwell = time.Minute
	// maxChangingShare is the share of the engines that may change at one time.
	maxChangingShare = 0.125
	// maxRemainingPressure is the share of the pressure that a change may leave at most.
	maxRemainingPressure = 0.95
	// minEngines is the least number of engines with which roles change: with fewer, one engine is
	// too large a share of the fleet.
	minEngines = 6
)

// Policy is a carawayspread.RolePolicy that holds the utilisation of prefill engines near a target.
type Policy struct {
	clock          carawayspread.Clock
	firstWork      time.Time // when work first arrived; zero before
	lastMeasuredAt time.Time // when the last demand was measured
	meanArrivals   float64   // prompt tokens a second
	meanRunning    float64   // answers running on the decode engines
	wantedSince    time.Time // since when a change has been wanted; zero when none is
	roles          map[carawayspread.EndpointID]roleRecord
}

// roleRecord is the role of an engine and since when it has had it.
type roleRecord struct {
	role  carawayspread.Role
	since time.Time
}

var _ = carawayspread.RolePolicies.Register("balance", func(env carawayspread.Environment) carawayspread.RolePolicy {
	return New(env)
})

// New returns a policy without any observations.
func New(env carawayspread.Environment) *Policy {
	return &Policy{clock: env.Clock, roles: map[carawayspread.EndpointID]roleRecord{}}
}

// Plan returns the changes that are worth their cost now, often none.
func (p *Policy) Plan(engines []carawayspread.RoleState, demand carawayspread.Demand) []carawayspread.RoleChange {
	now := p.clock.Now()
	if !demand.MeasuredAt.After(p.lastMeasuredAt) || now.Sub(demand.MeasuredAt) > staleAfter {
		return nil
	}
	prefill, decode, changing := p.classify(now, engines)
	p.updateMeans(demand, decode)
	change, farOff := p.decide(now, prefill, decode)
	if len(change) == 0 || changing {
		p.wantedSince = time.Time{}
		return nil
	}
	if p.wantedSince.IsZero() {
		p.wantedSince = now
	}
	if now.Sub(p.wantedSince) < wantedFor && !farOff {
		return nil
	}
	return change
}

// classify splits the engines by role, those with the fewest running requests first, and reports
// whether one is changing. Engines that are leaving or changing are in neither list.
func (p *Policy) classify(now time.Time, engines []carawayspread.RoleState) (prefill, decode []carawayspread.RoleState, changing bool) {
	roles := make(map[carawayspread.EndpointID]roleRecord, len(engines))
	for _, engine := range engines {
		record, known := p.roles[engine.Endpoint]
		switch {
		case !known:
			record = roleRecord{role: engine.Role, since: now.Add(-dwell)}
		case record.role != engine.Role:
			record = roleRecord{role: engine.Role, since: now}
		}
		roles[engine.Endpoint] = record
		changing = changing || engine.Changing
		if engine.Leaving || engine.Changing {
			continue
		}
		if engine.Role == carawayspread.RolePrefill {
			prefill = append(prefill, engine)
		} else {
			decode = append(decode, engine)
		}
	}
	p.roles = roles
	for _, group := range [][]carawayspread.RoleState{prefill, decode} {
		slices.SortFunc(group, func(a, b carawayspread.RoleState) int {
			return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Endpoint, b.Endpoint))
		})
	}
	return prefill, decode, changing
}

// updateMeans updates the moving averages. They start with the first work, and weight all work
// evenly until it has arrived for averagingTime.
func (p *Policy) updateMeans(demand carawayspread.Demand, decode []carawayspread.RoleState) {
	var arriving, running float64
	for _, class := range demand.Classes {
		arriving += class.PrefillTokens
	}
	for _, engine := range decode {
		running += float64(engine.Running)
	}
	dt := demand.MeasuredAt.Sub(p.lastMeasuredAt)
	p.lastMeasuredAt = demand.MeasuredAt
	if p.firstWork.IsZero() {
		if arriving > 0 {
			p.firstWork, p.meanArrivals, p.meanRunning = demand.MeasuredAt, arriving, running
		}
		return
	}
	span := min(averagingTime, demand.MeasuredAt.Sub(p.firstWork))
	weight := 1 - math.Exp(-dt.Seconds()/max(dt.Seconds(), span.Seconds()))
	p.meanArrivals += weight * (arriving - p.meanArrivals)
	p.meanRunning += weight * (running - p.meanRunning)
}

// pressure returns how far a split is from carrying the load: at one, the prefill engines are at
// targetUtilisation or the decode engines have maxRunningAnswers running, whichever is worse. need
// is in fully busy prefill engines.
func (p *Policy) pressure(need float64, prefill, decode int) float64 {
	return max(need/(targetUtilisation*float64(prefill)), p.meanRunning/(maxRunningAnswers*float64(max(1, decode))))
}

// decide returns the changes that the moving averages call for, and whether the split is far off.
func (p *Policy) decide(now time.Time, prefill, decode []carawayspread.RoleState) (changes []carawayspread.RoleChange, farOff bool) {
	n, total := len(prefill), len(prefill)+len(decode)
	rate := medianRate(prefill)
	if total < minEngines || n == 0 || rate == 0 || p.firstWork.IsZero() {
		return nil, false
	}
	need := p.meanArrivals / rate // prefill engines that would be busy all the time
	if mostlyDecodeOnly(decode) {
		return p.decideSeparate(now, need, prefill, decode)
	}
	if now.Sub(p.firstWork) < warmUp {
		return nil, false
	}
	crowded := func(left int) bool { return p.meanRunning > maxRunningAnswers*float64(left) }
	want := n
	for need > targetUtilisation*float64(want) && float64(want+1) <= maxPrefillShare*float64(total) && !crowded(total-want-1) {
		want++
	}
	if want > n {
		return p.pick(now, decode, min(want-n, max(1, int(maxChangingShare*float64(total)))), carawayspread.RolePrefill), false
	}
	if n > 1 && need < lowUtilisation*float64(n-1) && crowded(total-n) {
		return p.pick(now, prefill, 1, carawayspread.RoleDecode), false
	}
	return nil, false
}

// mostlyDecodeOnly reports whether most decode engines must not prefill.
func mostlyDecodeOnly(decode []carawayspread.RoleState) bool {
	decodeOnly := 0
	for _, engine := range decode {
		if engine.PrefillDelaysDecode {
			decodeOnly++
		}
	}
	return 2*decodeOnly > len(decode)
}

// decideSeparate returns the changes for a fleet whose decode engines must not prefill: prefill
// engines get all prompts, and those beyond their capacity are late.
func (p *Policy) decideSeparate(now time.Time, need float64, prefill, decode []carawayspread.RoleState) (changes []carawayspread.RoleChange, farOff bool) {
	n, total := len(prefill), len(prefill)+len(decode)
	current := p.pressure(need, n, total-n)
	farOff = current > farOffPressure && now.Sub(p.firstWork) >= warmUpFarOff
	if current <= 1 || !farOff && now.Sub(p.firstWork) < warmUp {
		return nil, farOff
	}
	want, least := n, current
	for m := 1; float64(m) <= maxPrefillShareSeparate*float64(total); m++ {
		if candidate := p.pressure(need, m, total-m); candidate < maxRemainingPressure*least {
			want, least = m, candidate
		}
	}
	share := maxChangingShare
	if farOff {
		share = maxChangingFarOff
	}
	limit := max(1, int(share*float64(total)))
	if want > n {
		return p.pick(now, decode, min(want-n, limit), carawayspread.RolePrefill), farOff
	}
	return p.pick(now, prefill, min(n-want, 1), carawayspread.RoleDecode), farOff
}

// pick returns changes of up to n engines that have kept their role long enough.
func (p *Policy) pick(now time.Time, from []carawayspread.RoleState, n int, to carawayspread.Role) []carawayspread.RoleChange {
	var changes []carawayspread.RoleChange
	for _, engine := range from {
		if len(changes) < n && now.Sub(p.roles[engine.Endpoint].since) >= dwell {
			changes = append(changes, carawayspread.RoleChange{Endpoint: engine.Endpoint, From: engine.Role, To: to})
		}
	}
	return changes
}

// medianRate returns the median of the known prefill rates in tokens a second; zero when none is
// known.
func medianRate(prefill []carawayspread.RoleState) float64 {
	var rates []float64
	for _, engine := range prefill {
		if engine.PrefillRate > 0 {
			rates = append(rates, engine.PrefillRate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
