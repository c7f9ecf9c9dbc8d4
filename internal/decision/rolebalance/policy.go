// Package rolebalance decides how many engines only read prompts, where the
// others answer and read as well, more slowly.
//
// Load pattern: the work of reading and that of answering differ from what the
// fleet was split for. Without it, readers are busy and prompts spill over to
// engines that read them at less than half the speed, between the steps of
// running answers, while a split with a few more readers would hold both.
//
// Readers are to be busy for no more than comfort of their time; as few engines
// change as bring that about, and none if answers would crowd. A mean of
// averaged time decides, so that bursts of seconds, which are over before an
// engine has changed, move nothing.
//
// With nothing new, or with a demand that was planned for before, nothing
// changes and the roles stay.
package rolebalance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayspread"
)

const (
	// memory is the time constant of the means: some bursts, and several times
	// what a change takes.
	memory = 20 * time.Second
	// warm is how long work must have come before anything changes.
	warm = 4 * time.Second
	// farOff is the pressure from which a split is wrong whatever comes next:
	// then warmFar is enough, and part farAtOnce of the engines changes at one time.
	farOff    = 1.35
	warmFar   = 600 * time.Millisecond
	farAtOnce = 0.34
	// steady is how long a change must have been wanted without a break: an
	// engine that fails is back or replaced within seconds.
	steady = 2 * time.Second
	// staleAfter bounds the age of a demand.
	staleAfter = 5 * time.Second
	// comfort is the part of their time that readers may be busy: of the splits
	// that were tried on two fleets, those with about this much were best
	// (docs/design/roles.md).
	comfort = 0.6
	// idle is the part below which a reader fewer is enough, if answers crowd:
	// so far below comfort that the change does not bring its own undoing.
	idle = 0.4
	// crowded is how many answers an engine may have running: a step takes
	// two thirds longer than alone.
	crowded = 16
	// mostReaders is the part of the engines that may only read. With two thirds,
	// answers missed their targets on both fleets that were tried.
	mostReaders = 0.5
	// mostSeparate is the same where answers bear no reading: the answers that are
	// under way when a split is found are fewer than soon after, and one engine
	// lost of three would take a third of them.
	mostSeparate = 0.67
	// dwell is how long an engine keeps a role at least; the few seconds of a
	// change are then less than a tenth of it.
	dwell = time.Minute
	// atOnce is the part of the engines that may change at one time.
	atOnce = 0.125
	// worth is the part of the pressure that a change must leave at most.
	worth = 0.95
	// fewest is how many engines there are at least where roles change: with
	// fewer, one is too large a part.
	fewest = 6
)

// Policy is a carawayspread.RolePolicy that keeps readers comfortable.
type Policy struct {
	clock   carawayspread.Clock
	began   time.Time // when work first came; zero before
	taken   time.Time // of the last demand
	reading float64   // mean tokens a second
	running float64   // mean answers at engines that answer
	wanted  time.Time // since when a change has been wanted; zero when none is
	seen    map[carawayspread.EndpointID]sighting
}

// sighting is a role and since when an engine has had it.
type sighting struct {
	role  carawayspread.Role
	since time.Time
}

var _ = carawayspread.RolePolicies.Register("balance", func(env carawayspread.Environment) carawayspread.RolePolicy {
	return New(env)
})

// New returns a policy that has seen nothing yet.
func New(env carawayspread.Environment) *Policy {
	return &Policy{clock: env.Clock, seen: map[carawayspread.EndpointID]sighting{}}
}

// Plan returns the changes that are worth their price now, often none.
func (p *Policy) Plan(engines []carawayspread.RoleState, demand carawayspread.Demand) []carawayspread.RoleChange {
	now := p.clock.Now()
	if !demand.MeasuredAt.After(p.taken) || now.Sub(demand.MeasuredAt) > staleAfter {
		return nil
	}
	readers, answerers, busy := p.sort(now, engines)
	p.follow(demand, answerers)
	change, far := p.decide(now, readers, answerers)
	if len(change) == 0 || busy {
		p.wanted = time.Time{}
		return nil
	}
	if p.wanted.IsZero() {
		p.wanted = now
	}
	if now.Sub(p.wanted) < steady && !far {
		return nil
	}
	return change
}

// sort splits the engines by role, those that may change first, and reports
// whether one is changing.
func (p *Policy) sort(now time.Time, engines []carawayspread.RoleState) (readers, answerers []carawayspread.RoleState, busy bool) {
	seen := make(map[carawayspread.EndpointID]sighting, len(engines))
	for _, engine := range engines {
		was, known := p.seen[engine.Endpoint]
		switch {
		case !known:
			was = sighting{role: engine.Role, since: now.Add(-dwell)}
		case was.role != engine.Role:
			was = sighting{role: engine.Role, since: now}
		}
		seen[engine.Endpoint] = was
		busy = busy || engine.Changing
		if engine.Leaving || engine.Changing {
			continue
		}
		if engine.Role == carawayspread.RolePrefill {
			readers = append(readers, engine)
		} else {
			answerers = append(answerers, engine)
		}
	}
	p.seen = seen
	for _, of := range [][]carawayspread.RoleState{readers, answerers} {
		slices.SortFunc(of, func(a, b carawayspread.RoleState) int {
			return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Endpoint, b.Endpoint))
		})
	}
	return readers, answerers, busy
}

