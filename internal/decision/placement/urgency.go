package placement

import "time"

const (
	// priorities is how many priorities are told apart.
	priorities = 10
	// urgencyLearningRate is the weight of one prefill in the shares of the priorities.
	urgencyLearningRate = 0.02
	// maxOvertakenShare bounds the part of an engine's time that more urgent prefills are expected to
	// take from one that waits: at an engine that has time for no others, no estimate holds.
	maxOvertakenShare = 0.7
)

// urgency is the work of a service's prefills by priority, as this process places it.
//
// Load: long prompts that may wait beside short urgent ones, two of three requests. Engines prefill the
// urgent ones first. Estimated as if each waited for all before it, the long ones are expected seconds
// too early; and the urgent ones, which come earlier than expected, make the queue seem to have gone.
// Peers do not say how urgent their prefills are, so the shares of this process's own stand for them.
type urgency struct {
	work  [priorities]float64
	total float64
}

func (u *urgency) observe(priority int, prefillTime time.Duration) {
	for p := range u.work {
		u.work[p] *= 1 - urgencyLearningRate
	}
	u.work[clampPriority(priority)] += float64(prefillTime)
	u.total = 0
	for _, work := range u.work {
		u.total += work
	}
}

// queueing is how a queue of prefills looks to a prompt: the parts of it that are as urgent, and of what
// is sent later that is more urgent.
type queueing struct{ ahead, overtakes float64 }

func (u *urgency) of(priority int) queueing {
	return queueing{u.atLeast(priority), u.above(priority)}
}

// atLeast returns the part of the work that is at least as urgent as the priority; 1 if nothing is known.
func (u *urgency) atLeast(priority int) float64 { return u.before(clampPriority(priority)+1, 1) }

// above returns the part of the work that is more urgent than the priority.
func (u *urgency) above(priority int) float64 { return u.before(clampPriority(priority), 0) }

func (u *urgency) before(priority int, unknown float64) float64 {
	if u.total <= 0 {
		return unknown
	}
	sum := 0.0
	for _, work := range u.work[:priority] {
		sum += work
	}
	return min(1, sum/u.total)
}

func clampPriority(priority int) int { return max(0, min(priorities-1, priority)) }
