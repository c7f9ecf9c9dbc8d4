// Package history records what callers and workers saw of a soak, and says which
// promises that breaks.
//
// It knows nothing of the programs' inside: callers say what they got, workers
// what they ran and when, and who injects faults says what was hurt, since some
// of what callers see is allowed while it is.
package history

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"carawayspread/internal/standin/caller"
	"carawayspread/internal/standin/worker"
)

// Target is what a fault hurts.
type Target string

// Store is hurt itself, or the way to it. What else is hurt goes by its name: a
// gateway that does not run, and a worker the way to which fails.
const Store Target = "store"

// Bounds are what is promised.
type Bounds struct {
	// Timeouts are what a route allows until the final answer, and Late how much
	// later callers may see it on a busy machine.
	Timeouts  map[caller.Kind]time.Duration
	Tolerance time.Duration
	Drain     time.Duration // in which nothing more is sent to a leaving worker
	// RetryRatio, Slack and Window bound what is sent beyond first attempts.
	RetryRatio      float64
	RetrySlack      int
	RetryWindow     time.Duration
	MemoryMegabytes int // of a process
}

// window is when something was hurt. An order to end hurts nobody who asked before
// the process had ended.
type interval struct {
	from, to time.Time
	shutdown bool
}

// limit is the rate that a worker named for a while, in requests a second.
type rateLimit struct {
	worker   string
	rate     float64
	from, to time.Time
}

type answer struct {
	caller.Answer
	process string
}

type request struct {
	worker.Seen
	worker string
}

// History is what was seen. It is safe for concurrent use.
type History struct {
	bounds Bounds

	mu            sync.Mutex
	start         time.Time
	answers       []answer
	requests      []request
	faults        map[Target][]interval
	drainingSince map[string]time.Time // of workers
	rateLimits    []rateLimit
	finalAnswers  []answer       // after all faults had ended
	peakMemory    map[string]int // the most of each process, in megabytes
}

// New returns an empty history that begins now.
func New(bounds Bounds, start time.Time) *History {
	return &History{bounds: bounds, start: start, faults: map[Target][]interval{}, drainingSince: map[string]time.Time{}, peakMemory: map[string]int{}}
}

// RecordAnswer adds what a caller got of a process.
func (h *History) RecordAnswer(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
}

// RecordFinalAnswer adds what a caller got after all faults had ended.
func (h *History) RecordFinalAnswer(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
	h.finalAnswers = append(h.finalAnswers, answer{a, process})
}

// RecordRequests adds what a worker saw.
func (h *History) RecordRequests(id string, seen []worker.Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range seen {
		if !strings.HasPrefix(s.Target, "/-/") {
			h.requests = append(h.requests, request{s, id})
		}
	}
}

// RecordFault adds that something was hurt for a while.
func (h *History) RecordFault(target Target, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[target] = append(h.faults[target], interval{from: from, to: to})
}

// RecordShutdown adds that a process has ended, as it was told to, and when the next one serves.
func (h *History) RecordShutdown(process string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[Target(process)] = append(h.faults[Target(process)], interval{from: from, to: to, shutdown: true})
}

// RecordDraining adds that a worker said that it leaves.
func (h *History) RecordDraining(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainingSince[id] = at
}

// RecordRateLimit adds that a worker named in its answers how many requests a second it takes.
func (h *History) RecordRateLimit(id string, rate float64, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rateLimits = append(h.rateLimits, rateLimit{id, rate, from, to})
}

// RecordMemory adds what a process occupies.
func (h *History) RecordMemory(process string, megabytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peakMemory[process] = max(h.peakMemory[process], megabytes)
}

// RequestCounts returns how many requests there were, and how many of them were served.
func (h *History) RequestCounts() (asked, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.answers {
		if a.Status == 200 && a.Err == nil {
			served++
		}
	}
	return len(h.answers), served
}

// Breaches returns a sentence for each promise that was broken, the first first.
func (h *History) Breaches() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	executions := map[string][]request{}
	for _, r := range h.requests {
		if r.Ran {
			executions[r.ID] = append(executions[r.ID], r)
		}
	}
	var found []string
	for _, a := range h.answers {
		found = append(found, h.checkAtMostOnce(a, executions[a.ID])...)
		found = append(found, checkOwnAnswer(a, executions[a.ID])...)
		found = append(found, checkRefusal(a, executions[a.ID])...)
		found = append(found, h.checkTimeout(a)...)
		found = append(found, h.checkAnswered(a)...)
	}
	found = append(found, h.checkDraining()...)
	found = append(found, h.checkDrainFeedback()...)
	found = append(found, h.checkRateLimits()...)
	found = append(found, h.checkRetryBudget()...)
	found = append(found, h.checkRecovery()...)
	return append(found, h.checkMemory()...)
}

