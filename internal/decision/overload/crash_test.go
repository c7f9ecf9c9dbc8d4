package overload_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/controller/trial"
	"carawayspread/internal/decision/hashrouter"
	"carawayspread/internal/decision/quarantine"
)

// memoryTable is a table in memory that can be down or lose an answer.
type memoryTable struct {
	items    map[carawayspread.Key]carawayspread.Item
	down     bool
	loseNext bool
}

func (m *memoryTable) Get(_ context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	item, ok := m.items[key]
	if m.down {
		return item, carawayspread.ErrUnavailable
	}
	if !ok {
		return item, carawayspread.ErrNoItem
	}
	return item, nil
}

func (m *memoryTable) Query(context.Context, string, string, int) ([]carawayspread.Item, error) {
	return nil, carawayspread.ErrUnavailable
}

func (m *memoryTable) Apply(_ context.Context, writes ...carawayspread.Write) error {
	w := writes[0]
	switch {
	case m.down:
		return carawayspread.ErrUnavailable
	case m.items[w.Item.Key].Rev != w.IfRev:
		return &carawayspread.ConditionError{Failed: []int{0}}
	case w.Delete:
		delete(m.items, w.Item.Key)
	default:
		w.Item.Rev = w.IfRev + 1
		m.items[w.Item.Key] = w.Item
	}
	if m.loseNext {
		m.loseNext = false
		return context.DeadlineExceeded
	}
	return nil
}

// worker is an endpoint with its sidecar.
type worker struct {
	up      bool
	memory  *quarantine.Quarantine // of the sidecar
	running []uint64
	off     bool
}

// node is an entry that sends at most three attempts for each request.
type node struct {
	f      *fleet
	router carawayspread.Router
	memory *quarantine.Quarantine
	claims *trial.Claims
}

// fleet is entries before workers, without quarantine when off is set.
type fleet struct {
	clock       *clockwork.FakeClock
	table       *memoryTable
	workers     map[carawayspread.EndpointID]*worker
	nodes       []*node
	off         bool
	sidecarDies bool // an instance is lost with its sidecar, and replaced
	victims     int
}

func newFleet(entries, workers int) *fleet {
	f := &fleet{
		clock:   clockwork.NewFakeClock(),
		table:   &memoryTable{items: map[carawayspread.Key]carawayspread.Item{}},
		workers: map[carawayspread.EndpointID]*worker{},
	}
	for n := range workers {
		f.addWorker(n)
	}
	for n := range entries {
		env := carawayspread.Environment{Clock: f.clock, Rand: rand.New(rand.NewPCG(uint64(n), 1))}
		f.nodes = append(f.nodes, &node{
			f: f, router: hashrouter.New(env), memory: quarantine.New(f.clock),
			claims: trial.New(f.table, f.clock, fmt.Sprint("entry", n)),
		})
	}
	f.list()
	return f
}

func (f *fleet) addWorker(n int) {
	f.workers[carawayspread.EndpointID(fmt.Sprint("e", n))] = &worker{up: true, off: f.off, memory: quarantine.New(f.clock)}
}

func (f *fleet) turnOff() {
	f.off = true
	for _, w := range f.workers {
		w.off = true
	}
}

func (f *fleet) list() {
	var listed []carawayspread.Endpoint
	for id := range f.workers {
		listed = append(listed, carawayspread.NewEndpoint(id, "llm", "a", "", false))
	}
	for _, n := range f.nodes {
		n.router.SetEndpoints(listed)
	}
}

// start places one attempt, as an entry and the sidecar that it reaches do.
func (n *node) start(job *carawayspread.Job) (id carawayspread.EndpointID, claimed bool, refusal *carawayspread.Error) {
	for range 3 {
		choice := n.pick(job, nil)
		if choice.Endpoint == "" {
			return "", false, refuse(carawayspread.CodeNoEndpoint)
		}
		if n.f.off {
			return choice.Endpoint, false, n.f.workers[choice.Endpoint].run(job, choice.Endpoint, false)
		}
		verdict, refusal := n.memory.Decide(quarantine.Attempt{Fingerprint: job.Fingerprint, Displaced: choice.OutsideAffinity})
		if refusal != nil {
			return "", false, refusal
		}
		if verdict == quarantine.VerdictTrial {
			id, refusal = n.try(job)
			return id, true, refusal
		}
		if refusal = n.f.workers[choice.Endpoint].run(job, choice.Endpoint, false); refusal == nil {
			return choice.Endpoint, false, nil
		}
		n.memory.Suspected(job.Fingerprint, choice.Endpoint)
	}
	return "", false, refuse(carawayspread.CodeSuspect)
}

