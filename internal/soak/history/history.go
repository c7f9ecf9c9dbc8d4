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

// Hurt is what a fault hurts.
type Hurt string

// Store is hurt itself, or the way to it. What else is hurt goes by its name: a
// gateway that does not run, and a worker the way to which fails.
const Store Hurt = "store"

// Terms are what is promised.
type Terms struct {
	// Timeouts are what a route allows until the final answer, and Late how much
	// later callers may see it on a busy machine.
	Timeouts map[caller.Kind]time.Duration
	Late     time.Duration
	Leaving  time.Duration // in which nothing more is sent to a leaving worker
	// Ratio, Slack and Window bound what is sent beyond first attempts.
	Ratio     float64
	Slack     int
	Window    time.Duration
	Megabytes int // of a process
}

// window is when something was hurt. An order to end hurts nobody who asked before
// the process had ended.
type window struct {
	from, to time.Time
	ordered  bool
}

// limit is the rate that a worker named for a while, in requests a second.
type limit struct {
	worker   string
	rate     float64
	from, to time.Time
}

type answer struct {
	caller.Answer
	process string
}

type run struct {
	worker.Request
	worker string
}

// History is what was seen. It is safe for concurrent use.
type History struct {
	terms Terms

	mu      sync.Mutex
	begun   time.Time
	answers []answer
	runs    []run
	hurt    map[Hurt][]window
	left    map[string]time.Time // of workers
	limited []limit
	last    []answer       // after all faults had ended
	memory  map[string]int // the most of each process, in megabytes
}

// New returns an empty history that begins now.
func New(terms Terms, begun time.Time) *History {
	return &History{terms: terms, begun: begun, hurt: map[Hurt][]window{}, left: map[string]time.Time{}, memory: map[string]int{}}
}

// Answered adds what a caller got of a process.
func (h *History) Answered(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
}

// Recovered adds what a caller got after all faults had ended.
func (h *History) Recovered(process string, a caller.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{a, process})
	h.last = append(h.last, answer{a, process})
}

// Ran adds what a worker saw.
func (h *History) Ran(id string, seen []worker.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range seen {
		if !strings.HasPrefix(s.Target, "/-/") {
			h.runs = append(h.runs, run{s, id})
		}
	}
}

// Hurt adds that something was hurt for a while.
func (h *History) Hurt(what Hurt, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hurt[what] = append(h.hurt[what], window{from: from, to: to})
}

// Ended adds that a process has ended, as it was told to, and when the next one serves.
func (h *History) Ended(process string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hurt[Hurt(process)] = append(h.hurt[Hurt(process)], window{from: from, to: to, ordered: true})
}

// Left adds that a worker said that it leaves.
func (h *History) Left(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[id] = at
}

// Limited adds that a worker named in its answers how many requests a second it takes.
func (h *History) Limited(id string, rate float64, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limited = append(h.limited, limit{id, rate, from, to})
}

// Occupied adds what a process occupies.
func (h *History) Occupied(process string, megabytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory[process] = max(h.memory[process], megabytes)
}

// Asked returns how many requests there were, and how many of them were served.
func (h *History) Asked() (asked, served int) {
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
	ran := map[string][]run{}
	for _, r := range h.runs {
		if r.Ran {
			ran[r.ID] = append(ran[r.ID], r)
		}
	}
	var found []string
	for _, a := range h.answers {
		found = append(found, h.once(a, ran[a.ID])...)
		found = append(found, own(a, ran[a.ID])...)
		found = append(found, notRun(a, ran[a.ID])...)
		found = append(found, h.inTime(a)...)
		found = append(found, h.kept(a)...)
	}
	found = append(found, h.leaving()...)
	found = append(found, h.toldLeaving()...)
	found = append(found, h.rates()...)
	found = append(found, h.budget()...)
	found = append(found, h.served()...)
	return append(found, h.bounded()...)
}

// once: what must not run twice does not.
func (h *History) once(a answer, runs []run) []string {
	if a.Kind != caller.Unsafe || len(runs) < 2 {
		return nil
	}
	return say("%s ran %d times, at %s and %s", a.ID, len(runs), runs[0].worker, runs[1].worker)
}

