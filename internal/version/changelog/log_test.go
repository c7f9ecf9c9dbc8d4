package changelog

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/standin/fault"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/snapshot"
)

// instant is a clock that does not wait.
type instant struct{}

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func (instant) Now() time.Time { return noon }

func (instant) After(time.Duration) <-chan time.Time {
	woken := make(chan time.Time)
	close(woken)
	return woken
}

// services is the table service and object store of one test.
type services struct {
	table       carawayspread.Table
	objects     carawayspread.ObjectStore
	tableFaults *table.Table
	storeFaults *fault.Faults
}

func newServices(t testing.TB) *services {
	tables, store := table.New(carawayspread.SystemClock()), objects.New(carawayspread.SystemClock())
	tableServer, storeServer := httptest.NewServer(tables), httptest.NewServer(store)
	tableClient, storeClient := dynamodb.New(tableServer.URL), s3.New(storeServer.URL)
	t.Cleanup(func() {
		tableClient.Close()
		storeClient.Close()
		tableServer.Close()
		storeServer.Close()
	})
	return &services{table: tableClient, objects: storeClient, tableFaults: tables, storeFaults: store.Faults}
}

func empty() *carawayspread.Config { return carawayspread.NewConfig(0, nil, nil, nil) }

func proposal(actor string, against carawayspread.Version) Proposal {
	add := change.SetWorkspace(carawayspread.NewWorkspace(fmt.Sprintf("%s-%d", actor, against)))
	return Proposal{Change: change.New(add), Against: against, Actor: actor, Held: empty()}
}

func refusalOf(t testing.TB, err error) *Refusal {
	var refusal *Refusal
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	return refusal
}

// sleepy is an object store that answers when its caller gives up.
type sleepy struct{ carawayspread.ObjectStore }

func (sleepy) Get(ctx context.Context, _ string) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// failing is a table whose reads fail after the first n.
type failing struct {
	carawayspread.Table
	n int
}

func (f *failing) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	if f.n--; f.n < 0 {
		return nil, errReset
	}
	return f.Table.Query(ctx, partition, after, limit)
}

// A daemon starts far behind while the object store hangs and reads of the
// table break off. It gets on a little with every try, until it has the newest
// version; were a try all or nothing, it would never be ready.
func TestCatchUpKeepsProgress(t *testing.T) {
	p := newServices(t)
	held := fill(t, New(p.table, p.objects, instant{}), 250)
	cfg := empty()
	for try := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		l := New(&failing{Table: p.table, n: 1}, sleepy{}, instant{}, WithTimeout(time.Minute))
		next, records, err := l.CatchUp(ctx, cfg)
		qt.Check(t, ctx.Err(), qt.IsNil) // the object store left time for the table
		cancel()
		qt.Assert(t, err == nil, qt.Equals, try == 2)
		qt.Check(t, records[0].Version, qt.Equals, cfg.Version()+1)
		cfg = next
	}
	qt.Check(t, cfg.Version(), qt.Equals, held.Version())
}

// fill has n changes accepted.
func fill(t testing.TB, l *Log, n int) *carawayspread.Config {
	held := empty()
	for range n {
		next := proposal("ana", held.Version())
		next.Held = held
		_, cfg, err := l.Append(context.Background(), next)
		qt.Assert(t, err, qt.IsNil)
		held = cfg
	}
	return held
}

// A daemon that starts finds the newest version through snapshot and log, and
// the same one through the log alone while the object store is down.
func TestCatchUp(t *testing.T) {
	ctx := context.Background()
	p := newServices(t)
	l := New(p.table, p.objects, instant{}, WithSnapshotEvery(50))
	held := fill(t, l, 230)
	want, err := snapshot.Encode(held)
	qt.Assert(t, err, qt.IsNil)
	for storeDown, pages := range map[bool]uint64{false: 2, true: 3} {
		p.storeFaults.SetDown(storeDown)
		before := p.tableFaults.Reads()
		cfg, records, err := l.CatchUp(ctx, empty())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, p.tableFaults.Reads()-before, qt.Equals, pages)
		got, err := snapshot.Encode(cfg)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, string(want))
		qt.Check(t, records[len(records)-1].Version, qt.Equals, carawayspread.Version(230))
	}
}

// The operator's change is written, but every answer of the table is lost. The
// attempt reads its own token back and reports it accepted; were it reported
// failed, the operator would make it a second time.
func TestAppendLostAnswer(t *testing.T) {
	p := newServices(t)
	p.tableFaults.LoseAnswers(fault.UntilCleared)
	r, _, err := New(p.table, p.objects, instant{}).Append(context.Background(), proposal("ana", 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Version, qt.Equals, carawayspread.Version(1))
}

var errReset = errors.New("connection reset")

// scripted is a table whose answers to the first requests are given; those
// after them are lost, without effect.
type scripted struct {
	carawayspread.Table
	applies, gets []step
}

type step struct {
	done bool  // the request takes effect
	err  error // replaces the answer
}

func next(steps *[]step) step {
	if len(*steps) == 0 {
		return step{err: errReset}
	}
	first := (*steps)[0]
	*steps = (*steps)[1:]
	return first
}

func (s *scripted) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	now := next(&s.applies)
	var err error
	if now.done {
		err = s.Table.Apply(ctx, writes...)
	}
	return errors.Join(now.err, err)
}

func (s *scripted) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if now := next(&s.gets); !now.done {
		return carawayspread.Item{}, now.err
	}
	return s.Table.Get(ctx, key)
}

