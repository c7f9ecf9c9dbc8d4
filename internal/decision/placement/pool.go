package placement

import (
	"slices"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/room"
)

// seedInterval is the least time between two passes over all engines that seed those without own
// measurements; some answers of a process arrive in it.
const seedInterval = 50 * time.Millisecond

const (
	// lagLearningRate is the weight of one answer in the mean error of a role; a peak of a second
	// shows in the mean.
	lagLearningRate = 0.05
	// initialHitRate stands for an unknown hit rate: prompts that meet their target only if their
	// prefixes are cached are neither all refused nor all admitted.
	initialHitRate = 0.5
	// hitRateLearningRate is the weight of one answer; four answers suffice.
	hitRateLearningRate = 0.25
	// minHitSaving is the least time that a cached prefix must save for the time of the answer to
	// show whether it was cached: what a short prompt takes in any case.
	minHitSaving = initialDelay
)

// pool holds the endpoints of one service.
type pool struct {
	engines       map[carawayspread.EndpointID]*engine
	ordered       []*engine // by endpoint identifier
	ejector       carawayspread.Ejector
	arrivedTokens int       // tokens to prefill, placed here and by peers, since demandSince
	demandSince   time.Time // when Roles was last called
	// gapTargets are the targets of the routes seen for the gap between events, by route name.
	gapTargets       map[string]time.Duration
	meanPromptTokens float64 // of a prompt, exponentially weighted
	meanOutputTokens float64 // of an answer, exponentially weighted
	tokensPerEvent   int     // tokens of one event; zero if not configured
	// lag is the mean lateness of prefills that waited in a queue, relative to the expected time
	// and exponentially weighted: of engines that only prefill, and of the others.
	lag struct{ prefill, decode float64 }
	// affinityHitRate is the part of the prefixes that no engine is known to hold that their
	// affinity engines turn out to hold; from 0 to 1.
	affinityHitRate float64
	// lastDecayed is when learned values last decayed, and lastSeeded when engines without
	// measurements last received values of others.
	lastDecayed, lastSeeded time.Time
	// candidateBuffer is the last result of candidates, reused by the next call.
	candidateBuffer []*engine
	// cachedShare is the share of the tokens of prompts that engines have cached.
	cachedShare float64
	urgencies   urgencyShares
	// placed is what peers place at engines that decode, and refused what arrives at this process and finds no
	// room.
	placed, refused room.Unreported
	// minGapTarget is the shortest of gapTargets; zero for none.
	minGapTarget time.Duration
}

// learnHitRate updates the affinity hit rate from the time of a prefill whose shared prefix no
// engine was known to hold.
//
// A process that has just started knows no prefix. If it expected each to be prefilled from the
// first token, it would refuse prompts as too late that their affinity engine holds; if it expected
// all to be held, it would admit too many after all engines have restarted.
func (pool *pool) learnHitRate(now time.Time, a *attempt) {
	if a.coldPrefillTime-a.warmPrefillTime < minHitSaving || a.expectedStart.Sub(a.sentAt) >= maxUnqueuedWait {
		return
	}
	took := now.Sub(a.expectedStart) - a.engine.delay
	hit := min(1, max(0, float64(a.coldPrefillTime-took)/float64(a.coldPrefillTime-a.warmPrefillTime)))
	pool.affinityHitRate += hitRateLearningRate * (hit - pool.affinityHitRate)
}

// excessLag returns by how much the lateness of one answer exceeds the mean of the engines of its
// role, and updates the mean. Both are relative to the expected time; the lateness is clamped to
// the expected time in either direction.
func (pool *pool) excessLag(prefillOnly bool, lateness float64) float64 {
	lateness = max(-1, min(1, lateness))
	mean := &pool.lag.decode
	if prefillOnly {
		mean = &pool.lag.prefill
	}
	*mean += lagLearningRate * (lateness - *mean)
	return lateness - *mean
}

// decay moves old learned values towards the medians of their roles, once each decayInterval.
func (pool *pool) decay(now time.Time) {
	if now.Sub(pool.lastDecayed) < decayInterval {
		return
	}
	pool.lastDecayed = now
	pool.seedUnlearned()
	for _, prefillOnly := range []bool{true, false} {
		median, _ := pool.medianSlowdown(prefillOnly)
		for _, e := range pool.ordered {
			if e.prefillOnly() == prefillOnly {
				e.decay(now, median)
			}
		}
	}
}

