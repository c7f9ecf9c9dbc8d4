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
	"carawayspread/internal/controller/leasewitnesses"
	"carawayspread/internal/controller/usagepublisher"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

var (
	errDown = errors.New("no answer")
	windows = carawayspread.NewUsageWindows(5*time.Second, 10*time.Second)
)

// call is a report that the platform received.
type call struct {
	at     time.Time
	holder string
	fence  uint64
	report carawayspread.UsageReport
}

// sink accepts reports like the platform.
type sink struct {
	mu           sync.Mutex
	calls        []call
	down         bool
	loseReplies  int // reports to accept and then fail
	highestFence uint64
}

func (s *sink) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// processSink is the sink as seen by one process.
type processSink struct {
	sink *sink
	p    *process
}

func (s processSink) Report(_ context.Context, fence uint64, r carawayspread.UsageReport) error {
	s.p.waitUntilResumed()
	time.Sleep(2 * time.Millisecond)
	s.sink.mu.Lock()
	defer s.sink.mu.Unlock()
	if s.sink.down {
		return errDown
	}
	if fence < s.sink.highestFence {
		return carawayspread.ErrFenced
	}
	s.sink.highestFence = fence
	s.sink.calls = append(s.sink.calls, call{time.Now(), s.p.name, fence, carawayspread.UsageReport{Window: r.Window, Counts: maps.Clone(r.Counts)}})
	if s.sink.loseReplies > 0 {
		s.sink.loseReplies--
		return errDown
	}
	return nil
}

// process is one process of the fleet. The first two running ones are collectors.
type process struct {
	fleet     *testFleet
	name      string
	id        uint64
	ledger    *usage.Ledger
	publisher *usagepublisher.Publisher
	reporter  *Reporter
	witnesses *leasewitnesses.Witnesses
	cancel    context.CancelFunc

	mu             sync.Mutex
	stopped        bool
	stoppedAt      time.Time
	withoutTraffic bool          // gets no more requests
	suspended      chan struct{} // closed when the process resumes; nil while it is not suspended
	started        time.Time
}

func (p *process) Uptime() time.Duration { return time.Since(p.started) + time.Hour }

// waitUntilResumed blocks while the process is suspended.
func (p *process) waitUntilResumed() {
	p.mu.Lock()
	suspended := p.suspended
	p.mu.Unlock()
	if suspended != nil {
		<-suspended
	}
}

func (p *process) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Now and After implement carawayspread.Clock; timers of a suspended process fire when it resumes.
func (p *process) Now() time.Time { return time.Now() }

func (p *process) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	go func() {
		time.Sleep(d)
		p.waitUntilResumed()
		fired <- time.Now()
	}()
	return fired
}

func (p *process) Collectors() (others []carawayspread.Peer, self bool) {
	n := 0
	for _, other := range p.fleet.running() {
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
	for _, other := range p.fleet.filter(func(q *process) bool { return !q.stopped || time.Since(q.stoppedAt) <= within }) {
		if other != p {
			ids = append(ids, other.id)
		}
	}
	return ids
}

// SendUsage delivers statements. One message in five is lost.
func (p *process) SendUsage(to carawayspread.Peer, statements []carawayspread.UsageStatement) {
	for _, other := range p.fleet.running() {
		if other.id != to.ID {
			continue
		}
		for _, s := range statements {
			if p.fleet.dropsMessage() {
				continue
			}
			if other.ledger.Merge(s) && s.Closed && !p.fleet.dropsMessage() {
				p.publisher.Acknowledged(other.id, s.Window)
			}
		}
	}
}

// Address and PeerAddresses return the names of processes. One that is killed is active for four seconds.
func (p *process) Address() string { return p.name }

func (p *process) PeerAddresses() (others []string) {
	for _, other := range p.fleet.filter(func(q *process) bool { return !q.stopped || time.Since(q.stoppedAt) < 4*time.Second }) {
		if other != p {
			others = append(others, other.name)
		}
	}
	return others
}

// SendWitness delivers a message. One in five is lost.
func (p *process) SendWitness(to string, m carawayspread.WitnessMessage) {
	for _, other := range p.fleet.running() {
		if other.name == to && !p.fleet.dropsMessage() {
			go other.witnesses.Receive(p.name, m)
		}
	}
}

type testFleet struct {
	table *memoryTable
	sink  *sink

	mu        sync.Mutex
	processes []*process
	messages  int
	expected  map[int64]map[string]uint64
	backoff   Backoff       // used by all processes
	witnessed bool          // processes are witnesses of the lease, and known as such before the fault
	end       time.Duration // synchronized time of the end of the test
}

func (f *testFleet) dropsMessage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages++
	return f.messages%5 == 0
}