// The process is cut off from the table around its write. Where it cannot be
// known whether the write took effect, the operator is told so, with the
// attempt by which to find out; "refused" or "accepted" would be false in one of
// the cases. A later failure proves nothing about an earlier request.
func TestAppendCutOff(t *testing.T) {
	lost, written := step{err: errReset}, step{done: true, err: errReset}
	tests := map[string]struct {
		applies, gets []step
		accepted      bool // the verdict; unknown otherwise
		exists        bool // what is true
	}{
		"lost before the write":      {applies: []step{lost}},
		"lost after the write":       {applies: []step{written}, exists: true},
		"down after the write":       {applies: []step{written, {err: carawayspread.ErrUnavailable}}, exists: true},
		"meets its own write":        {applies: []step{written, {done: true}}, gets: []step{lost, {done: true}}, accepted: true, exists: true},
		"writes at the second trial": {applies: []step{lost, {done: true}}, accepted: true, exists: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newServices(t)
			l := New(&scripted{Table: p.table, applies: test.applies, gets: test.gets}, p.objects, instant{})
			_, _, err := l.Append(context.Background(), proposal("ana", 0))
			records, readErr := New(p.table, p.objects, instant{}).History(context.Background(), 0)
			qt.Assert(t, readErr, qt.IsNil)
			qt.Check(t, len(records) == 1, qt.Equals, test.exists)
			if test.accepted {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			refusal := refusalOf(t, err)
			typed, _ := carawayspread.AsError(err)
			qt.Check(t, typed.Code(), qt.Equals, carawayspread.CodeUnknownOutcome)
			qt.Check(t, typed.NotRun(), qt.IsFalse)
			if test.exists {
				qt.Check(t, records[0].Attempt, qt.Equals, refusal.Attempt())
			}
		})
	}
}

// While the table is down the operator is told at once that nothing was
// written, and afterwards nothing is.
func TestAppendStoreDown(t *testing.T) {
	p := newServices(t)
	l := New(p.table, p.objects, instant{})
	p.tableFaults.SetDown(true)
	_, _, err := l.Append(context.Background(), proposal("ana", 0))
	typed, _ := carawayspread.AsError(err)
	qt.Check(t, typed.Code(), qt.Equals, carawayspread.CodeStoreUnavailable)
	qt.Check(t, typed.NotRun(), qt.IsTrue)
	p.tableFaults.Clear()
	qt.Check(t, p.tableFaults.Len(), qt.Equals, 0)
}

// turnstile lets the requests of two operators through one at a time, in an
// order that the test chooses.
type turnstile struct {
	carawayspread.Table
	arrived, pass chan struct{}
}

func (g *turnstile) enter() {
	g.arrived <- struct{}{}
	<-g.pass
}

func (g *turnstile) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	g.enter()
	return g.Table.Query(ctx, partition, after, limit)
}

func (g *turnstile) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	g.enter()
	return g.Table.Apply(ctx, writes...)
}

// Two operators change version 0 at the same time. In every order in which
// their requests can reach the table, with and without lost answers, exactly
// one is accepted; the other learns of it, by whom, and that its own change was
// not made. Nothing merges silently, and the audit trail tells both.
func TestAppendRace(t *testing.T) {
	const decisions = 6 // two reads and one or two writes each
	for lost := range 3 {
		for order := range 1 << decisions {
			t.Run(fmt.Sprintf("lost=%d/order=%06b", lost, order), func(t *testing.T) {
				race(t, order, lost)
			})
		}
	}
}

func race(t *testing.T, order, lost int) {
	p := newServices(t)
	p.tableFaults.LoseAnswers(lost)
	actors := []string{"ana", "luis"}
	results := make([]error, len(actors))
	gates := make([]*turnstile, len(actors))
	var running sync.WaitGroup
	for i, actor := range actors {
		gates[i] = &turnstile{Table: p.table, arrived: make(chan struct{}), pass: make(chan struct{})}
		running.Go(func() {
			defer close(gates[i].arrived)
			l := New(gates[i], p.objects, instant{}, WithTokens(func() string { return actor }))
			_, _, results[i] = l.Append(context.Background(), proposal(actor, 0))
		})
	}
	conduct(gates, order)
	running.Wait()

	winner := 0
	if results[0] != nil {
		winner = 1
	}
	qt.Assert(t, results[winner], qt.IsNil)
	refusal := refusalOf(t, results[1-winner])
	typed, _ := carawayspread.AsError(refusal)
	qt.Check(t, typed.Code(), qt.Equals, carawayspread.CodeConflict)
	qt.Check(t, refusal.Current(), qt.Equals, carawayspread.Version(1))
	qt.Assert(t, refusal.Since(), qt.HasLen, 1)
	qt.Check(t, refusal.Since()[0].Actor, qt.Equals, actors[winner])

	lines, _, err := New(p.table, p.objects, instant{}).Audit(context.Background(), noon, "")
	qt.Assert(t, err, qt.IsNil)
	verdicts := map[string]string{}
	for _, line := range lines {
		verdicts[line.Actor] = line.Verdict
	}
	qt.Check(t, verdicts, qt.DeepEquals, map[string]string{
		actors[winner]: auditrecord.Accepted, actors[1-winner]: auditrecord.Refused,
	})
}

// conduct passes one waiting request after the other, chosen by the bits of
// order, until both operators are done.
func conduct(gates []*turnstile, order int) {
	waiting := make([]bool, len(gates))
	for i, gate := range gates {
		_, waiting[i] = <-gate.arrived
	}
	for waiting[0] || waiting[1] {
		i := order & 1
		order >>= 1
		if !waiting[i] {
			i = 1 - i
		}
		gates[i].pass <- struct{}{}
		_, waiting[i] = <-gates[i].arrived
	}
}
