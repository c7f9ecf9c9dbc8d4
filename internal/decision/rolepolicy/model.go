package rolepolicy

import (
	"math"

	"carawayspread"
)

const (
	// maxPrefillUtilisation is the utilisation up to which an engine that only prefills is given
	// work; beyond it the time to first token is too long.
	maxPrefillUtilisation = 0.9
	// mixedPrefillSpeed is the prefill speed of an engine that decodes as well: its prefill chunks
	// of 256 ms run between decode steps of 40 ms.
	mixedPrefillSpeed = 0.85
	// missMidpoint and missSteepness shape the share of the answers that miss a between-token
	// target at an expected gap, since prompts arrive unevenly: half of them miss when the gap is
	// 1.1 times the target, and the odds of a miss grow with the tenth power of the gap. They fit
	// ten splits of two fleets (docs/design/roles.md).
	missMidpoint  = 1.1
	missSteepness = 10
	// fullGapFactor is the gap, in multiples of the tightest target, at which an engine has no free
	// slot.
	fullGapFactor = 3
)

// split counts the engines in each role.
type split struct{ prefill, decode, both int }

func (s split) total() int { return s.prefill + s.decode + s.both }

// coversBothPhases reports whether each phase has an engine.
func (s split) coversBothPhases() bool {
	return s.prefill+s.both > 0 && s.decode+s.both > 0
}

// counter returns a pointer to the count of a role.
func (s *split) counter(role carawayspread.Role) *int {
	switch role {
	case carawayspread.RolePrefill:
		return &s.prefill
	case carawayspread.RoleDecode:
		return &s.decode
	default:
		return &s.both
	}
}

// step moves n engines from one role to another.
type step struct {
	from, to carawayspread.Role
	n        int
}

// after returns the split that results from a step.
func (s split) after(step step) split {
	*s.counter(step.from) -= step.n
	*s.counter(step.to) += step.n
	return s
}

// distance returns twice the number of engines whose role differs between two splits.
func (s split) distance(other split) int {
	difference := func(a, b int) int { return max(a-b, b-a) }
	return difference(s.prefill, other.prefill) + difference(s.decode, other.decode) + difference(s.both, other.both)
}

// model predicts the work that misses its targets under a split. It treats work as a fluid.
type model struct {
	prefillStall float64 // share of the decode speed lost while a prompt is prefilled
	baseGap      float64 // seconds between two tokens of an idle engine
	tightestGap  float64 // the tightest between-token target, in seconds; above baseGap
}

// decodeShare is the decode work that one kind of engine takes.
type decodeShare struct {
	fraction float64 // of all decode work
	gap      float64 // expected seconds between two tokens of its answers
	overflow float64 // share of its work that finds no slot
}

// missed returns the work whose answers will miss their targets, in engine-seconds a second.
func (m model) missed(s split, l load) float64 {
	if !s.coversBothPhases() {
		return 2 * l.total()
	}
	prefillMiss := 0.0
	if l.prefill > 0 {
		prefillCapacity := float64(s.prefill) + mixedPrefillSpeed*float64(s.both)
		prefillMiss = math.Max(0, 1-prefillCapacity/l.prefill)
	}
	separate, mixed := m.decodeShares(s, l)
	total := 0.0
	for _, p := range l.classes {
		miss := separate.fraction*separate.missFraction(p.gap) + mixed.fraction*mixed.missFraction(p.gap)
		total += (p.prefill + p.decode) * math.Max(prefillMiss, miss)
	}
	return total
}

// decodeShares returns the decode work of the engines that only decode, and of those that prefill
// as well. The former get answers only from engines that only prefill; the latter are slowed down
// by the remaining prompts.
func (m model) decodeShares(s split, l load) (separate, mixed decodeShare) {
	separatePrefill := math.Min(l.prefill, maxPrefillUtilisation*float64(s.prefill))
	speed := 1.0
	if s.both > 0 {
		speed -= m.prefillStall * math.Min(1, (l.prefill-separatePrefill)/(mixedPrefillSpeed*float64(s.both)))
	}
	fraction := float64(s.decode) / float64(s.decode+s.both)
	if l.prefill > 0 && s.both > 0 {
		fraction = math.Min(fraction, separatePrefill/l.prefill)
	}
	return m.decodeShare(fraction, l.decode, s.decode, 1), m.decodeShare(1-fraction, l.decode, s.both, speed)
}

// decodeShare spreads a fraction of the decode work over n engines of the given speed.
//
// The gap between tokens is baseGap + k*step for k running answers, and reaches the tightest target
// with a full batch. In the steady state it is baseGap/(speed-work*headroom).
func (m model) decodeShare(fraction, work float64, n int, speed float64) decodeShare {
	if fraction == 0 || work == 0 || n == 0 {
		return decodeShare{fraction: fraction}
	}
	perEngine := fraction * work / float64(n)
	headroom := 1 - m.baseGap/m.tightestGap
	remaining := speed - perEngine*headroom
	gap := math.Inf(1)
	if remaining > 0 {
		gap = m.baseGap / remaining
	}
	maxPerEngine := math.Max(0, speed-m.baseGap/(fullGapFactor*m.tightestGap)) / headroom
	return decodeShare{fraction: fraction, gap: gap, overflow: math.Max(0, 1-maxPerEngine/perEngine)}
}

// missFraction returns the share of the answers that miss a between-token target; zero means that
// there is none. Work that finds no slot delays all answers.
func (s decodeShare) missFraction(target float64) float64 {
	if target == 0 || s.gap == 0 {
		return s.overflow
	}
	return 1/(1+math.Pow(missMidpoint*target/s.gap, missSteepness)) + s.overflow/2
}
