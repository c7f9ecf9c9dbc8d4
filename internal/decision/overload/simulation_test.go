// Package overload_test tests the decision modules together by what callers receive, on small
// deterministic simulations of entries and engines.
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

// event is an action at a point in simulated time; events of the same time keep their order.
type event struct {
	at     time.Time
	seq    int
	action func()
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

// modules names the decision modules; the rest of a simulation is the same for each.
type modules struct{ scheduler, router, limiter, ejector string }

var (
	defaultModules = modules{"fairQueue", "hashRouter", "gradient", "outlier"}
	fifoModules    = modules{"fifo", "hashRouter", "gradient", "outlier"}
)

const (
	slotsPerEngine = 8
	maxWaiting     = 2 // jobs that wait in front of an engine
)

// simulation runs entries and engines on one simulated clock.
type simulation struct {
	now            time.Time
	seq            int
	pending        events
	random         *rand.Rand
	entries        []*entry
	engines        []*engine
	answers        map[*carawayspread.Job]int
	tallies        map[string]*tally // by workspace/class
	reportInterval time.Duration     // time between load reports, which arrive one interval late; zero: none arrive
	fullRefusals   int               // attempts that a full engine refused
	skew           bool
	cacheHits      int // prompts whose prefix was cached
}

func (sim *simulation) Now() time.Time                       { return sim.now }
func (sim *simulation) After(time.Duration) <-chan time.Time { panic("modules must not wait") }

func (sim *simulation) schedule(after time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.pending, event{at: sim.now.Add(after), seq: sim.seq, action: action})
}

func (sim *simulation) run(until time.Duration) {
	end := sim.now.Add(until)
	for len(sim.pending) > 0 && !sim.pending[0].at.After(end) {
		next := heap.Pop(&sim.pending).(event)
		sim.now = next.at
		next.action()
	}
	sim.now = end
}

// tally counts what callers receive.
type tally struct{ offered, inTarget, late, atOnce, later, failed, lost, doubled int }

func (t *tally) goodput() float64 { return float64(t.inTarget) / float64(max(1, t.offered)) }

func (sim *simulation) tally(workspace, class string) *tally {
	key := workspace + "/" + class
	if sim.tallies[key] == nil {
		sim.tallies[key] = &tally{}
	}
	return sim.tallies[key]
}

