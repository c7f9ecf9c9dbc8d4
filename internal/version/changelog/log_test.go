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

// instantClock always reads noon and does not wait.
type instantClock struct{}

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func (instantClock) Now() time.Time { return noon }

func (instantClock) After(time.Duration) <-chan time.Time {
	woken := make(chan time.Time)
	close(woken)
	return woken
}

// testStores holds the table service and the object store of one test.
type testStores struct {
	table       carawayspread.Table
	objects     carawayspread.ObjectStore
	tableFaults *table.Table
	storeFaults *fault.Faults
}

func newTestStores(t testing.TB) *testStores {
	tables, store := table.New(carawayspread.SystemClock()), objects.New(carawayspread.SystemClock())
	tableServer, storeServer := httptest.NewServer(tables), httptest.NewServer(store)
	tableClient, storeClient := dynamodb.New(tableServer.URL), s3.New(storeServer.URL)
	t.Cleanup(func() {
		tableClient.Close()
		storeClient.Close()
		tableServer.Close()
		storeServer.Close()
	})
	return &testStores{table: tableClient, objects: storeClient, tableFaults: tables, storeFaults: store.Faults}
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

// hangingStore is an object store whose reads block until the caller's context ends.
type hangingStore struct{ carawayspread.ObjectStore }

func (hangingStore) Get(ctx context.Context, _ string) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// failingTable is a table whose queries fail after the first n.
type failingTable struct {
	carawayspread.Table
	n int
}

func (f *failingTable) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	if f.n--; f.n < 0 {
		return nil, errReset
	}
	return f.Table.Query(ctx, partition, after, limit)
}

// A daemon starts far behind while the object store hangs and reads of the table fail. Each call
// must keep its progress until the newest version is reached; if a call kept all or nothing, the
// daemon would never become ready.
func TestCatchUpKeepsProgress(t *testing.T) {
	p := newTestStores(t)
	held := appendChanges(t, New(p.table, p.objects, instantClock{}), 250)
	cfg := empty()
	for n := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		l := New(&failingTable{Table: p.table, n: 1}, hangingStore{}, instantClock{}, WithTimeout(time.Minute))
		next, records, err := l.CatchUp(ctx, cfg)
		qt.Check(t, ctx.Err(), qt.IsNil) // the object store left time for the table
		cancel()
		qt.Assert(t, err == nil, qt.Equals, n == 2)
		qt.Check(t, records[0].Version, qt.Equals, cfg.Version()+1)
		cfg = next
	}
	qt.Check(t, cfg.Version(), qt.Equals, held.Version())
}

