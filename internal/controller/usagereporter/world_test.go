package usagereporter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/controller/usagepublisher"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

var (
	errDown = errors.New("no answer")
	terms   = carawayspread.NewUsageWindows(5*time.Second, 10*time.Second)
)

// memory is a table that several processes share.
type memory struct {
	mu    sync.Mutex
	items map[carawayspread.Key]carawayspread.Item
	down  bool
	lose  int // writes whose answers are lost
	// generation is how often it came back from an older copy.
	generation uint64
}

// Generation implements carawayspread.Restorable.
func (m *memory) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// copied returns what has the table come back as it is now.
func (m *memory) copied() (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := maps.Clone(m.items)
	return func() {
		m.set(func() { m.items, m.generation = maps.Clone(items), m.generation+1 })
	}
}

func (m *memory) Get(_ context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return carawayspread.Item{}, errDown
	}
	item, ok := m.items[key]
	if !ok {
		return item, carawayspread.ErrNoItem
	}
	return item, nil
}

func (m *memory) Query(context.Context, string, string, int) ([]carawayspread.Item, error) {
	return nil, errDown
}

func (m *memory) Apply(_ context.Context, writes ...carawayspread.Write) error {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return errDown
	}
	for _, w := range writes {
		if m.items[w.Item.Key].Rev != w.IfRev {
			return &carawayspread.ConditionError{Failed: []int{0}}
		}
	}
	for _, w := range writes {
		if !w.CheckOnly {
			w.Item.Rev = w.IfRev + 1
			m.items[w.Item.Key] = w.Item
		}
	}
	if m.lose > 0 {
		m.lose--
		return errDown
	}
	return nil
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// call is a report that arrived.
type call struct {
	at     time.Time
	holder string
	fence  uint64
	report carawayspread.UsageReport
}

// sink takes reports as the platform does.
type sink struct {
	mu     sync.Mutex
	calls  []call
	down   bool
	lose   int // answers to reports that were taken
	fenced uint64
}

func (s *sink) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// side is the sink as one process reaches it.
type side struct {
	sink *sink
	p    *process
}

func (s side) Report(_ context.Context, fence uint64, r carawayspread.UsageReport) error {
	s.p.awake()
	time.Sleep(2 * time.Millisecond)
	s.sink.mu.Lock()
	defer s.sink.mu.Unlock()
	if s.sink.down {
		return errDown
	}
	if fence < s.sink.fenced {
		return carawayspread.ErrFenced
	}
	s.sink.fenced = fence
	s.sink.calls = append(s.sink.calls, call{time.Now(), s.p.name, fence, carawayspread.UsageReport{Window: r.Window, Counts: maps.Clone(r.Counts)}})
	if s.sink.lose > 0 {
		s.sink.lose--
		return errDown
	}
	return nil
}

// process is one of the fleet. The first ones collect.
type process struct {
	w         *world
	name      string
	id        uint64
	ledger    *usage.Ledger
	publisher *usagepublisher.Publisher
	reporter  *Reporter
	cancel    context.CancelFunc

	mu      sync.Mutex
	dead    bool
	died    time.Time
	idle    bool          // takes no more requests
	asleep  chan struct{} // closed as it wakes; nil while it is awake
	started time.Time
}

func (p *process) Uptime() time.Duration { return time.Since(p.started) + time.Hour }

// awake returns when the process is not suspended.
func (p *process) awake() {
	p.mu.Lock()
	asleep := p.asleep
	p.mu.Unlock()
	if asleep != nil {
		<-asleep
	}
}

func (p *process) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Now and After are a clock that stands still with its process.
func (p *process) Now() time.Time { return time.Now() }

func (p *process) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	go func() {
		time.Sleep(d)
		p.awake()
		fired <- time.Now()
	}()
	return fired
}

func (p *process) Collectors() (others []carawayspread.Peer, self bool) {
	n := 0
	for _, other := range p.w.alive() {
		collects := n < 2
		n++
		switch {
		case other == p:
			self = collects
		case collects || other.reporter.Holds():
			others = append(others, carawayspread.Peer{ID: other.id, Address: other.name})
		}
	}
	return others, self
}

func (p *process) Processes(within time.Duration) []uint64 {
	var ids []uint64
	for _, other := range p.w.filter(func(q *process) bool { return !q.dead || time.Since(q.died) <= within }) {
		if other != p {
			ids = append(ids, other.id)
		}
	}
	return ids
}