func (f *testFleet) filter(keep func(*process) bool) []*process {
	f.mu.Lock()
	all := append([]*process(nil), f.processes...)
	f.mu.Unlock()
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

func (f *testFleet) running() []*process {
	return f.filter(func(p *process) bool { return !p.stopped && p.suspended == nil })
}

func now() (time.Duration, bool) { return time.Duration(time.Now().UnixNano()), true }

func (f *testFleet) start(ctx context.Context) *process {
	f.mu.Lock()
	id := uint64(len(f.processes) + 1)
	f.mu.Unlock()
	p := &process{fleet: f, name: fmt.Sprint("g", id), id: id, started: time.Now()}
	ctx, p.cancel = context.WithCancel(ctx)
	p.ledger = usage.New(id)
	p.publisher = usagepublisher.New(p.ledger, p, windows, now, p)
	p.witnesses = leasewitnesses.New(p, carawayspread.UptimeClock(p, p), ActingLimit)
	deps := Deps{
		Ledger: p.ledger, Fleet: p, Sink: processSink{f.sink, p}, Table: processTable{f.table, p}, Uptime: p, SyncedTime: now,
		Workspaces:   func() map[string]bool { return map[string]bool{"a": true, "b": true} },
		MaxIsolation: 5 * time.Second, Backoff: f.backoff, Clock: p, Log: decisionlog.New(io.Discard), Metrics: metrics.NewSet(),
	}
	if f.witnessed {
		deps.Witnesses = p.witnesses
	}
	p.reporter = New(p.name, windows, deps)
	p.ledger.AddNames(map[string]bool{"a": true, "b": true})
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() { _ = p.publisher.Run(ctx) }()
	go func() { _ = p.reporter.Run(ctx) }()
	go func() { _ = p.witnesses.Run(ctx) }()
	return p
}

// kill stops a process without letting it send anything.
func (p *process) kill() {
	p.set(func() { p.stopped, p.stoppedAt = true, time.Now() })
	p.cancel()
}

// holder returns the process that holds the lease, or nil.
func (f *testFleet) holder() *process {
	for _, p := range f.running() {
		if p.reporter.Holds() {
			return p
		}
	}
	return nil
}

// traffic starts requests at the running processes in turn.
func (f *testFleet) traffic(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		running := f.filter(func(p *process) bool { return !p.stopped && !p.withoutTraffic && p.suspended == nil })
		if len(running) > 0 {
			p := running[i%len(running)]
			at, _ := now()
			window, name := windows.Window(at), []string{"a", "b", "b"}[i%3]
			if p.ledger.Count(window, name) {
				f.mu.Lock()
				if f.expected[window] == nil {
					f.expected[window] = map[string]uint64{}
				}
				f.expected[window][name]++
				f.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runFleet runs five processes for about a minute, calls fault after twelve seconds, and check at the
// end.
func runFleet(t *testing.T, fault func(f *testFleet), check func(t *testing.T, f *testFleet), opts ...func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{
			table: &memoryTable{items: map[carawayspread.Key]carawayspread.Item{}}, sink: &sink{},
			expected: map[int64]map[string]uint64{},
			backoff:  backoff.New(carawayspread.SystemClock(), 200*time.Millisecond, time.Second),
		}
		for _, opt := range opts {
			opt(f)
		}
		for range 5 {
			f.start(ctx)
		}
		time.Sleep(3 * time.Second)
		go f.traffic(ctx)
		time.Sleep(9 * time.Second)
		if f.witnessed {
			time.Sleep(15 * time.Second)
		}
		fault(f)
		time.Sleep(50 * time.Second)
		f.end, _ = now()
		cancel()
		for _, p := range f.filter(func(p *process) bool { return p.suspended != nil }) {
			p.set(func() { close(p.suspended); p.suspended = nil })
		}
		time.Sleep(20 * time.Second)
		synctest.Wait() // all goroutines have ended or are blocked
		check(t, f)
	})
}