// observePrompt updates the gap targets and mean lengths with the request.
func (pool *pool) observePrompt(req carawayspread.PlacementRequest) {
	if req.Route.TargetGap > 0 && pool.gapTargets[req.Route.Name] != req.Route.TargetGap {
		pool.gapTargets[req.Route.Name] = req.Route.TargetGap
		pool.minGapTarget = 0
		for _, target := range pool.gapTargets {
			if pool.minGapTarget == 0 || target < pool.minGapTarget {
				pool.minGapTarget = target
			}
		}
	}
	pool.tokensPerEvent = req.Service.Engine.TokensPerEvent
	if pool.meanPromptTokens == 0 {
		pool.meanPromptTokens = float64(req.Prompt.Tokens)
	}
	pool.meanPromptTokens += meanLearningRate * (float64(req.Prompt.Tokens) - pool.meanPromptTokens)
	if req.PrefilledBy == "" {
		pool.urgencies.observe(urgencyOf(req), float64(req.Prompt.Tokens))
	}
	if tokens := float64(sequenceTokens(req.Prompt) - req.Prompt.Tokens); pool.meanOutputTokens == 0 {
		pool.meanOutputTokens = tokens
	} else {
		pool.meanOutputTokens += meanLearningRate * (tokens - pool.meanOutputTokens)
	}
}

// answerTime returns how long an answer decodes at the engine with the given number of running answers.
func (pool *pool) answerTime(e *engine, running int) time.Duration {
	return time.Duration(max(1, pool.meanOutputTokens) * float64(e.stepTime(running)))
}

// toleratesPrefill reports whether the engine's answers keep the gap limit however many prompts are
// prefilled beside them.
func (pool *pool) toleratesPrefill(e *engine, running int) bool {
	limit := pool.gapLimit()
	return limit == 0 || e.eventGap(running, pool.tokensPerEvent, time.Hour, int(pool.meanPromptTokens)) <= limit
}

// disaggregated reports whether most engines that decode do not tolerate prefill.
func (pool *pool) disaggregated() bool {
	decoders, tolerant := 0, 0
	for _, e := range pool.ordered {
		if !e.prefillOnly() {
			decoders++
			if pool.toleratesPrefill(e, e.ownAttempts) {
				tolerant++
			}
		}
	}
	return 2*tolerant < decoders
}

// gapLimit returns the longest gap between events that meets the targets of all routes seen; zero
// for no limit.
func (pool *pool) gapLimit() time.Duration {
	return time.Duration(gapTargetShare * float64(pool.minGapTarget))
}

// seedUnlearned copies learned values to the engines without measurements: the delay of another
// engine of their role and, if the pool is disaggregated, the median slowdown of the prefill
// engines. With the initial values they would look faster than they are and get all requests.
func (pool *pool) seedUnlearned() {
	median, known := pool.medianSlowdown(true)
	disaggregated := pool.disaggregated()
	sources := map[bool]*engine{} // one engine with measurements for each role
	for _, e := range pool.ordered {
		e.medianSlowdown = median
		if kind := e.prefillOnly(); sources[kind] == nil && !e.learnedAt.IsZero() {
			sources[kind] = e
		}
	}
	for _, unlearned := range pool.ordered {
		if !unlearned.learnedAt.IsZero() {
			continue
		}
		if source := sources[unlearned.prefillOnly()]; source != nil {
			unlearned.delay = source.delay
		}
		if known && disaggregated {
			unlearned.slowdown = median
		}
	}
}

// seedIfDue seeds the engines without measurements again at the first answer after seedInterval.
func (pool *pool) seedIfDue(now time.Time) {
	if now.Sub(pool.lastSeeded) >= seedInterval {
		pool.lastSeeded = now
		pool.seedUnlearned()
	}
}

// medianSlowdown returns the median slowdown of the engines of a role, if any has measurements; 1
// otherwise.
func (pool *pool) medianSlowdown(prefillOnly bool) (slowdown float64, known bool) {
	var slowdowns []float64
	for _, e := range pool.ordered {
		if e.prefillOnly() == prefillOnly && !e.learnedAt.IsZero() {
			slowdowns = append(slowdowns, e.slowdown)
		}
	}
	if len(slowdowns) == 0 {
		return 1, false
	}
	slices.Sort(slowdowns)
	return slowdowns[len(slowdowns)/2], true
}

// eligible reports whether the engine may get the request.
func (pool *pool) eligible(now time.Time, e *engine, req carawayspread.PlacementRequest) bool {
	fits := req.Build == 0 || e.prefillOnly() || e.endpoint.Build() == req.Build
	return fits && !e.suspendedUntil.After(now) && !e.endpoint.Leaving() && !req.Exclude[e.endpoint.ID()] && pool.ejector.Allowed(e.endpoint.ID())
}
