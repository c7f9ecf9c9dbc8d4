package history

import (
	"strings"
	"time"
)

const (
	// inFlightGrace is how long requests in flight may still arrive after a worker first
	// reported a rate; learnDelay is how long a process may take to apply the rate of an
	// answer that it forwarded.
	inFlightGrace = 3 * time.Second
	learnDelay    = 500 * time.Millisecond
	// Within any rateWindow a worker may get at most rateFactor times its rate, and
	// rateSlack requests more.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// link is the connection from a process to a worker.
type link struct{ process, worker string }

// firstFeedback returns when each process first forwarded a worker's answer that matches.
func (h *History) firstFeedback(matches func(answer) bool) map[link]time.Time {
	first := map[link]time.Time{}
	for _, a := range h.answers {
		worker, _, signed := strings.Cut(a.Seal, ".")
		if !signed || !matches(a) {
			continue
		}
		path := link{a.process, worker}
		if at, ok := first[path]; !ok || a.EndedAt.Before(at) {
			first[path] = a.EndedAt
		}
	}
	return first
}

// answersByID returns the answers by request ID.
func (h *History) answersByID() map[string]answer {
	byID := map[string]answer{}
	for _, a := range h.answers {
		byID[a.ID] = a
	}
	return byID
}

// checkDrainFeedback: a process sends nothing to a worker after it has forwarded an answer
// with which the worker reports that it is draining, whatever the store lists.
func (h *History) checkDrainFeedback() []string {
	first, answers := h.firstFeedback(func(a answer) bool { return a.ServerLeaving }), h.answersByID()
	for _, r := range h.requests {
		a, ok := answers[r.ID]
		at, received := first[link{a.process, r.worker}]
		if !ok || !received || !a.SentAt.After(at.Add(h.bounds.Drain)) || h.overlaps(Target(a.process), at, r.At) {
			continue
		}
		return finding("%s was sent to %s by %s %v after an answer had told it that the worker leaves", r.ID, r.worker, a.process, r.At.Sub(at))
	}
	return nil
}

// checkRateLimits: a worker gets no more than the rate that it reports from the processes
// that have forwarded that report.
func (h *History) checkRateLimits() []string {
	feedback, answers := h.firstFeedback(func(a answer) bool { return a.HasServerLimit }), h.answersByID()
	for _, l := range h.rateLimits {
		var arrived []time.Time
		for _, r := range h.requests {
			a := answers[r.ID]
			at, received := feedback[link{a.process, l.worker}]
			if r.worker != l.worker || !received || r.At.Before(at.Add(learnDelay)) || r.At.Before(l.from.Add(inFlightGrace)) || r.At.After(l.to) ||
				h.overlaps(Target(a.process), l.from, r.At) {
				continue
			}
			arrived = append(arrived, r.At)
		}
		for _, first := range arrived {
			n := 0
			for _, at := range arrived {
				if !at.Before(first) && at.Before(first.Add(rateWindow)) {
					n++
				}
			}
			if allowed := rateFactor*l.rate*rateWindow.Seconds() + rateSlack; float64(n) > allowed {
				return finding("%s, which takes %g a second, got %d requests in %v, of %.0f", l.worker, l.rate, n, rateWindow, allowed)
			}
		}
	}
	return nil
}