// appendChanges appends n changes to the empty configuration.
func appendChanges(t testing.TB, l *Log, n int) *carawayspread.Config {
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

// A starting daemon must reach the same newest version from the snapshot and the log, and from the
// log alone while the object store is down.
func TestCatchUp(t *testing.T) {
	ctx := context.Background()
	p := newTestStores(t)
	l := New(p.table, p.objects, instantClock{}, WithSnapshotEvery(50))
	held := appendChanges(t, l, 230)
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

// A change is written, but every answer of the table to a write is lost. The attempt must find its
// own token in the table and report the change accepted; if it were reported failed, the operator
// would make it a second time.
func TestAppendLostAnswer(t *testing.T) {
	p := newTestStores(t)
	p.tableFaults.LoseAnswers(fault.UntilCleared)
	r, _, err := New(p.table, p.objects, instantClock{}).Append(context.Background(), proposal("ana", 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Version, qt.Equals, carawayspread.Version(1))
}

var errReset = errors.New("connection reset")

// scriptedTable is a table with scripted results for the first writes and reads; later ones fail
// without effect.
type scriptedTable struct {
	carawayspread.Table
	applies, gets []step
}

type step struct {
	done bool  // the request takes effect
	err  error // returned instead of the answer
}

func popStep(steps *[]step) step {
	if len(*steps) == 0 {
		return step{err: errReset}
	}
	first := (*steps)[0]
	*steps = (*steps)[1:]
	return first
}

func (s *scriptedTable) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	now := popStep(&s.applies)
	var err error
	if now.done {
		err = s.Table.Apply(ctx, writes...)
	}
	return errors.Join(now.err, err)
}

func (s *scriptedTable) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if now := popStep(&s.gets); !now.done {
		return carawayspread.Item{}, now.err
	}
	return s.Table.Get(ctx, key)
}

// The connection to the table breaks before or after a write. Where it cannot be known whether the
// write took effect, the operator must receive an unknown outcome with the token of the attempt;
// "refused" or "accepted" would be false in one of the cases. A later failure proves nothing about
// an earlier write.
func TestAppendCutOff(t *testing.T) {
	lost, written := step{err: errReset}, step{done: true, err: errReset}
	tests := map[string]struct {
		applies, gets []step
		accepted      bool // the result of Append; unknown outcome otherwise
		exists        bool // whether the change is in the table
	}{
		"lost before the write": {applies: []step{lost}},
		"lost after the write":  {applies: []step{written}, exists: true},
		"down after the write":  {applies: []step{written, {err: carawayspread.ErrUnavailable}}, exists: true},
		"finds its own write":   {applies: []step{written, {done: true}}, gets: []step{lost, {done: true}}, accepted: true, exists: true},
		"second write succeeds": {applies: []step{lost, {done: true}}, accepted: true, exists: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestStores(t)
			l := New(&scriptedTable{Table: p.table, applies: test.applies, gets: test.gets}, p.objects, instantClock{})
			_, _, err := l.Append(context.Background(), proposal("ana", 0))
			records, readErr := New(p.table, p.objects, instantClock{}).History(context.Background(), 0)
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

// While the table is down, an operator must be told at once that nothing was written, and nothing
// may be written later.
func TestAppendStoreDown(t *testing.T) {
	p := newTestStores(t)
	l := New(p.table, p.objects, instantClock{})
	p.tableFaults.SetDown(true)
	_, _, err := l.Append(context.Background(), proposal("ana", 0))
	typed, _ := carawayspread.AsError(err)
	qt.Check(t, typed.Code(), qt.Equals, carawayspread.CodeStoreUnavailable)
	qt.Check(t, typed.NotRun(), qt.IsTrue)
	p.tableFaults.Clear()
	qt.Check(t, p.tableFaults.Len(), qt.Equals, 0)
}

// gatedTable holds each request until the test releases it, so that the test chooses the order of
// two operators' requests.
type gatedTable struct {
	carawayspread.Table
	arrived, release chan struct{}
}

func (g *gatedTable) enter() {
	g.arrived <- struct{}{}
	<-g.release
}

func (g *gatedTable) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	g.enter()
	return g.Table.Query(ctx, partition, after, limit)
}

func (g *gatedTable) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	g.enter()
	return g.Table.Apply(ctx, writes...)
}

// Two operators change version 0 at the same time. In every order in which their requests can reach
// the table, with and without lost answers, exactly one must be accepted; the other must receive a
// conflict that names the first one's operator. No changes may be merged silently, and the audit
// trail must hold both.
func TestAppendRace(t *testing.T) {
	const orderBits = 6 // each operator makes up to two reads and one or two writes
	for lost := range 3 {
		for order := range 1 << orderBits {
			t.Run(fmt.Sprintf("lost=%d/order=%06b", lost, order), func(t *testing.T) {
				checkRace(t, order, lost)
			})
		}
	}
}

func checkRace(t *testing.T, order, lost int) {
	p := newTestStores(t)
	p.tableFaults.LoseAnswers(lost)
	actors := []string{"ana", "luis"}
	results := make([]error, len(actors))
	gates := make([]*gatedTable, len(actors))
	var running sync.WaitGroup
	for i, actor := range actors {
		gates[i] = &gatedTable{Table: p.table, arrived: make(chan struct{}), release: make(chan struct{})}
		running.Go(func() {
			defer close(gates[i].arrived)
			l := New(gates[i], p.objects, instantClock{}, WithTokens(func() string { return actor }))
			_, _, results[i] = l.Append(context.Background(), proposal(actor, 0))
		})
	}
	releaseInOrder(gates, order)
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

	lines, _, err := New(p.table, p.objects, instantClock{}).Audit(context.Background(), noon, "")
	qt.Assert(t, err, qt.IsNil)
	verdicts := map[string]string{}
	for _, line := range lines {
		verdicts[line.Actor] = line.Verdict
	}
	qt.Check(t, verdicts, qt.DeepEquals, map[string]string{
		actors[winner]: auditrecord.Accepted, actors[1-winner]: auditrecord.Refused,
	})
}

// releaseInOrder releases one waiting request after the other, chosen by the bits of order, until
// both operators are done.
func releaseInOrder(gates []*gatedTable, order int) {
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
		gates[i].release <- struct{}{}
		_, waiting[i] = <-gates[i].arrived
	}
}
