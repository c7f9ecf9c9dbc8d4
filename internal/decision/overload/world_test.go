// Package overload_test judges the decision modules together by what callers
// receive, on small deterministic fakes of entries and engines.
package overload_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"carawayspread"
	_ "carawayspread/internal/decision/ejection"
	_ "carawayspread/internal/decision/fairqueue"
	_ "carawayspread/internal/decision/fifo"
	_ "carawayspread/internal/decision/gradient"
	_ "carawayspread/internal/decision/hashrouter"
	"carawayspread/internal/decision/inflight"
	_ "carawayspread/internal/decision/leastoutstanding"
	_ "carawayspread/internal/decision/neverejects"
	"carawayspread/internal/decision/retrybudget"
	_ "carawayspread/internal/decision/roundrobin"
	_ "carawayspread/internal/decision/unlimited"
)

// event is something that happens at a moment; equal moments keep their order.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// modules names what decides; the rest of a world is the same for each.
type modules struct{ scheduler, router, limiter, ejector string }

var (
	ours     = modules{"fairQueue", "hashRouter", "gradient", "outlier"}
	withFIFO = modules{"fifo", "hashRouter", "gradient", "outlier"}
)

const (
	slotsEach  = 8
	queueBound = 2 // jobs that wait before an engine
)

// world holds entries and engines on one clock.
type world struct {
	now      time.Time
	seq      int
	pending  events
	random   *rand.Rand
	entries  []*entry
	engines  []*engine
	answered map[*carawayspread.Job]int
	tallies  map[string]*tally // by workspace/class
	reports  time.Duration     // between reports, which arrive one interval late; zero: none come
	bounced  int               // attempts that an engine refused as full
	skew     bool
	hits     int // prompts found in a prefix cache
}

func (w *world) Now() time.Time                       { return w.now }
func (w *world) After(time.Duration) <-chan time.Time { panic("modules must not wait") }

func (w *world) at(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.pending, event{at: w.now.Add(after), seq: w.seq, do: do})
}

