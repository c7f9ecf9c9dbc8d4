package history

import (
	"strings"
	"time"
)

const (
	// grace is how long requests that were under way may go on to arrive after a worker
	// first named a rate, and known how long a process may take to learn of it that has
	// passed it on.
	grace = 3 * time.Second
	known = 500 * time.Millisecond
	// A worker may get more than its rate in any span by this factor and this many.
	span   = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// way is from a process to a worker.
type way struct{ process, worker string }

// told returns when each process first passed on an answer that says something.
func (h *History) told(says func(answer) bool) map[way]time.Time {
	told := map[way]time.Time{}
	for _, a := range h.answers {
		worker, _, signed := strings.Cut(a.Seal, ".")
		if !signed || !says(a) {
			continue
		}
		w := way{a.process, worker}
		if at, ok := told[w]; !ok || a.EndedAt.Before(at) {
			told[w] = a.EndedAt
		}
	}
	return told
}

// byID returns the answers by what they answer.
func (h *History) byID() map[string]answer {
	asked := map[string]answer{}
	for _, a := range h.answers {
		asked[a.ID] = a
	}
	return asked
}

// toldLeaving: a process sends nothing to a worker once it has passed on an answer of it
// that says that it leaves, whatever the store says.
func (h *History) toldLeaving() []string {
	told, asked := h.told(func(a answer) bool { return a.ServerLeaving }), h.byID()
	for _, r := range h.runs {
		a, ok := asked[r.ID]
		at, knows := told[way{a.process, r.worker}]
		if !ok || !knows || !a.SentAt.After(at.Add(h.terms.Leaving)) || h.overlaps(Hurt(a.process), at, r.At) {
			continue
		}
		return say("%s was sent to %s by %s %v after an answer had told it that the worker leaves", r.ID, r.worker, a.process, r.At.Sub(at))
	}
	return nil
}

// rates: a worker gets no more than the rate that it names from the processes that have
// passed it on.
func (h *History) rates() []string {
	told, asked := h.told(func(a answer) bool { return a.HasServerLimit }), h.byID()
	for _, l := range h.limited {
		var arrived []time.Time
		for _, r := range h.runs {
			a := asked[r.ID]
			at, knows := told[way{a.process, l.worker}]
			if r.worker != l.worker || !knows || r.At.Before(at.Add(known)) || r.At.Before(l.from.Add(grace)) || r.At.After(l.to) ||
				h.overlaps(Hurt(a.process), l.from, r.At) {
				continue
			}
			arrived = append(arrived, r.At)
		}
		for _, first := range arrived {
			n := 0
			for _, at := range arrived {
				if !at.Before(first) && at.Before(first.Add(span)) {
					n++
				}
			}
			if allowed := factor*l.rate*span.Seconds() + slack; float64(n) > allowed {
				return say("%s, which takes %g a second, got %d requests in %v, of %.0f", l.worker, l.rate, n, span, allowed)
			}
		}
	}
	return nil
}