// try runs a claimed trial on a candidate that did not crash.
func (n *node) try(job *carawayspread.Job) (carawayspread.EndpointID, *carawayspread.Error) {
	victims, refusal := n.claims.Claim(context.Background(), job.Fingerprint)
	if refusal != nil {
		return "", refusal
	}
	victims = append(victims, n.memory.Crashes(job.Fingerprint)...)
	choice := n.pick(job, victims)
	refusal = refuse(carawayspread.CodeSuspect)
	if choice.Endpoint != "" && (!choice.OutsideAffinity || len(victims) == 0) {
		refusal = n.f.workers[choice.Endpoint].run(job, choice.Endpoint, true)
	}
	if refusal != nil {
		_ = n.claims.End(context.Background(), job.Fingerprint, carawayspread.OutcomeRefused)
	}
	return choice.Endpoint, refusal
}

func (n *node) pick(job *carawayspread.Job, without []carawayspread.EndpointID) carawayspread.Choice {
	return n.router.Pick(job, func(id carawayspread.EndpointID) carawayspread.Availability {
		if w := n.f.workers[id]; w == nil || !w.up || slices.Contains(without, id) {
			return carawayspread.AvailabilityExcluded
		}
		return carawayspread.AvailabilityFree
	})
}

func refuse(code carawayspread.Code) *carawayspread.Error {
	return carawayspread.NewError(code, "refused", carawayspread.NotRun(), carawayspread.RetryAfter(time.Second))
}

// run is the sidecar: it refuses a suspect without a claim, and a trial where
// the request crashed before or a copy of it runs.
func (w *worker) run(job *carawayspread.Job, id carawayspread.EndpointID, claimed bool) *carawayspread.Error {
	if w.off {
		w.running = append(w.running, job.Fingerprint)
		return nil
	}
	verdict, refusal := w.memory.Decide(quarantine.Attempt{Fingerprint: job.Fingerprint, Claimed: claimed, Endpoint: id})
	switch {
	case refusal != nil:
		return refusal
	case verdict == quarantine.VerdictTrial, claimed && slices.Contains(w.running, job.Fingerprint):
		return refuse(carawayspread.CodeSuspect)
	case claimed:
		w.memory.Suspected(job.Fingerprint, "")
	}
	w.running = append(w.running, job.Fingerprint)
	return nil
}

func (w *worker) served(fingerprint uint64) {
	w.memory.Served(fingerprint)
	w.running = slices.DeleteFunc(w.running, func(f uint64) bool { return f == fingerprint })
}

// crash ends an endpoint with all that runs there.
func (n *node) crash(id carawayspread.EndpointID, fingerprint uint64, claimed bool) {
	w := n.f.workers[id]
	n.f.victims++
	crash := quarantine.Crash{Endpoint: id, At: n.f.clock.Now()}
	var tried *uint64
	if claimed {
		tried = &fingerprint
		_ = n.claims.End(context.Background(), fingerprint, carawayspread.OutcomeCrashed)
	}
	n.memory.Crashed(crash, []uint64{fingerprint}, tried)
	if n.f.sidecarDies {
		_ = n.claims.Crashed(context.Background(), id, fingerprint) // the entry sees a cut connection
		delete(n.f.workers, id)
		n.f.addWorker(100 + n.f.victims)
		n.f.list()
		return
	}
	w.memory.Crashed(crash, w.running, tried)
	_ = n.claims.Crashed(context.Background(), id, w.running...)
	w.up, w.running = false, nil
}

