package rolepolicy

import (
	"math"
	"time"

	"carawayspread"
)

const (
	// minTolerance keeps costs finite where targets allow almost no miss.
	minTolerance = 0.005
	// minDecodeShare is the share of all answers' tokens from which on a class's between-token
	// target counts for the whole batch.
	minDecodeShare = 0.05
	// unboundedGapFactor is the gap between tokens with all slots in use, in multiples of that of
	// an idle engine.
	unboundedGapFactor = 5
)

// tolerance returns how many misses the targets allow for each miss that a change causes. It is the
// only place where the needs of users enter.
//
// A change delays the work that it affects by the downtime of the engine. A class whose target
// leaves that much slack is not harmed; the share of the slack that the delay uses up is its
// exposure. The share of the target says how many answers may miss. Both are weighted by the work
// of each class. Long registers with a minute of slack give a high tolerance, so that engines
// follow the mix; short answers to people who wait give a low one, so that a change must save many
// times its cost and is rare.
func tolerance(classes []carawayspread.ClassDemand, down time.Duration) float64 {
	var work, exposed float64
	for _, class := range classes {
		tokens := class.PrefillTokens + class.DecodeTokens
		work += tokens
		exposed += tokens * exposure(class.Class.Target(), down)
	}
	if exposed == 0 {
		return 1
	}
	return math.Max(minTolerance, allowedMisses(classes)*work/exposed)
}

// allowedMisses returns the share of the work whose answers may miss their targets.
func allowedMisses(classes []carawayspread.ClassDemand) float64 {
	var work, misses float64
	for _, class := range classes {
		tokens := class.PrefillTokens + class.DecodeTokens
		work += tokens
		misses += tokens * (1 - class.Class.Target().Share())
	}
	if work == 0 {
		return 0
	}
	return misses / work
}

// overloadTolerance returns the tolerance while a share of the work misses its target anyway: a
// change can't make those answers late, and costs them no more than the time of the engine. The
// prediction is weighted by a half, because it determines when the cost is low.
func overloadTolerance(tolerance, missed float64) float64 {
	missed = math.Min(1, missed) / 2
	return 1 / ((1-missed)/tolerance + missed)
}

// exposure returns the share of a target's slack that a delay uses up, at most 1.
func exposure(target carawayspread.Target, delay time.Duration) float64 {
	slack := target.Latest(time.Time{}).Sub(time.Time{})
	if slack <= delay {
		return 1
	}
	return delay.Seconds() / slack.Seconds()
}

// tightestGap returns the between-token target that bounds the batch, in seconds. Without one,
// batches grow until all slots are in use.
func tightestGap(classes []carawayspread.ClassDemand, base time.Duration) float64 {
	var total float64
	for _, class := range classes {
		total += class.DecodeTokens
	}
	found := unboundedGapFactor * base
	for _, class := range classes {
		gap := class.Class.Target().BetweenTokens()
		if gap > base && gap < found && class.DecodeTokens >= minDecodeShare*total {
			found = gap
		}
	}
	return found.Seconds()
}
