package history

import (
	"cmp"
	"slices"
	"time"

	"carawayspread/internal/standin/caller"
)

const (
	// lossSlack is how long after its last byte a request may lose its connection if it was not passed on.
	lossSlack = 200 * time.Millisecond
	// acceptedAfterSignal and lastPart excuse a loss: the request was sent no later than that after SIGTERM, and its
	// worker was still at work in that part of the grace period.
	acceptedAfterSignal = 3 * time.Second
	lastPart            = 6
)

// RecordSignal records that a process was told to end.
func (h *History) RecordSignal(process string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signals[process] = append(h.signals[process], at)
}

// RecordKeptAnswer records what a caller got from a process over a connection that had been open before.
func (h *History) RecordKeptAnswer(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keptAnswers = append(h.keptAnswers, answer{a, process})
}

// DrainCounts returns how many requests were sent over kept connections to processes that were ending, and how many
// of them were served and refused.
func (h *History) DrainCounts() (sent, served, refused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.keptAnswers {
		if _, ending := h.signalBefore(a); !ending || !a.Connected() {
			continue
		}
		sent++
		switch {
		case a.Status == 200 && a.Err == nil:
			served++
		case a.Status == 503:
			refused++
		}
	}
	return sent, served, refused
}

// signalBefore returns the first order to end in whose drain the request was sent or its answer ended.
func (h *History) signalBefore(a answer) (at time.Time, ending bool) {
	for _, s := range h.signals[a.process] {
		if s.Before(a.EndedAt) && a.SentAt.Before(s.Add(h.bounds.Grace+time.Second)) {
			return s, true
		}
	}
	return time.Time{}, false
}

// checkLost: a process that ends leaves no request over a kept connection without its complete answer.
func (h *History) checkLost() []string {
	passedOn := map[string]bool{}
	for _, r := range h.requests {
		passedOn[r.ID] = true
	}
	var found []string
	for _, a := range h.keptAnswers {
		if a.Err == nil || !a.Connected() || h.killed(a) {
			continue
		}
		left := min(cmp.Or(a.Pace.Left, h.bounds.Timeouts[a.Kind]), h.bounds.Timeouts[a.Kind])
		lastByte := a.SentAt.Add(a.Pace.Body)
		signal, ending := h.signalBefore(a)
		switch {
		case !passedOn[a.ID] && a.EndedAt.Sub(lastByte) <= lossSlack, a.EndedAt.Sub(a.SentAt) >= left:
		case ending && a.SentAt.Sub(signal) <= acceptedAfterSignal && a.EndedAt.Sub(signal) >= h.bounds.Grace-h.bounds.Grace/lastPart:
		default:
			found = append(found, finding("%s was lost by %s: sent %v and ended %v after SIGTERM, passed on %t, pace %+v: status %d, %v",
				a.ID, a.process, a.SentAt.Sub(signal), a.EndedAt.Sub(signal), passedOn[a.ID], a.Pace, a.Status, a.Err)...)
		}
	}
	return found
}

// killed reports whether the process was killed or stood still meanwhile.
func (h *History) killed(a answer) bool {
	return slices.ContainsFunc(h.faults[Target(a.process)], func(w interval) bool { return !w.shutdown && w.overlaps(a.SentAt, a.EndedAt) })
}