// own: a success is the whole answer to the caller's own request.
func own(a answer, runs []run) []string {
	if a.Status != 200 || a.Err != nil {
		return nil
	}
	if a.Kind == caller.Stream {
		if want := events(a.ID); a.Body != want {
			return say("%s got as whole %q", a.ID, a.Body)
		}
		return nil
	}
	if !slices.ContainsFunc(runs, func(r run) bool { return a.Body == r.worker+" answers "+a.ID }) {
		return say("%s got as its own %q", a.ID, a.Body)
	}
	return nil
}

func events(id string) string {
	var b strings.Builder
	for n := 1; n <= worker.Events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d of %s\n\n", n, n, id)
	}
	return b.String()
}

// notRun: a refusal that no worker signed says that the request has not run.
func notRun(a answer, runs []run) []string {
	refuses := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
	if !refuses || a.Seal != "" || len(runs) == 0 {
		return nil
	}
	return say("%s was refused with %d as not run, and ran at %s", a.ID, a.Status, runs[0].worker)
}

// inTime: the final answer is there by the time limit, where the process ran all the while.
func (h *History) inTime(a answer) []string {
	limit := h.terms.Timeouts[a.Kind] + h.terms.Late
	if took := a.EndedAt.Sub(a.SentAt); took > limit && !h.overlaps(Hurt(a.process), a.SentAt, a.EndedAt) {
		return say("%s had its final answer (%d) after %v, of %v", a.ID, a.Status, took, limit)
	}
	return nil
}

// kept: no caller is left without an answer by a process that ran all the while.
func (h *History) kept(a answer) []string {
	excused := slices.ContainsFunc(h.hurt[Hurt(a.process)], func(w window) bool {
		return w.overlaps(a.SentAt, a.EndedAt) && !(w.ordered && a.SentAt.Before(w.from))
	})
	if a.Status != 0 || !a.Connected() || excused {
		return nil
	}
	return say("%s was left without an answer by %s: %v", a.ID, a.process, a.Err)
}

// leaving: nothing is sent to a worker that has said that it leaves, once all that
// could keep the process from knowing it has been well for long enough.
func (h *History) leaving() []string {
	known := h.terms.Leaving + h.terms.Late
	process := map[string]string{}
	for _, a := range h.answers {
		process[a.ID] = a.process
	}
	for _, r := range h.runs {
		left, leaves := h.left[r.worker]
		since := r.At.Add(-known)
		if !leaves || since.Before(left) {
			continue
		}
		if h.overlaps(Store, since, r.At) || h.overlaps(Hurt(r.worker), since, r.At) || h.overlaps(Hurt(process[r.ID]), since, r.At) {
			continue
		}
		return say("%s was sent to %s %v after it had said that it leaves", r.ID, r.worker, r.At.Sub(left))
	}
	return nil
}

// budget: what is sent beyond first attempts is bounded.
func (h *History) budget() []string {
	attempts := map[string]int{}
	end := h.begun
	for _, r := range h.runs {
		if !r.PrefillOnly {
			attempts[r.ID]++
		}
		if r.At.After(end) {
			end = r.At
		}
	}
	more := 0
	for _, n := range attempts {
		more += n - 1
	}
	windows := 1 + int(end.Sub(h.begun)/h.terms.Window)
	if allowed := h.terms.Ratio*float64(len(h.answers)) + float64(windows*h.terms.Slack); float64(more) > allowed {
		return say("%d attempts beyond the first, of %.0f", more, allowed)
	}
	return nil
}

// served: after the last fault every process serves.
func (h *History) served() []string {
	var found []string
	for _, a := range h.last {
		if a.Status != 200 || a.Err != nil {
			found = append(found, fmt.Sprintf("%s was not served by %s after all faults had ended: %d, %v", a.ID, a.process, a.Status, a.Err))
		}
	}
	return found
}

// bounded: no process occupies more than it is given.
func (h *History) bounded() []string {
	var found []string
	for process, megabytes := range h.memory {
		if megabytes > h.terms.Megabytes {
			found = append(found, fmt.Sprintf("%s occupied %d MB of %d", process, megabytes, h.terms.Megabytes))
		}
	}
	return found
}

func (h *History) overlaps(what Hurt, from, to time.Time) bool {
	return slices.ContainsFunc(h.hurt[what], func(w window) bool { return w.overlaps(from, to) })
}

func (w window) overlaps(from, to time.Time) bool { return w.from.Before(to) && from.Before(w.to) }

func say(format string, args ...any) []string { return []string{fmt.Sprintf(format, args...)} }
