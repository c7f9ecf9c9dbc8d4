// Package history records what callers and workers observed during a soak and checks it
// against the guarantees of the gateway.
//
// It sees the gateways from outside only: callers record the answers that they got, workers
// the requests that they received and ran, and the fault injector which target was faulty
// when, since callers may see some failures during a fault.
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

// Target is what a fault affects.
type Target string

// Store covers faults of the store and of the connections to it. Other targets go by their
// names: a gateway that doesn't run, or a worker to which the connections fail.
const Store Target = "store"

// Bounds are the guaranteed limits.
type Bounds struct {
	// Timeouts are the times until the final answer that a route allows, and Tolerance how
	// much later callers may see it on a busy machine.
	Timeouts  map[caller.Kind]time.Duration
	Tolerance time.Duration
	Drain     time.Duration // after which nothing more is sent to a draining worker
	// RetryRatio, RetrySlack and RetryWindow bound the attempts beyond the first ones.
	RetryRatio      float64
	RetrySlack      int
	RetryWindow     time.Duration
	MemoryMegabytes int           // per process
	Grace           time.Duration // from SIGTERM to the end of a process
}

// interval is the time in which a target was faulty. A shutdown (SIGTERM) excuses no lost
// answer to a request that was sent before the process had exited.
type interval struct {
	from, to time.Time
	shutdown bool
}

// rateLimit is the rate that a worker reported for a while, in requests per second.
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
	worker.Request
	worker string
}

// History holds the observations of one soak. It is safe for concurrent use.
type History struct {
	bounds Bounds
	events int // of a complete stream

	mu            sync.Mutex
	start         time.Time
	answers       []answer
	requests      []request
	faults        map[Target][]interval
	drainingSince map[string]time.Time // by worker
	rateLimits    []rateLimit
	streamers     map[string]streamer    // by worker
	keptAnswers   []answer               // to requests over kept connections
	signals       map[string][]time.Time // SIGTERM, by process
	finalAnswers  []answer               // to requests sent after all faults had ended
	peakMemory    map[string]int         // by process, in megabytes
	moveBreaches  []string               // as workers that hand over runs saw them
}

// New returns an empty history that begins at start.
func New(bounds Bounds, start time.Time) *History {
	return &History{bounds: bounds, events: worker.Events, start: start, faults: map[Target][]interval{}, signals: map[string][]time.Time{}, drainingSince: map[string]time.Time{}, streamers: map[string]streamer{}, peakMemory: map[string]int{}}
}

// RecordAnswer records what a caller got from a process.
func (h *History) RecordAnswer(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
}

// RecordFinalAnswer records what a caller got from a process after all faults had ended.
func (h *History) RecordFinalAnswer(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
	h.finalAnswers = append(h.finalAnswers, answer{a, process})
}

// RecordRequests records what a worker received, except for control requests under /-/.
func (h *History) RecordRequests(id string, requests []worker.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range requests {
		if !strings.HasPrefix(s.Target, "/-/") {
			h.requests = append(h.requests, request{s, id})
		}
	}
}

// RecordMoves records what a worker was asked for that no worker may be asked for: to mix the memories of requests,
// or to go on with a run that has not stopped.
func (h *History) RecordMoves(id string, violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range violations {
		h.moveBreaches = append(h.moveBreaches, id+": "+v)
	}
}

// MoveCount returns how many runs went on at another worker.
func (h *History) MoveCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.requests {
		if r.Continues && r.Ran {
			n++
		}
	}
	return n
}

// RecordFault records that a target was faulty for a while.
func (h *History) RecordFault(target Target, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[target] = append(h.faults[target], interval{from: from, to: to})
}

// RecordShutdown records that a process had exited on SIGTERM at from, and that the next one
// serves since to.
func (h *History) RecordShutdown(process string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[Target(process)] = append(h.faults[Target(process)], interval{from: from, to: to, shutdown: true})
}

// RecordDraining records that a worker was listed as draining.
func (h *History) RecordDraining(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainingSince[id] = at
}

// RecordStreamer records that a worker which streams was listed, and the version of its software.
func (h *History) RecordStreamer(id, version string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streamers[id] = streamer{version, at}
}

// RecordRateLimit records that a worker reported a rate in its answers, in requests per second.
func (h *History) RecordRateLimit(id string, rate float64, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rateLimits = append(h.rateLimits, rateLimit{id, rate, from, to})
}

// RecordMemory records the resident memory of a process.
func (h *History) RecordMemory(process string, megabytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peakMemory[process] = max(h.peakMemory[process], megabytes)
}

// RequestCounts returns how many requests were sent and how many of them were served.
func (h *History) RequestCounts() (sent, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.answers {
		if a.Status == 200 && a.Err == nil {
			served++
		}
	}
	return len(h.answers), served
}

