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

// memoryTable is an in-memory table that can be unavailable or lose the answer to a write.
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
	up           bool
	quarantine   *quarantine.Quarantine // quarantine state of the sidecar
	running      []uint64
	noQuarantine bool
}

// node is an entry that makes at most three attempts for each request.
type node struct {
	fleet      *fleet
	router     carawayspread.Router
	quarantine *quarantine.Quarantine
	claims     *trial.Claims
}

// fleet is a set of entries in front of workers, without quarantine when noQuarantine is set.
type fleet struct {
	clock        *clockwork.FakeClock
	table        *memoryTable
	workers      map[carawayspread.EndpointID]*worker
	nodes        []*node
	noQuarantine bool
	sidecarLost  bool // a crash also loses the instance with its sidecar, and the instance is replaced
	crashes      int
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
			fleet: f, router: hashrouter.New(env), quarantine: quarantine.New(f.clock),
			claims: trial.New(f.table, f.clock, fmt.Sprint("entry", n)),
		})
	}
	f.publishEndpoints()
	return f
}

func (f *fleet) addWorker(n int) {
	f.workers[carawayspread.EndpointID(fmt.Sprint("e", n))] = &worker{up: true, noQuarantine: f.noQuarantine, quarantine: quarantine.New(f.clock)}
}

func (f *fleet) disableQuarantine() {
	f.noQuarantine = true
	for _, w := range f.workers {
		w.noQuarantine = true
	}
}

func (f *fleet) publishEndpoints() {
	var listed []carawayspread.Endpoint
	for id := range f.workers {
		listed = append(listed, carawayspread.NewEndpoint(id, "llm", "a", "", false))
	}
	for _, n := range f.nodes {
		n.router.SetEndpoints(listed)
	}
}

// startAttempt places one attempt, as an entry and the sidecar that it reaches do.
func (n *node) startAttempt(job *carawayspread.Job) (id carawayspread.EndpointID, claimed bool, refusal *carawayspread.Error) {
	for range 3 {
		choice := n.pick(job, nil)
		if choice.Endpoint == "" {
			return "", false, newRefusal(carawayspread.CodeNoEndpoint)
		}
		if n.fleet.noQuarantine {
			return choice.Endpoint, false, n.fleet.workers[choice.Endpoint].run(job, choice.Endpoint, false)
		}
		verdict, refusal := n.quarantine.Decide(quarantine.Attempt{Fingerprint: job.Fingerprint, OutsideAffinity: choice.OutsideAffinity})
		if refusal != nil {
			return "", false, refusal
		}
		if verdict == quarantine.VerdictTrial {
			id, refusal = n.runTrial(job)
			return id, true, refusal
		}
		if refusal = n.fleet.workers[choice.Endpoint].run(job, choice.Endpoint, false); refusal == nil {
			return choice.Endpoint, false, nil
		}
		n.quarantine.Suspected(job.Fingerprint, choice.Endpoint)
	}
	return "", false, newRefusal(carawayspread.CodeSuspect)
}

// runTrial runs a claimed trial on an endpoint that the request did not crash before.
func (n *node) runTrial(job *carawayspread.Job) (carawayspread.EndpointID, *carawayspread.Error) {
	crashed, refusal := n.claims.Claim(context.Background(), job.Fingerprint)
	if refusal != nil {
		return "", refusal
	}
	crashed = append(crashed, n.quarantine.CrashedEndpoints(job.Fingerprint)...)
	choice := n.pick(job, crashed)
	refusal = newRefusal(carawayspread.CodeSuspect)
	if choice.Endpoint != "" && (!choice.OutsideAffinity || len(crashed) == 0) {
		refusal = n.fleet.workers[choice.Endpoint].run(job, choice.Endpoint, true)
	}
	if refusal != nil {
		_ = n.claims.End(context.Background(), job.Fingerprint, carawayspread.OutcomeRefused)
	}
	return choice.Endpoint, refusal
}

func (n *node) pick(job *carawayspread.Job, excluded []carawayspread.EndpointID) carawayspread.Choice {
	return n.router.Pick(job, func(id carawayspread.EndpointID) carawayspread.Availability {
		if w := n.fleet.workers[id]; w == nil || !w.up || slices.Contains(excluded, id) {
			return carawayspread.AvailabilityExcluded
		}
		return carawayspread.AvailabilityFree
	})
}

func newRefusal(code carawayspread.Code) *carawayspread.Error {
	return carawayspread.NewError(code, "refused", carawayspread.NotRun(), carawayspread.RetryAfter(time.Second))
}

// run does what the sidecar does: it refuses a suspect without a claim, and a trial where the
// request crashed before or another copy of it is running.
func (w *worker) run(job *carawayspread.Job, id carawayspread.EndpointID, claimed bool) *carawayspread.Error {
	if w.noQuarantine {
		w.running = append(w.running, job.Fingerprint)
		return nil
	}
	verdict, refusal := w.quarantine.Decide(quarantine.Attempt{Fingerprint: job.Fingerprint, Claimed: claimed, Endpoint: id})
	switch {
	case refusal != nil:
		return refusal
	case verdict == quarantine.VerdictTrial, claimed && slices.Contains(w.running, job.Fingerprint):
		return newRefusal(carawayspread.CodeSuspect)
	case claimed:
		w.quarantine.Suspected(job.Fingerprint, "")
	}
	w.running = append(w.running, job.Fingerprint)
	return nil
}

