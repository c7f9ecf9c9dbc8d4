package placement

import (
	"time"

	"carawayspread"
)

const (
	// priorities bounds the priorities that are told apart; less urgent ones count as the last.
	priorities = 10
	// urgencyLearningRate is the weight of one prompt in the shares of the priorities.
	urgencyLearningRate = 0.01
	// maxOvertaking bounds by how much requests that arrive later and are more urgent lengthen a wait: at the
	// capacity of an engine it has no bound.
	maxOvertaking = 2.5
)

// urgencyShares are the parts of the work of a service that each priority has.
//
// Engines prefill the most urgent prompts first. An estimate in the order of arrival lets short urgent prompts
// wait behind all patient ones, so that they are refused, or prefilled beside running answers, while an engine
// would serve them next; it lets patient prompts wait too little, since urgent ones that arrive later overtake
// them; and as urgent answers come earlier than expected, it takes each queue for shorter than it is.
type urgencyShares struct {
	parts [priorities]float64 // their sum is 1 once a prompt was seen
	known bool
	// tokens and squares are the means of the tokens of a prompt and of their squares.
	tokens, squares float64
}

func urgencyOf(req carawayspread.PlacementRequest) int {
	return max(0, min(priorities-1, req.Route.Priority))
}

// observe learns from a prompt.
func (s *urgencyShares) observe(urgency int, tokens float64) {
	if !s.known {
		s.known, s.parts[urgency], s.tokens, s.squares = true, 1, tokens, tokens*tokens
		return
	}
	s.tokens += urgencyLearningRate * (tokens - s.tokens)
	s.squares += urgencyLearningRate * (tokens*tokens - s.squares)
	weight := min(1, urgencyLearningRate*tokens/max(1, s.tokens))
	for n := range s.parts {
		s.parts[n] *= 1 - weight
	}
	s.parts[urgency] += weight
}

// remaining returns how many tokens of the prompt in progress are left on the mean. Long prompts are in progress
// for longer, so that it is more than half of the mean prompt: urgent prompts wait for these above all.
func (s *urgencyShares) remaining() float64 { return s.squares / (2 * max(1, s.tokens)) }

// ahead returns the parts of the work that are more urgent, and at least as urgent.
func (s *urgencyShares) ahead(urgency int) (more, atLeast float64) {
	for _, part := range s.parts[:urgency] {
		more += part
	}
	return more, more + s.parts[urgency]
}

// queueTime returns how long a new prefill of that urgency waits at the engine: for the prefill in progress, for
// those that are queued and at least as urgent, and for more urgent ones that arrive meanwhile. Engines that also
// decode seldom have more than the one in progress, which takes long there: all of it counts.
func (p *Placer) queueTime(now time.Time, pool *pool, e *engine, urgency int) time.Duration {
	queued := p.backlog(now, pool, e)
	if queued <= 0 || !pool.urgencies.known || !e.prefillOnly() {
		return queued
	}
	more, atLeast := pool.urgencies.ahead(urgency)
	inProgress := min(float64(queued), pool.urgencies.remaining()*pool.uncachedShare()*float64(nominalTimePerToken)*e.slowdown)
	wait := inProgress + atLeast*(float64(queued)-inProgress)
	overtaking := min(maxOvertaking, 1/max(1/maxOvertaking, 1-more*e.prefillUtilization(now)))
	return time.Duration(wait * overtaking)
}
