package quarantinelog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/standin/table"
)

const longest = 2 * time.Minute

// memory is the quarantine of one process.
type memory struct {
	mu       sync.Mutex
	settled  map[uint64]time.Duration
	restored map[uint64]time.Duration
}

func (m *memory) TakeSettled() map[uint64]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.settled
	m.settled = nil
	return taken
}

func (*memory) TakeCleared() []uint64 { return nil }

func (m *memory) Restore(fingerprint uint64, left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored[fingerprint] = left
}

// faulty is a table whose next calls fail. A lost write takes effect.
type faulty struct {
	carawayspread.Table
	reads, writes, lost int
	beforeWrite         func()
}

var errFault = errors.New("fault")

func (f *faulty) Get(ctx context.Context, k carawayspread.Key) (carawayspread.Item, error) {
	if f.reads--; f.reads >= 0 {
		return carawayspread.Item{}, errFault
	}
	return f.Table.Get(ctx, k)
}

func (f *faulty) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if f.beforeWrite != nil {
		f.beforeWrite()
		f.beforeWrite = nil
	}
	if f.writes--; f.writes >= 0 {
		return errFault
	}
	err := f.Table.Apply(ctx, writes...)
	if f.lost--; f.lost >= 0 {
		return errFault
	}
	return err
}

// process is a process of a fleet with one table and one clock of its store.
type process struct {
	*Log
	memory *memory
	table  *faulty
}

type fleet struct {
	clock *clockwork.FakeClock
	table carawayspread.Table
	start time.Time
}

// Now is the clock of the store.
func (f *fleet) Now() (time.Duration, bool) { return f.clock.Now().Sub(f.start) + time.Hour, true }

func newFleet(t *testing.T) *fleet {
	t.Helper()
	clock := clockwork.NewFakeClock()
	server := httptest.NewServer(table.New(carawayspread.SystemClock()))
	t.Cleanup(server.Close)
	client := dynamodb.New(server.URL)
	t.Cleanup(client.Close)
	return &fleet{clock: clock, table: client, start: clock.Now()}
}

func (f *fleet) process() *process {
	m, table := &memory{restored: map[uint64]time.Duration{}}, &faulty{Table: f.table}
	return &process{New("requests", table, m, f, f.clock, decisionlog.New(io.Discard), longest), m, table}
}

// saveAll has the process save these requests, and try again until all are saved.
func (p *process) saveAll(t *testing.T, settled map[uint64]time.Duration) (failures int) {
	t.Helper()
	p.memory.settled = settled
	p.collect()
	for ; failures < 10; failures++ {
		if p.save(t.Context()) == nil {
			return failures
		}
	}
	t.Fatal("not saved")
	return failures
}

// All processes are lost at once, and those that start next send a request that has crashed two
// endpoints to two more.
func TestQuarantineOutlivesAllProcesses(t *testing.T) {
	for name, test := range map[string]struct {
		table    faulty // faults of the first process
		failures int
	}{
		"no fault":                  {faulty{}, 0},
		"the store fails":           {faulty{reads: 1, writes: 2}, 3},
		"an answer is lost":         {faulty{lost: 1}, 1},
		"another process is sooner": {faulty{beforeWrite: func() {}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, second := f.process(), f.process()
			first.table.reads, first.table.writes, first.table.lost = test.table.reads, test.table.writes, test.table.lost
			want := map[uint64]time.Duration{1: 80 * time.Second, 2: 20 * time.Second}
			if test.table.beforeWrite != nil {
				first.table.beforeWrite = func() { second.saveAll(t, map[uint64]time.Duration{3: 100 * time.Second}) }
				want[3] = 90 * time.Second
			}
			qt.Check(t, first.saveAll(t, map[uint64]time.Duration{1: 90 * time.Second, 2: 30 * time.Second}), qt.Equals, test.failures)
			f.clock.Advance(10 * time.Second)
			next := f.process()
			qt.Assert(t, next.restore(t.Context()), qt.IsNil)
			qt.Check(t, next.memory.restored, qt.DeepEquals, want)
		})
	}
}

// A request is refused for ever, or after its quarantine has ended.
func TestEndedQuarantineIsNotRestored(t *testing.T) {
	f := newFleet(t)
	f.process().saveAll(t, map[uint64]time.Duration{1: time.Second, 2: time.Minute, 3: time.Hour})
	f.clock.Advance(2 * time.Second)
	next := f.process()
	qt.Assert(t, next.restore(t.Context()), qt.IsNil)
	qt.Check(t, next.memory.restored, qt.DeepEquals, map[uint64]time.Duration{2: 58 * time.Second, 3: longest})
	next.saveAll(t, map[uint64]time.Duration{4: time.Minute})
	_, entries, err := next.read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, entries, qt.HasLen, 3, qt.Commentf("what has ended is dropped"))
}