func (w *world) run(until time.Duration) {
	end := w.now.Add(until)
	for len(w.pending) > 0 && !w.pending[0].at.After(end) {
		next := heap.Pop(&w.pending).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// tally counts what callers receive.
type tally struct{ offered, inTarget, late, atOnce, later, failed, lost, doubled int }

func (t *tally) goodput() float64 { return float64(t.inTarget) / float64(max(1, t.offered)) }

func (w *world) tally(workspace, class string) *tally {
	key := workspace + "/" + class
	if w.tallies[key] == nil {
		w.tallies[key] = &tally{}
	}
	return w.tallies[key]
}

// sum adds the tallies that match; empty matches all.
func (w *world) sum(match func(key string) bool) (total tally) {
	for key, t := range w.tallies {
		if match == nil || match(key) {
			total.offered += t.offered
			total.inTarget += t.inTarget
			total.late += t.late
			total.atOnce += t.atOnce
			total.later += t.later
			total.failed += t.failed
			total.lost += t.lost
			total.doubled += t.doubled
		}
	}
	return total
}

// jain returns Jain's index over what the workspaces received in time.
func (w *world) jain() float64 {
	var sum, squares, n float64
	for _, t := range w.tallies {
		sum += float64(t.inTarget)
		squares += float64(t.inTarget * t.inTarget)
		n++
	}
	return sum * sum / (n * squares)
}

// worst names the tally with the least goodput.
func (w *world) worst() string {
	name, least := "", 2.0
	for _, key := range slices.Sorted(maps.Keys(w.tallies)) {
		if got := w.tallies[key].goodput(); got < least {
			name, least = key, got
		}
	}
	return fmt.Sprintf("%s %.3f", name, least)
}

// engine runs up to slots jobs at once and queues the others in order.
type engine struct {
	w       *world
	id      carawayspread.EndpointID
	slots   int
	slow    float64 // factor on its times
	gone    bool    // leaves the list; what runs ends
	fails   bool    // answers nothing, at once
	running int
	waiting []func()
	cache   []uint64 // prefixes, the one used last at the end
	served  int
}

const (
	prefillRate = 5000.0 // tokens a second
	decodeRate  = 50.0
	cachedRate  = 10 * prefillRate
	cacheSize   = 20
)

// send refuses a job that would wait behind more than a quarter of the slots,
// as a sidecar does.
func (e *engine) send(job *carawayspread.Job, done func(first time.Duration), fail func()) bool {
	if e.fails {
		e.w.at(5*time.Millisecond, fail)
		return true
	}
	if len(e.waiting) >= queueBound {
		return false
	}
	start := func() {
		e.running++
		first, whole := e.times(job)
		sent := e.w.now
		e.w.at(whole, func() {
			e.running--
			e.served++
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done(sent.Add(first).Sub(e.w.now))
		})
	}
	if e.running < e.slots {
		start()
		return true
	}
	e.waiting = append(e.waiting, start)
	return true
}

func (e *engine) report() carawayspread.EndpointReport {
	return carawayspread.EndpointReport{Endpoint: e.id, MeasuredAt: e.w.now, Running: e.running, Waiting: len(e.waiting), Slots: e.slots}
}

func (e *engine) times(job *carawayspread.Job) (first, whole time.Duration) {
	rate := prefillRate
	if at := slices.Index(e.cache, job.Prefix); at >= 0 && job.Prefix != 0 {
		rate = cachedRate
		e.cache = slices.Delete(e.cache, at, at+1)
		e.w.hits++
	} else if len(e.cache) >= cacheSize {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, job.Prefix)
	prefill := e.slow * float64(job.Cost.Prefill) / rate
	decode := e.slow * float64(job.Cost.Decode) / decodeRate
	return seconds(prefill), seconds(prefill + decode)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// entry is one process before the engines.
type entry struct {
	w         *world
	scheduler carawayspread.Scheduler
	router    carawayspread.Router
	limiters  map[carawayspread.EndpointID]carawayspread.Limiter
	ejector   carawayspread.Ejector
	budget    carawayspread.RetryBudget
	window    inflight.Window
	running   int
}

func (n *entry) offer(job *carawayspread.Job) {
	t := n.w.tally(job.Workspace, job.Class.Name())
	t.offered++
	n.w.answered[job] = 0
	if err := n.scheduler.Offer(job); err != nil {
		t.atOnce++
		n.w.answered[job]++
	}
	n.pump()
}

func (n *entry) pump() {
	for _, refused := range n.scheduler.Expired() {
		n.w.tally(refused.Job.Workspace, refused.Job.Class.Name()).later++
		n.w.answered[refused.Job]++
	}
	for job := n.scheduler.Next(); job != nil; job = n.scheduler.Next() {
		n.place(job)
	}
}

func (n *entry) place(job *carawayspread.Job) {
	full := map[carawayspread.EndpointID]bool{}
	for {
		choice := n.router.Pick(job, func(id carawayspread.EndpointID) carawayspread.Availability {
			if !n.ejector.Allowed(id) {
				return carawayspread.AvailabilityExcluded
			}
			if full[id] || !n.free(id) {
				return carawayspread.AvailabilityBusy
			}
			return carawayspread.AvailabilityFree
		})
		if choice.Endpoint == "" {
			n.scheduler.Requeue(job)
			return
		}
		if n.send(choice.Endpoint, job) {
			return
		}
		full[choice.Endpoint] = true
	}
}

func (n *entry) free(id carawayspread.EndpointID) bool {
	if !n.limiters[id].Acquire() {
		return false
	}
	n.limiters[id].Release(0, carawayspread.OutcomeRefused)
	return true
}

// send tries one endpoint. Answers and refusals carry its load.
func (n *entry) send(id carawayspread.EndpointID, job *carawayspread.Job) bool {
	sent, engine := n.w.now, n.w.engine(id)
	accepted := engine.send(job, func(first time.Duration) {
		took := n.w.now.Sub(sent)
		n.finished(id, job, took+first, took)
	}, func() { n.failed(id, job) })
	if !accepted {
		n.window.Refused()
		n.scheduler.Capacity(n.window.Size())
		n.w.bounced++
		n.router.Reported(engine.report())
		return false
	}
	n.running++
	n.limiters[id].Acquire()
	n.ejector.Sent(id)
	n.router.Sent(id, job)
	return true
}

func (n *entry) finished(id carawayspread.EndpointID, job *carawayspread.Job, first, took time.Duration) {
	n.window.Served(n.running)
	n.scheduler.Capacity(n.window.Size())
	n.running--
	n.router.Ended(id, job, carawayspread.OutcomeServed)
	n.router.Reported(n.w.engine(id).report())
	latency := took / time.Duration(1+job.Cost.Decode)
	n.limiters[id].Release(latency, carawayspread.OutcomeServed)
	n.ejector.Observe(id, latency, carawayspread.OutcomeServed)
	n.budget.Succeeded()
	n.scheduler.Done(job, carawayspread.JobResult{Cost: job.Cost, FirstToken: first, Took: took})
	n.w.answered[job]++
	t, target := n.w.tally(job.Workspace, job.Class.Name()), job.Class.Target()
	got := n.w.now.Sub(job.Arrived)
	if target.FirstToken() > 0 && got-took+first > target.FirstToken() || target.Whole() > 0 && got > target.Whole() {
		t.late++
	} else {
		t.inTarget++
	}
	n.pump()
}

// failed retries within the budget, or tells the caller.
func (n *entry) failed(id carawayspread.EndpointID, job *carawayspread.Job) {
	n.running--
	n.router.Ended(id, job, carawayspread.OutcomeFailed)
	n.limiters[id].Release(0, carawayspread.OutcomeFailed)
	n.ejector.Observe(id, 0, carawayspread.OutcomeFailed)
	n.scheduler.Done(job, carawayspread.JobResult{})
	if !n.budget.Allow() || n.scheduler.Offer(job) != nil {
		n.w.tally(job.Workspace, job.Class.Name()).failed++
		n.w.answered[job]++
	}
	n.pump()
}

func newWorld(m modules, entries, engines int) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(1, 2)),
		answered: map[*carawayspread.Job]int{},
		tallies:  map[string]*tally{},
		reports:  2 * time.Second,
	}
	for n := range engines {
		w.engines = append(w.engines, &engine{w: w, id: carawayspread.EndpointID("e" + strconv.Itoa(n)), slots: slotsEach, slow: 1})
	}
	for n := range entries {
		w.entries = append(w.entries, w.newEntry(m, uint64(n)))
	}
	w.list()
	w.at(0, w.report)
	return w
}