// sum adds the tallies whose key matches; nil matches all.
func (sim *simulation) sum(match func(key string) bool) (total tally) {
	for key, t := range sim.tallies {
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

// jain returns Jain's fairness index over the answers that the workspaces received in time.
func (sim *simulation) jain() float64 {
	var sum, squares, n float64
	for _, t := range sim.tallies {
		sum += float64(t.inTarget)
		squares += float64(t.inTarget * t.inTarget)
		n++
	}
	return sum * sum / (n * squares)
}

// worst names the tally with the least goodput.
func (sim *simulation) worst() string {
	name, least := "", 2.0
	for _, key := range slices.Sorted(maps.Keys(sim.tallies)) {
		if got := sim.tallies[key].goodput(); got < least {
			name, least = key, got
		}
	}
	return fmt.Sprintf("%s %.3f", name, least)
}

// engine runs up to slots jobs at once and queues others in order.
type engine struct {
	sim       *simulation
	id        carawayspread.EndpointID
	slots     int
	slowdown  float64 // factor on its service times
	withdrawn bool    // not listed any more; running jobs finish
	failing   bool    // fails every attempt after 5 ms
	running   int
	waiting   []func()
	cache     []uint64 // prefixes, least recently used first
	served    int
}

const (
	prefillRate       = 5000.0 // tokens a second
	decodeRate        = 50.0
	cachedPrefillRate = 10 * prefillRate
	cachedPrefixes    = 20
)

// send refuses a job when as many wait as a quarter of the slots, as a sidecar does.
func (e *engine) send(job *carawayspread.Job, done func(first time.Duration), fail func()) bool {
	if e.failing {
		e.sim.schedule(5*time.Millisecond, fail)
		return true
	}
	if len(e.waiting) >= maxWaiting {
		return false
	}
	start := func() {
		e.running++
		first, whole := e.durations(job)
		sent := e.sim.now
		e.sim.schedule(whole, func() {
			e.running--
			e.served++
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done(sent.Add(first).Sub(e.sim.now))
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
	return carawayspread.EndpointReport{Endpoint: e.id, MeasuredAt: e.sim.now, Running: e.running, Waiting: len(e.waiting), Slots: e.slots}
}

func (e *engine) durations(job *carawayspread.Job) (first, whole time.Duration) {
	rate := prefillRate
	if at := slices.Index(e.cache, job.Prefix); at >= 0 && job.Prefix != 0 {
		rate = cachedPrefillRate
		e.cache = slices.Delete(e.cache, at, at+1)
		e.sim.cacheHits++
	} else if len(e.cache) >= cachedPrefixes {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, job.Prefix)
	prefill := e.slowdown * float64(job.Cost.Prefill) / rate
	decode := e.slowdown * float64(job.Cost.Decode) / decodeRate
	return seconds(prefill), seconds(prefill + decode)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// entry is one process in front of the engines.
type entry struct {
	sim         *simulation
	scheduler   carawayspread.Scheduler
	router      carawayspread.Router
	limiters    map[carawayspread.EndpointID]carawayspread.Limiter
	ejector     carawayspread.Ejector
	retryBudget carawayspread.RetryBudget
	window      inflight.Window
	running     int
}

func (n *entry) offer(job *carawayspread.Job) {
	t := n.sim.tally(job.Workspace, job.Class.Name())
	t.offered++
	n.sim.answers[job] = 0
	if err := n.scheduler.Offer(job); err != nil {
		t.atOnce++
		n.sim.answers[job]++
	}
	n.dispatch()
}

func (n *entry) dispatch() {
	for _, refused := range n.scheduler.Expired() {
		n.sim.tally(refused.Job.Workspace, refused.Job.Class.Name()).later++
		n.sim.answers[refused.Job]++
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
			if full[id] || !n.hasCapacity(id) {
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

func (n *entry) hasCapacity(id carawayspread.EndpointID) bool {
	if !n.limiters[id].Acquire() {
		return false
	}
	n.limiters[id].Release(0, carawayspread.OutcomeRefused)
	return true
}

// send tries one endpoint. Answers and refusals carry its load.
func (n *entry) send(id carawayspread.EndpointID, job *carawayspread.Job) bool {
	sent, engine := n.sim.now, n.sim.engine(id)
	accepted := engine.send(job, func(first time.Duration) {
		took := n.sim.now.Sub(sent)
		n.finished(id, job, took+first, took)
	}, func() { n.failed(id, job) })
	if !accepted {
		n.window.Refused()
		n.scheduler.Capacity(n.window.Size())
		n.sim.fullRefusals++
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
	n.router.Reported(n.sim.engine(id).report())
	latency := took / time.Duration(1+job.Cost.Decode)
	n.limiters[id].Release(latency, carawayspread.OutcomeServed)
	n.ejector.Observe(id, latency, carawayspread.OutcomeServed)
	n.retryBudget.Succeeded()
	n.scheduler.Done(job, carawayspread.JobResult{Cost: job.Cost, FirstToken: first, Took: took})
	n.sim.answers[job]++
	t, target := n.sim.tally(job.Workspace, job.Class.Name()), job.Class.Target()
	got := n.sim.now.Sub(job.Arrived)
	if target.FirstToken() > 0 && got-took+first > target.FirstToken() || target.Whole() > 0 && got > target.Whole() {
		t.late++
	} else {
		t.inTarget++
	}
	n.dispatch()
}

// failed retries within the budget, or counts the failure as the answer to the caller.
func (n *entry) failed(id carawayspread.EndpointID, job *carawayspread.Job) {
	n.running--
	n.router.Ended(id, job, carawayspread.OutcomeFailed)
	n.limiters[id].Release(0, carawayspread.OutcomeFailed)
	n.ejector.Observe(id, 0, carawayspread.OutcomeFailed)
	n.scheduler.Done(job, carawayspread.JobResult{})
	if !n.retryBudget.Allow() || n.scheduler.Offer(job) != nil {
		n.sim.tally(job.Workspace, job.Class.Name()).failed++
		n.sim.answers[job]++
	}
	n.dispatch()
}

func newSimulation(m modules, entries, engines int) *simulation {
	sim := &simulation{
		now:            time.Unix(1_000_000, 0),
		random:         rand.New(rand.NewPCG(1, 2)),
		answers:        map[*carawayspread.Job]int{},
		tallies:        map[string]*tally{},
		reportInterval: 2 * time.Second,
	}
	for n := range engines {
		sim.engines = append(sim.engines, &engine{sim: sim, id: carawayspread.EndpointID("e" + strconv.Itoa(n)), slots: slotsPerEngine, slowdown: 1})
	}
	for n := range entries {
		sim.entries = append(sim.entries, sim.newEntry(m, uint64(n)))
	}
	sim.publishEngines()
	sim.schedule(0, sim.scheduleReports)
	return sim
}

func (sim *simulation) newEntry(m modules, seed uint64) *entry {
	env := carawayspread.Environment{Clock: sim, Rand: rand.New(rand.NewPCG(seed, 3))}
	scheduler, _ := carawayspread.Schedulers.Get(m.scheduler)
	router, _ := carawayspread.Routers.Get(m.router)
	limiter, _ := carawayspread.Limiters.Get(m.limiter)
	ejector, _ := carawayspread.Ejectors.Get(m.ejector)
	n := &entry{
		sim: sim, scheduler: scheduler(env), router: router(env), ejector: ejector(env), retryBudget: retrybudget.New(sim),
		limiters: map[carawayspread.EndpointID]carawayspread.Limiter{},
	}
	for _, e := range sim.engines {
		n.limiters[e.id] = limiter(env)
	}
	return n
}

func (sim *simulation) engine(id carawayspread.EndpointID) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// publishEngines gives every entry the engines that are left and its share of their slots.
func (sim *simulation) publishEngines() {
	var listed []carawayspread.Endpoint
	slots := 0
	for _, e := range sim.engines {
		if !e.withdrawn {
			listed = append(listed, carawayspread.NewEndpoint(e.id, "llm", "a", "", false))
			slots += e.slots
		}
	}
	var ids []carawayspread.EndpointID
	for _, l := range listed {
		ids = append(ids, l.ID())
	}
	for _, n := range sim.entries {
		n.router.SetEndpoints(listed)
		n.ejector.SetEndpoints(ids)
		n.window.SetCapacity(slots, len(sim.entries))
		n.scheduler.Capacity(n.window.Size())
		n.dispatch()
	}
}

func (sim *simulation) scheduleReports() {
	if sim.reportInterval == 0 {
		return
	}
	for _, e := range sim.engines {
		report := e.report()
		sim.schedule(sim.reportInterval, func() {
			for _, n := range sim.entries {
				n.router.Reported(report)
			}
		})
	}
	sim.schedule(sim.reportInterval, sim.scheduleReports)
}

// workload is what one workspace sends of one class.
type workload struct {
	workspace string
	class     carawayspread.Class
	rate      float64 // jobs a second, as a Poisson process
	cost      carawayspread.Cost
	prefixes  int // prefixes of the workspace, uniformly used; zero: every prompt has a new one
	from, to  time.Duration
}

func (sim *simulation) addWorkloads(workloads ...workload) {
	for _, s := range workloads {
		for at := s.from + sim.interarrival(s); at < s.to; at += sim.interarrival(s) {
			job := &carawayspread.Job{
				Workspace: s.workspace, Class: s.class, Arrived: sim.now.Add(at), Cost: s.cost,
				Fingerprint: sim.random.Uint64(), Prefix: sim.random.Uint64(),
			}
			if s.prefixes > 0 {
				job.Prefix = uint64(len(s.workspace))<<32 + uint64(sim.random.IntN(s.prefixes)) + 1
			}
			n := sim.entries[sim.random.IntN(len(sim.entries))]
			if sim.skew {
				n = sim.entries[0]
			}
			sim.schedule(at, func() { n.offer(job) })
		}
	}
}

func (sim *simulation) interarrival(s workload) time.Duration {
	return seconds(sim.random.ExpFloat64() / s.rate)
}

// runToCompletion runs until all jobs have ended and counts those without exactly one answer.
func (sim *simulation) runToCompletion(duration time.Duration) {
	sim.run(duration)
	sim.reportInterval = 0
	for range 20 {
		sim.run(time.Minute)
		for _, n := range sim.entries {
			n.dispatch()
		}
	}
	for job, count := range sim.answers {
		t := sim.tally(job.Workspace, job.Class.Name())
		if count == 0 {
			t.lost++
		}
		t.doubled += max(0, count-1)
	}
}