// SendUsage delivers statements, of which some are lost.
func (p *process) SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement) {
	for _, other := range p.w.alive() {
		if other.id != to.ID {
			continue
		}
		for _, s := range statements {
			if p.w.loses() {
				continue
			}
			if other.ledger.Merge(s) && s.Closed && !p.w.loses() {
				p.publisher.Acknowledged(other.id, s.Window)
			}
		}
	}
}

type world struct {
	table *memory
	sink  *sink

	mu        sync.Mutex
	processes []*process
	messages  int
	truth     map[int64]map[string]uint64
	backoff   Backoff       // of all processes
	until     time.Duration // true time of the end
}

func (w *world) loses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages++
	return w.messages%5 == 0
}

func (w *world) filter(keep func(*process) bool) []*process {
	w.mu.Lock()
	all := append([]*process(nil), w.processes...)
	w.mu.Unlock()
	var kept []*process
	for _, p := range all {
		p.mu.Lock()
		if keep(p) {
			kept = append(kept, p)
		}
		p.mu.Unlock()
	}
	return kept
}

func (w *world) alive() []*process {
	return w.filter(func(p *process) bool { return !p.dead && p.asleep == nil })
}

func now() (time.Duration, bool) { return time.Duration(time.Now().UnixNano()), true }

func (w *world) join(ctx context.Context) *process {
	w.mu.Lock()
	id := uint64(len(w.processes) + 1)
	w.mu.Unlock()
	p := &process{w: w, name: fmt.Sprint("g", id), id: id, started: time.Now()}
	ctx, p.cancel = context.WithCancel(ctx)
	p.ledger = usage.New(id)
	p.publisher = usagepublisher.New(p.ledger, p, terms, now, p)
	p.reporter = New(p.name, terms, Deps{
		Ledger: p.ledger, Fleet: p, Sink: side{w.sink, p}, Table: w.table, Uptime: p, SyncedTime: now,
		Workspaces:   func() map[string]bool { return map[string]bool{"a": true, "b": true} },
		MaxIsolation: 5 * time.Second, Backoff: w.backoff, Clock: p, Log: decisionlog.New(io.Discard), Metrics: metrics.NewSet(),
	})
	p.ledger.AddNames(map[string]bool{"a": true, "b": true})
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() { _ = p.publisher.Run(ctx) }()
	go func() { _ = p.reporter.Run(ctx) }()
	return p
}

// kill ends a process that can tell nobody any more.
func (p *process) kill() {
	p.set(func() { p.dead, p.died = true, time.Now() })
	p.cancel()
}

// holder returns who holds the lease.
func (w *world) holder() *process {
	for _, p := range w.alive() {
		if p.reporter.Holds() {
			return p
		}
	}
	return nil
}

// traffic has requests begin at processes by turns.
func (w *world) traffic(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		alive := w.filter(func(p *process) bool { return !p.dead && !p.idle && p.asleep == nil })
		if len(alive) > 0 {
			p := alive[i%len(alive)]
			at, _ := now()
			window, name := terms.Window(at), []string{"a", "b", "b"}[i%3]
			if p.ledger.Count(window, name) {
				w.mu.Lock()
				if w.truth[window] == nil {
					w.truth[window] = map[string]uint64{}
				}
				w.truth[window][name]++
				w.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// play runs five processes for a minute and strikes after twelve seconds.
func play(t *testing.T, strike func(w *world), check func(t *testing.T, w *world), opts ...func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			table: &memory{items: map[carawayspread.Key]carawayspread.Item{}}, sink: &sink{},
			truth:   map[int64]map[string]uint64{},
			backoff: backoff.New(carawayspread.SystemClock(), 200*time.Millisecond, time.Second),
		}
		for _, opt := range opts {
			opt(w)
		}
		for range 5 {
			w.join(ctx)
		}
		time.Sleep(3 * time.Second)
		go w.traffic(ctx)
		time.Sleep(9 * time.Second)
		strike(w)
		time.Sleep(50 * time.Second)
		w.until, _ = now()
		cancel()
		for _, p := range w.filter(func(p *process) bool { return p.asleep != nil }) {
			p.set(func() { close(p.asleep); p.asleep = nil })
		}
		time.Sleep(20 * time.Second)
		synctest.Wait() // nothing runs any more
		check(t, w)
	})
}