// A caller sends one harmful request again and again, through every entry, at
// first several copies at once. Each endpoint that runs it crashes and starts
// again within half a minute. Without quarantine every copy costs an endpoint.
func TestHarmfulRequest(t *testing.T) {
	for name, arrange := range map[string]func(*fleet){
		"sidecars remember":        func(*fleet) {},
		"instances are lost":       func(f *fleet) { f.sidecarDies = true },
		"table down":               func(f *fleet) { f.table.down = true },
		"answers of table lost":    func(f *fleet) { f.table.loseNext = true },
		"lost while table is down": func(f *fleet) { f.table.down, f.sidecarDies = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			without := 0
			for seed := range uint64(30) {
				victims, last := sendHarmful(seed, arrange)
				qt.Check(t, victims <= 2, qt.IsTrue, qt.Commentf("%d victims", victims))
				qt.Check(t, last.NotRun(), qt.IsTrue)
				qt.Check(t, last.RetryAfter() > 0, qt.IsTrue)
				victims, _ = sendHarmful(seed, func(f *fleet) { arrange(f); f.turnOff() })
				without += victims
			}
			qt.Check(t, without > 30*5, qt.IsTrue, qt.Commentf("%d victims without", without))
		})
	}
}

func sendHarmful(seed uint64, arrange func(*fleet)) (victims int, last *carawayspread.Error) {
	const entries, workers, rounds = 6, 12, 12
	f := newFleet(entries, workers)
	arrange(f)
	random := rand.New(rand.NewPCG(seed, 9))
	job := &carawayspread.Job{Prefix: random.Uint64(), Fingerprint: random.Uint64()}
	for range rounds {
		type copied struct {
			n       *node
			id      carawayspread.EndpointID
			claimed bool
		}
		var started []copied
		for range 1 + random.IntN(4) {
			n := f.nodes[random.IntN(entries)]
			id, claimed, refusal := n.start(job)
			if refusal != nil {
				last = refusal
				continue
			}
			started = append(started, copied{n, id, claimed})
		}
		for _, c := range started {
			if w := f.workers[c.id]; w != nil && w.up {
				c.n.crash(c.id, job.Fingerprint, c.claimed)
			}
		}
		f.clock.Advance(20 * time.Second)
		for _, w := range f.workers {
			w.up = w.up || random.IntN(2) == 0
		}
	}
	return f.victims, last
}

// Innocent requests run beside a harmful one when it crashes their endpoint.
// They are suspects, each runs as a trial, its answer clears it everywhere, and
// only the harmful one is convicted, until its term ends.
func TestInnocentIsCleared(t *testing.T) {
	f := newFleet(3, 6)
	n := f.nodes[0]
	harmful := &carawayspread.Job{Prefix: 7, Fingerprint: 1}
	innocent := &carawayspread.Job{Prefix: 7, Fingerprint: 2}
	id, _, _ := n.start(harmful)
	w := f.workers[id]
	w.running = append(w.running, innocent.Fingerprint)
	n.crash(id, harmful.Fingerprint, false)
	w.up = true

	id, claimed, refusal := n.start(innocent)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	if claimed {
		qt.Assert(t, n.claims.End(context.Background(), innocent.Fingerprint, carawayspread.OutcomeServed), qt.IsNil)
	}
	f.workers[id].served(innocent.Fingerprint)
	_, _, refusal = f.nodes[1].start(innocent)
	qt.Check(t, refusal == nil, qt.IsTrue)

	id, claimed, refusal = n.start(harmful)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, claimed, qt.IsTrue)
	_, _, refusal = f.nodes[2].start(harmful)
	qt.Check(t, refusal == nil || refusal.Code() == carawayspread.CodeSuspect, qt.IsTrue)
	n.crash(id, harmful.Fingerprint, true)
	_, _, refusal = n.start(harmful)
	qt.Assert(t, refusal != nil, qt.IsTrue)
	qt.Check(t, refusal.Code(), qt.Equals, carawayspread.CodeQuarantined)
	f.clock.Advance(11 * time.Minute)
	_, claimed, refusal = n.start(harmful)
	qt.Check(t, refusal == nil, qt.IsTrue)
	qt.Check(t, claimed, qt.IsFalse)
}