// Breaches returns a sentence for each violation of a guarantee, those of answers first.
func (h *History) Breaches() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	executions := map[string][]request{}
	for _, r := range h.requests {
		if r.Ran && !r.Continues { // a run that moves runs once
			executions[r.ID] = append(executions[r.ID], r)
		}
	}
	var found []string
	for _, a := range h.answers {
		found = append(found, h.checkAtMostOnce(a, executions[a.ID])...)
		found = append(found, checkOwnAnswer(a, h.events, executions[a.ID])...)
		found = append(found, checkOrder(a)...)
		found = append(found, checkProof(a, executions[a.ID])...)
		found = append(found, h.checkUnframed(a, executions[a.ID])...)
		found = append(found, checkRefusal(a, executions[a.ID])...)
		found = append(found, h.checkTimeout(a)...)
		found = append(found, h.checkAnswered(a)...)
	}
	for _, a := range h.keptAnswers {
		found = append(found, h.checkAtMostOnce(a, executions[a.ID])...)
		found = append(found, checkOwnAnswer(a, h.events, executions[a.ID])...)
		found = append(found, checkOrder(a)...)
		found = append(found, checkRefusal(a, executions[a.ID])...)
	}
	found = append(found, h.checkLost()...)
	found = append(found, h.checkDraining()...)
	found = append(found, h.checkDrainFeedback()...)
	found = append(found, h.checkRateLimits()...)
	found = append(found, h.checkRetryBudget()...)
	found = append(found, h.checkHarmful()...)
	found = append(found, h.checkBuilds()...)
	found = append(found, h.checkResumptions()...)
	found = append(found, h.checkRecovery()...)
	found = append(found, h.moveBreaches...)
	return append(found, h.checkMemory()...)
}

// checkAtMostOnce: a request that must not run twice doesn't.
func (h *History) checkAtMostOnce(a answer, executions []request) []string {
	if a.Kind != caller.Unsafe && a.Kind != caller.Once || len(executions) < 2 {
		return nil
	}
	return finding("%s ran %d times, at %s and %s", a.ID, len(executions), executions[0].worker, executions[1].worker)
}

// checkOwnAnswer: a success is the complete answer to the caller's own request.
func checkOwnAnswer(a answer, events int, executions []request) []string {
	if a.Status != 200 || a.Err != nil {
		return nil
	}
	if a.Kind.Streams() {
		if want := streamBody(a.ID, a.After, events); withoutVersions(a.Body) != want {
			return finding("%s got as whole %q", a.ID, a.Body)
		}
		return nil
	}
	if !slices.ContainsFunc(executions, func(r request) bool { return ownBody(a, r) }) {
		return finding("%s got as its own %q", a.ID, a.Body)
	}
	return nil
}

// checkRefusal: a refusal without a worker's seal means that the request hasn't run.
func checkRefusal(a answer, executions []request) []string {
	isRefusal := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
	if !isRefusal || a.Seal != "" || len(executions) == 0 {
		return nil
	}
	return finding("%s was refused with %d as not run, and ran at %s", a.ID, a.Status, executions[0].worker)
}

// checkTimeout: the final answer arrives within the time limit if the process ran throughout.
func (h *History) checkTimeout(a answer) []string {
	limit := h.bounds.Timeouts[a.Kind] + h.bounds.Tolerance
	if latency := a.EndedAt.Sub(a.SentAt); latency > limit && !h.overlaps(Target(a.process), a.SentAt, a.EndedAt) {
		return finding("%s had its final answer (%d) after %v, of %v", a.ID, a.Status, latency, limit)
	}
	return nil
}

// checkAnswered: no caller is left without an answer by a process that ran throughout.
func (h *History) checkAnswered(a answer) []string {
	excused := slices.ContainsFunc(h.faults[Target(a.process)], func(w interval) bool {
		return w.overlaps(a.SentAt, a.EndedAt) && !(w.shutdown && a.SentAt.Before(w.from))
	})
	if a.Status != 0 || !a.Connected() || excused {
		return nil
	}
	return finding("%s was left without an answer by %s: %v", a.ID, a.process, a.Err)
}

// checkDraining: nothing is sent to a worker that was listed as draining, once the store,
// the worker and the process have been free of faults for long enough to learn of it.
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

// checkRecovery: every process serves after the last fault.
func (h *History) checkRecovery() []string {
	var found []string
	for _, a := range h.finalAnswers {
		if a.Status != 200 || a.Err != nil {
			found = append(found, fmt.Sprintf("%s was not served by %s after all faults had ended: %d, %v", a.ID, a.process, a.Status, a.Err))
		}
	}
	return found
}

// checkMemory: no process occupies more memory than it is granted.
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