func (w *worker) served(fingerprint uint64) {
	w.quarantine.Served(fingerprint)
	w.running = slices.DeleteFunc(w.running, func(f uint64) bool { return f == fingerprint })
}

// crash ends an endpoint with all requests that run on it.
func (n *node) crash(id carawayspread.EndpointID, fingerprint uint64, claimed bool) {
	w := n.fleet.workers[id]
	n.fleet.crashes++
	crash := quarantine.Crash{Endpoint: id, At: n.fleet.clock.Now()}
	var tried *uint64
	if claimed {
		tried = &fingerprint
		_ = n.claims.End(context.Background(), fingerprint, carawayspread.OutcomeCrashed)
	}
	n.quarantine.Crashed(crash, []uint64{fingerprint}, tried)
	if n.fleet.sidecarLost {
		_ = n.claims.Crashed(context.Background(), id, fingerprint) // the entry sees a cut connection
		delete(n.fleet.workers, id)
		n.fleet.addWorker(100 + n.fleet.crashes)
		n.fleet.publishEndpoints()
		return
	}
	w.quarantine.Crashed(crash, w.running, tried)
	_ = n.claims.Crashed(context.Background(), id, w.running...)
	w.up, w.running = false, nil
}

// Guards against one harmful request that crashes many endpoints: a caller repeats it through every
// entry, several copies at a time. Each endpoint that runs it crashes and starts again within half
// a minute. Without quarantine every copy costs an endpoint.
func TestHarmfulRequest(t *testing.T) {
	for name, arrange := range map[string]func(*fleet){
		"sidecars keep records":    func(*fleet) {},
		"instances are lost":       func(f *fleet) { f.sidecarLost = true },
		"table down":               func(f *fleet) { f.table.down = true },
		"table answers are lost":   func(f *fleet) { f.table.loseNext = true },
		"lost while table is down": func(f *fleet) { f.table.down, f.sidecarLost = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			unprotected := 0
			for seed := range uint64(30) {
				crashes, lastRefusal := sendHarmful(seed, arrange)
				qt.Check(t, crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
				qt.Check(t, lastRefusal.NotRun(), qt.IsTrue)
				qt.Check(t, lastRefusal.RetryAfter() > 0, qt.IsTrue)
				crashes, _ = sendHarmful(seed, func(f *fleet) { arrange(f); f.disableQuarantine() })
				unprotected += crashes
			}
			qt.Check(t, unprotected > 30*5, qt.IsTrue, qt.Commentf("%d crashes without quarantine", unprotected))
		})
	}
}

func sendHarmful(seed uint64, arrange func(*fleet)) (crashes int, lastRefusal *carawayspread.Error) {
	const entries, workers, rounds = 6, 12, 12
	f := newFleet(entries, workers)
	arrange(f)
	random := rand.New(rand.NewPCG(seed, 9))
	job := &carawayspread.Job{Prefix: random.Uint64(), Fingerprint: random.Uint64()}
	for range rounds {
		type startedAttempt struct {
			n       *node
			id      carawayspread.EndpointID
			claimed bool
		}
		var started []startedAttempt
		for range 1 + random.IntN(4) {
			n := f.nodes[random.IntN(entries)]
			id, claimed, refusal := n.startAttempt(job)
			if refusal != nil {
				lastRefusal = refusal
				continue
			}
			started = append(started, startedAttempt{n, id, claimed})
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
	return f.crashes, lastRefusal
}

// Guards against quarantining harmless requests that were running beside a harmful one when it
// crashed their endpoint. They become suspects and each runs as a trial, whose answer clears it on
// every entry. Only the harmful request is quarantined, until its quarantine ends.
func TestHarmlessRequestIsCleared(t *testing.T) {
	f := newFleet(3, 6)
	n := f.nodes[0]
	harmful := &carawayspread.Job{Prefix: 7, Fingerprint: 1}
	harmless := &carawayspread.Job{Prefix: 7, Fingerprint: 2}
	id, _, _ := n.startAttempt(harmful)
	w := f.workers[id]
	w.running = append(w.running, harmless.Fingerprint)
	n.crash(id, harmful.Fingerprint, false)
	w.up = true

	id, claimed, refusal := n.startAttempt(harmless)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	if claimed {
		qt.Assert(t, n.claims.End(context.Background(), harmless.Fingerprint, carawayspread.OutcomeServed), qt.IsNil)
	}
	f.workers[id].served(harmless.Fingerprint)
	_, _, refusal = f.nodes[1].startAttempt(harmless)
	qt.Check(t, refusal == nil, qt.IsTrue)

	id, claimed, refusal = n.startAttempt(harmful)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, claimed, qt.IsTrue)
	_, _, refusal = f.nodes[2].startAttempt(harmful)
	qt.Check(t, refusal == nil || refusal.Code() == carawayspread.CodeSuspect, qt.IsTrue)
	n.crash(id, harmful.Fingerprint, true)
	_, _, refusal = n.startAttempt(harmful)
	qt.Assert(t, refusal != nil, qt.IsTrue)
	qt.Check(t, refusal.Code(), qt.Equals, carawayspread.CodeQuarantined)
	f.clock.Advance(11 * time.Minute)
	_, claimed, refusal = n.startAttempt(harmful)
	qt.Check(t, refusal == nil, qt.IsTrue)
	qt.Check(t, claimed, qt.IsFalse)
}