// once: what must not run twice does not.
func (h *History) checkAtMostOnce(a answer, executions []request) []string {
	if a.Kind != caller.Unsafe || len(executions) < 2 {
		return nil
	}
	return finding("%s ran %d times, at %s and %s", a.ID, len(executions), executions[0].worker, executions[1].worker)
}

// own: a success is the whole answer to the caller's own request.
func checkOwnAnswer(a answer, executions []request) []string {
	if a.Status != 200 || a.Err != nil {
		return nil
	}
	if a.Kind == caller.Stream {
		if want := streamBody(a.ID); a.Body != want {
			return finding("%s got as whole %q", a.ID, a.Body)
		}
		return nil
	}
	if !slices.ContainsFunc(executions, func(r request) bool { return a.Body == r.worker+" answers "+a.ID }) {
		return finding("%s got as its own %q", a.ID, a.Body)
	}
	return nil
}

func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= worker.Events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d of %s\n\n", n, n, id)
	}
	return b.String()
}

// notRun: a refusal that no worker signed says that the request has not run.
func checkRefusal(a answer, executions []request) []string {
	isRefusal := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
	if !isRefusal || a.Seal != "" || len(executions) == 0 {
		return nil
	}
	return finding("%s was refused with %d as not run, and ran at %s", a.ID, a.Status, executions[0].worker)
}

// inTime: the final answer is there by the time limit, where the process ran all the while.
func (h *History) checkTimeout(a answer) []string {
	limit := h.bounds.Timeouts[a.Kind] + h.bounds.Tolerance
	if latency := a.Ended.Sub(a.Asked); latency > limit && !h.overlaps(Target(a.process), a.Asked, a.Ended) {
		return finding("%s had its final answer (%d) after %v, of %v", a.ID, a.Status, latency, limit)
	}
	return nil
}

// kept: no caller is left without an answer by a process that ran all the while.
func (h *History) checkAnswered(a answer) []string {
	excused := slices.ContainsFunc(h.faults[Target(a.process)], func(w interval) bool {
		return w.overlaps(a.Asked, a.Ended) && !(w.shutdown && a.Asked.Before(w.from))
	})
	if a.Status != 0 || !a.Connected() || excused {
		return nil
	}
	return finding("%s was left without an answer by %s: %v", a.ID, a.process, a.Err)
}

// leaving: nothing is sent to a worker that has said that it leaves, once all that
// could keep the process from knowing it has been well for long enough.
func (h *History) checkDraining() []string {
	drainBound := h.bounds.Drain + h.bounds.Tolerance
	processOf := map[string]string{}
	for _, a := range h.answers {
		processOf[a.ID] = a.process
	}
	for _, r := range h.requests {
		drainingSince, draining := h.drainingSince[r.worker]
		windowStart := r.At.Add(-drainBound)
		if !draining || windowStart.Before(drainingSince) {
			continue
		}
		if h.overlaps(Store, windowStart, r.At) || h.overlaps(Target(r.worker), windowStart, r.At) || h.overlaps(Target(processOf[r.ID]), windowStart, r.At) {
			continue
		}
		return finding("%s was sent to %s %v after it had said that it leaves", r.ID, r.worker, r.At.Sub(drainingSince))
	}
	return nil
}

// budget: what is sent beyond first attempts is bounded.
func (h *History) checkRetryBudget() []string {
	attempts := map[string]int{}
	end := h.start
	for _, r := range h.requests {
		if !r.Reads {
			attempts[r.ID]++
		}
		if r.At.After(end) {
			end = r.At
		}
	}
	retries := 0
	for _, n := range attempts {
		retries += n - 1
	}
	windows := 1 + int(end.Sub(h.start)/h.bounds.RetryWindow)
	if allowed := h.bounds.RetryRatio*float64(len(h.answers)) + float64(windows*h.bounds.RetrySlack); float64(retries) > allowed {
		return finding("%d attempts beyond the first, of %.0f", retries, allowed)
	}
	return nil
}

// served: after the last fault every process serves.
func (h *History) checkRecovery() []string {
	var found []string
	for _, a := range h.finalAnswers {
		if a.Status != 200 || a.Err != nil {
			found = append(found, fmt.Sprintf("%s was not served by %s after all faults had ended: %d, %v", a.ID, a.process, a.Status, a.Err))
		}
	}
	return found
}

// bounded: no process occupies more than it is given.
func (h *History) checkMemory() []string {
	var found []string
	for process, megabytes := range h.peakMemory {
		if megabytes > h.bounds.MemoryMegabytes {
			found = append(found, fmt.Sprintf("%s occupied %d MB of %d", process, megabytes, h.bounds.MemoryMegabytes))
		}
	}
	return found
}

func (h *History) overlaps(target Target, from, to time.Time) bool {
	return slices.ContainsFunc(h.faults[target], func(w interval) bool { return w.overlaps(from, to) })
}

func (w interval) overlaps(from, to time.Time) bool { return w.from.Before(to) && from.Before(w.to) }

func finding(format string, args ...any) []string { return []string{fmt.Sprintf(format, args...)} }