// follow moves the means. They begin with what comes first, and average all
// that has come as long as that is less than memory.
func (p *Policy) follow(demand carawayspread.Demand, answerers []carawayspread.RoleState) {
	var reading, running float64
	for _, class := range demand.Classes {
		reading += class.PrefillTokens
	}
	for _, engine := range answerers {
		running += float64(engine.Running)
	}
	dt := demand.MeasuredAt.Sub(p.taken)
	p.taken = demand.MeasuredAt
	if p.began.IsZero() {
		if reading > 0 {
			p.began, p.reading, p.running = demand.MeasuredAt, reading, running
		}
		return
	}
	span := min(memory, demand.MeasuredAt.Sub(p.began))
	weight := 1 - math.Exp(-dt.Seconds()/max(dt.Seconds(), span.Seconds()))
	p.reading += weight * (reading - p.reading)
	p.running += weight * (running - p.running)
}

// pressure is how far a split is from holding all that comes: one where readers
// are comfortable and answers do not crowd.
func (p *Policy) pressure(need float64, readers, answerers int) float64 {
	return max(need/(comfort*float64(readers)), p.running/(crowded*float64(max(1, answerers))))
}

// decide returns the changes wanted by the means, and whether the split is far off.
func (p *Policy) decide(now time.Time, readers, answerers []carawayspread.RoleState) (changes []carawayspread.RoleChange, far bool) {
	n, total := len(readers), len(readers)+len(answerers)
	rate := speed(readers)
	if total < fewest || n == 0 || rate == 0 || p.began.IsZero() {
		return nil, false
	}
	need := p.reading / rate // readers that would be busy all the time
	if separate(answerers) {
		return p.divide(now, need, readers, answerers)
	}
	if now.Sub(p.began) < warm {
		return nil, false
	}
	crowds := func(left int) bool { return p.running > crowded*float64(left) }
	want := n
	for need > comfort*float64(want) && float64(want+1) <= mostReaders*float64(total) && !crowds(total-want-1) {
		want++
	}
	if want > n {
		return p.pick(now, answerers, min(want-n, max(1, int(atOnce*float64(total)))), carawayspread.RolePrefill), false
	}
	if n > 1 && need < idle*float64(n-1) && crowds(total-n) {
		return p.pick(now, readers, 1, carawayspread.RoleDecode), false
	}
	return nil, false
}

// separate reports whether most engines that answer cannot read beside.
func separate(answerers []carawayspread.RoleState) bool {
	only := 0
	for _, engine := range answerers {
		if engine.PrefillDelaysDecode {
			only++
		}
	}
	return 2*only > len(answerers)
}

// divide returns the changes for engines whose answers bear no reading beside them:
// all prompts are for the readers, and what they do not hold is late.
func (p *Policy) divide(now time.Time, need float64, readers, answerers []carawayspread.RoleState) (changes []carawayspread.RoleChange, far bool) {
	n, total := len(readers), len(readers)+len(answerers)
	here := p.pressure(need, n, total-n)
	far = here > farOff && now.Sub(p.began) >= warmFar
	if here <= 1 || !far && now.Sub(p.began) < warm {
		return nil, far
	}
	want, least := n, here
	for m := 1; float64(m) <= mostSeparate*float64(total); m++ {
		if there := p.pressure(need, m, total-m); there < worth*least {
			want, least = m, there
		}
	}
	share := atOnce
	if far {
		share = farAtOnce
	}
	most := max(1, int(share*float64(total)))
	if want > n {
		return p.pick(now, answerers, min(want-n, most), carawayspread.RolePrefill), far
	}
	return p.pick(now, readers, min(n-want, 1), carawayspread.RoleDecode), far
}

// pick returns changes of up to n engines that have kept their role long enough.
func (p *Policy) pick(now time.Time, from []carawayspread.RoleState, n int, to carawayspread.Role) []carawayspread.RoleChange {
	var changes []carawayspread.RoleChange
	for _, engine := range from {
		if len(changes) < n && now.Sub(p.seen[engine.Endpoint].since) >= dwell {
			changes = append(changes, carawayspread.RoleChange{Endpoint: engine.Endpoint, From: engine.Role, To: to})
		}
	}
	return changes
}

// speed returns the middle speed of the readers in tokens a second.
func speed(readers []carawayspread.RoleState) float64 {
	var rates []float64
	for _, engine := range readers {
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
