package history

import (
	"slices"
	"time"
)

// service is what the callers of one service sent and its workers received, in order of time.
type service struct {
	requests []time.Time
	retries  []time.Time // arrivals beyond the first of their request
}

// checkRetryBudget: in any window, the attempts beyond the first ones keep to the ratio of the requests of that
// window, of the one before it or of the one half a window before it, whichever has most, plus the slack.
func (h *History) checkRetryBudget() []string {
	var worst []string
	most := 0.0
	for name, s := range h.services() {
		for i, from := range s.retries {
			retries := count(s.retries[i:], from, from.Add(h.bounds.RetryWindow))
			requests := 0
			for _, shift := range []time.Duration{0, h.bounds.RetryWindow / 2, h.bounds.RetryWindow} {
				requests = max(requests, count(s.requests, from.Add(-shift), from.Add(h.bounds.RetryWindow-shift)))
			}
			allowed := h.bounds.RetryRatio*float64(requests) + float64(h.bounds.RetrySlack)
			if over := float64(retries) - allowed; over > most {
				most = over
				worst = finding("%d attempts beyond the first at %s in %v from %v on, for %d requests, of %.0f",
					retries, name, h.bounds.RetryWindow, from.Sub(h.start).Round(time.Millisecond), requests, allowed)
			}
		}
	}
	return worst
}

// services returns what each service was sent. Of attempts that only prefill, the first that is not refused is
// none beyond the first.
func (h *History) services() map[string]*service {
	all := map[string]*service{"plain": {}, "model": {}}
	serviceOf := map[string]*service{}
	for _, a := range h.answers {
		name := "plain"
		if a.Kind.Streams() {
			name = "model"
		}
		serviceOf[a.ID] = all[name]
		all[name].requests = append(all[name].requests, a.SentAt)
	}
	arrived, prefilled := map[string]bool{}, map[string]bool{}
	for _, r := range slices.SortedStableFunc(slices.Values(h.requests), func(a, b request) int { return a.At.Compare(b.At) }) {
		s := serviceOf[r.ID]
		switch {
		case s == nil: // sent before the load
		case r.Continues: // the same run
		case r.PrefillOnly && !r.Refused && !prefilled[r.ID]:
			prefilled[r.ID] = true
		case arrived[r.ID]:
			s.retries = append(s.retries, r.At)
		default:
			arrived[r.ID] = true
		}
	}
	for _, s := range all {
		slices.SortFunc(s.requests, time.Time.Compare)
	}
	return all
}

// count returns how many of the sorted times are from the first time on and before the second.
func count(sorted []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(sorted, to, time.Time.Compare)
	return last - first
}
