package history

import (
	"slices"
	"time"

	"carawayspread/internal/standin/worker"
)

const (
	// crashesUnnoticed is how many workers a harmful request may crash before it must be stopped, and
	// harmfulRetries how often it may still be sent after that.
	crashesUnnoticed = 3
	harmfulRetries   = 3
	// partCrashesUnnoticed is how many workers a part of prompts may crash before it must be stopped.
	partCrashesUnnoticed = 5
	// contactTime is how long a process may take to learn what its peers know.
	contactTime = 3 * time.Second
)

// harmfulPart is the cause of the crashes of requests with that part.
const harmfulPart = "with " + worker.HarmfulPart

// checkHarmful: a request that has crashed workers is no longer sent, as long as a process that may
// know of the last crash runs on.
func (h *History) checkHarmful() []string {
	processOf := map[string]string{}
	for _, a := range h.answers {
		processOf[a.ID] = a.process
	}
	byCause := map[string][]request{}
	for _, r := range h.requests {
		switch {
		case r.Body == worker.HarmfulBody:
			byCause["to "+r.Target] = append(byCause["to "+r.Target], r)
		case r.HasPart(worker.HarmfulPart):
			byCause[harmfulPart] = append(byCause[harmfulPart], r)
		}
	}
	var found []string
	for cause, sent := range byCause {
		crashesUnnoticed := crashesUnnoticed
		if cause == harmfulPart {
			crashesUnnoticed = partCrashesUnnoticed
		}
		slices.SortFunc(sent, func(a, b request) int { return a.At.Compare(b.At) })
		var crashed []time.Time
		retries := 0
		for _, r := range sent {
			if len(crashed) >= crashesUnnoticed && r.At.Sub(crashed[crashesUnnoticed-1]) > contactTime &&
				!h.overlaps(Target(processOf[r.ID]), r.At.Add(-contactTime), r.At) && h.someRanSince(crashed[len(crashed)-1], r.At) {
				retries++
			}
			if r.Ran {
				crashed = append(crashed, r.At)
			}
		}
		if retries > harmfulRetries {
			found = append(found, finding("a harmful request %s was sent %d times more after %d crashes, %d in all", cause, retries, crashesUnnoticed, len(crashed))...)
		}
	}
	return found
}

// someRanSince reports whether a process was without fault in that time.
func (h *History) someRanSince(from, to time.Time) bool {
	processes := map[string]bool{}
	for _, a := range h.answers {
		processes[a.process] = true
	}
	for process := range processes {
		if !h.overlaps(Target(process), from, to) {
			return true
		}
	}
	return false
}