// The item grows without a bound, until the table refuses it.
func TestSavedQuarantinesAreBounded(t *testing.T) {
	f := newFleet(t)
	many := map[uint64]time.Duration{}
	for n := range uint64(2 * maxEntries) {
		many[1<<63+n] = time.Minute + time.Duration(n)*time.Millisecond
	}
	f.process().saveAll(t, many)
	next := f.process()
	qt.Assert(t, next.restore(t.Context()), qt.IsNil)
	qt.Check(t, next.memory.restored, qt.HasLen, maxEntries)
	_, kept := next.memory.restored[1<<63+2*maxEntries-1]
	qt.Check(t, kept, qt.IsTrue, qt.Commentf("those that end first are dropped"))
}

// A process that starts while the store is down never restores what it holds; or it restores it long
// after, when a request may have been answered since.
func TestQuarantineIsRestoredAfterAnOutage(t *testing.T) {
	for name, test := range map[string]struct {
		failedReads int
		restored    bool
	}{
		"a short outage": {5, true},
		"a long outage":  {int(longest/interval) + 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.process().saveAll(t, map[uint64]time.Duration{1: time.Hour})
			next := f.process()
			next.table.reads = test.failedReads
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- next.Run(ctx) }()
			for range test.failedReads + 20 {
				qt.Assert(t, f.clock.BlockUntilContext(ctx, 1), qt.IsNil)
				f.clock.Advance(interval)
			}
			cancel()
			f.clock.Advance(interval)
			qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
			next.memory.mu.Lock()
			defer next.memory.mu.Unlock()
			qt.Check(t, len(next.memory.restored) == 1, qt.Equals, test.restored, qt.Commentf(fmt.Sprint(next.memory.restored)))
		})
	}
}

// Each process runs a trial of its own as a quarantine ends, or one after another without an end; or none is
// ever run again.
func TestOneTrialInTheWholeFleet(t *testing.T) {
	f := newFleet(t)
	trials := WithTrials(func(n int) time.Duration { return time.Duration(n) * time.Minute })
	processes := []*process{f.process(), f.process(), f.process()}
	granted := func() (n int) {
		for _, p := range processes {
			trials(p.Log)
			if p.Claim(t.Context(), 1) {
				n++
			}
		}
		return n
	}
	processes[0].saveAll(t, map[uint64]time.Duration{1: time.Minute})
	qt.Check(t, granted(), qt.Equals, 0)
	qt.Check(t, processes[1].memory.restored[1], qt.Equals, time.Minute)
	f.clock.Advance(time.Minute)
	qt.Check(t, granted(), qt.Equals, 1)
	qt.Check(t, processes[2].memory.restored[1], qt.Equals, time.Minute)
	f.clock.Advance(time.Minute)
	processes[2].saveAll(t, map[uint64]time.Duration{2: time.Minute}) // which keeps what had trials
	qt.Check(t, granted(), qt.Equals, 1)
	qt.Check(t, processes[2].memory.restored[1], qt.Equals, 2*time.Minute)
	f.clock.Advance(2 * time.Minute)
	for _, p := range processes {
		p.table.reads = 1
	}
	qt.Check(t, granted(), qt.Equals, 0)
	qt.Check(t, processes[0].memory.restored[1], qt.Equals, claimRetry)
	processes[0].table.lost = 1 // the write takes effect
	qt.Check(t, granted(), qt.Equals, 0)
}

// Another writer left an item that is none: no quarantine is saved from then on, and what has ended gets no trial
// for ever, or one too many.
func TestOddItemIsWrittenOver(t *testing.T) {
	for name, body := range map[string]string{
		"an object": `{}`, "a number": `7`, "of texts": `["x"]`, "number too large": `[{"fingerprint":1e99}]`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			p := f.process()
			p.afterTrial = func(int) time.Duration { return time.Minute }
			put := func() {
				rev, _, err := p.read(t.Context())
				qt.Assert(t, err, qt.IsNil)
				write := carawayspread.Write{IfRev: rev, Item: carawayspread.Item{Key: p.key, Token: fmt.Sprint("t", rev), Body: []byte(body)}}
				qt.Assert(t, f.table.Apply(t.Context(), write), qt.IsNil)
			}
			put()
			qt.Check(t, p.restore(t.Context()), qt.IsNil)
			qt.Check(t, p.saveAll(t, map[uint64]time.Duration{1: time.Minute}), qt.Equals, 0)
			put()
			qt.Check(t, p.Claim(t.Context(), 1), qt.IsFalse)
			f.clock.Advance(2 * time.Minute)
			qt.Check(t, p.Claim(t.Context(), 1), qt.IsTrue)
		})
	}
}