func (w *world) newEntry(m modules, seed uint64) *entry {
	env := carawayspread.Environment{Clock: w, Rand: rand.New(rand.NewPCG(seed, 3))}
	scheduler, _ := carawayspread.Schedulers.Get(m.scheduler)
	router, _ := carawayspread.Routers.Get(m.router)
	limiter, _ := carawayspread.Limiters.Get(m.limiter)
	ejector, _ := carawayspread.Ejectors.Get(m.ejector)
	n := &entry{
		w: w, scheduler: scheduler(env), router: router(env), ejector: ejector(env), budget: retrybudget.New(w),
		limiters: map[carawayspread.EndpointID]carawayspread.Limiter{},
	}
	for _, e := range w.engines {
		n.limiters[e.id] = limiter(env)
	}
	return n
}

func (w *world) engine(id carawayspread.EndpointID) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// list tells every entry the engines that are left and its part of the slots.
func (w *world) list() {
	var listed []carawayspread.Endpoint
	slots := 0
	for _, e := range w.engines {
		if !e.gone {
			listed = append(listed, carawayspread.NewEndpoint(e.id, "llm", "a", "", false))
			slots += e.slots
		}
	}
	var ids []carawayspread.EndpointID
	for _, l := range listed {
		ids = append(ids, l.ID())
	}
	for _, n := range w.entries {
		n.router.SetEndpoints(listed)
		n.ejector.SetEndpoints(ids)
		n.window.Fleet(slots, len(w.entries))
		n.scheduler.Capacity(n.window.Size())
		n.pump()
	}
}

func (w *world) report() {
	if w.reports == 0 {
		return
	}
	for _, e := range w.engines {
		report := e.report()
		w.at(w.reports, func() {
			for _, n := range w.entries {
				n.router.Reported(report)
			}
		})
	}
	w.at(w.reports, w.report)
}

// stream is what one workspace sends of one class.
type stream struct {
	workspace string
	class     carawayspread.Class
	rate      float64 // a second, at random moments
	cost      carawayspread.Cost
	prefixes  int // of the workspace, evenly used; zero: every prompt is new
	from, to  time.Duration
}

func (w *world) send(streams ...stream) {
	for _, s := range streams {
		for at := s.from + w.gap(s); at < s.to; at += w.gap(s) {
			job := &carawayspread.Job{
				Workspace: s.workspace, Class: s.class, Arrived: w.now.Add(at), Cost: s.cost,
				Fingerprint: w.random.Uint64(), Prefix: w.random.Uint64(),
			}
			if s.prefixes > 0 {
				job.Prefix = uint64(len(s.workspace))<<32 + uint64(w.random.IntN(s.prefixes)) + 1
			}
			n := w.entries[w.random.IntN(len(w.entries))]
			if w.skew {
				n = w.entries[0]
			}
			w.at(at, func() { n.offer(job) })
		}
	}
}

func (w *world) gap(s stream) time.Duration { return seconds(w.random.ExpFloat64() / s.rate) }

// settle lets everything end and counts the jobs without exactly one answer.
func (w *world) settle(sent time.Duration) {
	w.run(sent)
	w.reports = 0
	for range 20 {
		w.run(time.Minute)
		for _, n := range w.entries {
			n.pump()
		}
	}
	for job, answers := range w.answered {
		t := w.tally(job.Workspace, job.Class.Name())
		if answers == 0 {
			t.lost++
		}
		t.doubled += max(0, answers-1)
	}
}
