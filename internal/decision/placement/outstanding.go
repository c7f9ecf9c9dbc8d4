package placement

import "time"

const (
	// uncachedLearningRate is the weight of one prompt in the share of prompts that is prefilled.
	uncachedLearningRate = 0.02
	// headRemains is the part of the prefill in progress that is counted as still to do.
	headRemains = 0.5
)

// backlog returns how long the engine takes for the prefills that are expected to be queued there, but no less
// than for those that have been sent there without an answer.
//
// The expected end of a prefill passes whether or not the engine has kept up. An engine that is slower than
// its estimate then looks idle while prompts wait there: with a fleet of uneven engines, fourteen prompts
// queued for 1.7 s at engines whose queue was expected to take 25 ms, beside idle ones. What is unanswered
// falls with answers alone.
func (p *Placer) backlog(now time.Time, pool *pool, e *engine) time.Duration {
	return max(e.wait(now), p.outstanding(now, pool, e))
}

// outstanding returns the expected time of the prefills at the engine that have no answer. Of an engine that
// also decodes, the load updates of peers do not tell prefills from running answers: only those of this
// process count there.
func (p *Placer) outstanding(now time.Time, pool *pool, e *engine) time.Duration {
	var own time.Duration
	count := 0
	for _, a := range e.unanswered {
		own += a.prefillTime
		if a.prefillTime > 0 {
			count++
		}
	}
	total := own
	if e.prefillOnly() {
		peers := p.loads.at(now, e.hash)
		count += peers.running
		total += time.Duration(float64(peers.tokens) * pool.uncachedShare() * float64(nominalTimePerToken) * e.slowdown)
	}
	if count == 0 {
		return 0
	}
	return time.Duration(float64(total) * (float64(count) - 1 + headRemains) / float64(count))
}

// observeUncached learns which share of its tokens a prompt is prefilled with.
func (pool *pool) observeUncached(prefilled, tokens int) {
	if tokens > 0 {
		share := max(0, min(1, float64(prefilled)/float64(tokens)))
		pool.cachedShare += uncachedLearningRate * (1 - share - pool.cachedShare)
	}
}

// uncachedShare returns the share of the tokens of prompts that is prefilled.
func (pool *pool) uncachedShare() float64 { return 1 - pool.cachedShare }

// correctBacklog moves the backlog of the chosen engine to what is outstanding there, so that the answer is
// compared with the time that it was expected to take, and the wait is not taken for a slow engine.
func (p *Placer) correctBacklog(now time.Time, pool *pool, e *engine) {
	if outstanding := p.outstanding(now, pool, e); outstanding > e.wait(now) {
		e.shiftBacklog(now.Add(outstanding).Sub(e.busyUntil))
	}
}
