package changelog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/tableclient"
)

// fastClock is a clock on which a second passes in ten milliseconds.
type fastClock struct{ began time.Time }

func (c fastClock) Now() time.Time { return c.began.Add(100 * time.Since(c.began)) }

func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / 100) }

// operation is one proposal or, with an empty actor, one read of the log.
type operation struct {
	actor   string
	against carawayspread.Version
}

// result is the outcome of an operation.
type result struct {
	version carawayspread.Version // made by an accepted proposal, or read
	code    carawayspread.Code    // of a refusal
}

// register models the log as a single version, raised only by a proposal made against it. A
// proposal with an unknown outcome may have taken effect or not.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{carawayspread.Version(0)} },
	Step: func(state, input, output any) []any {
		now, op, r := state.(carawayspread.Version), input.(operation), output.(result)
		accepted := []any{now + 1}
		switch {
		case op.actor == "" && r.version == now:
			return []any{now}
		case op.actor == "":
			return nil
		case r.code == "" && op.against == now && r.version == now+1:
			return accepted
		case r.code == carawayspread.CodeConflict && op.against != now:
			return []any{now}
		case r.code == carawayspread.CodeUnknownOutcome && op.against == now:
			return append(accepted, now)
		case r.code == carawayspread.CodeUnknownOutcome:
			return []any{now}
		}
		return nil
	},
}

// Five operators make changes concurrently, each against the newest version that it has read, while
// answers to writes are lost and reads fail. The results must be linearizable: each version is made
// by one operator only, no read returns a version older than an earlier one did, and no change
// takes effect whose operator was told that it was refused. In the second case the flaky table is
// wrapped by the decorators that daemons use, which read back, retry and group requests themselves.
func TestOperatorsAreLinearizable(t *testing.T) {
	clock := fastClock{began: time.Now()}
	tests := map[string]func(carawayspread.Table) carawayspread.Table{
		"bare": func(inner carawayspread.Table) carawayspread.Table { return inner },
		"decorated": func(inner carawayspread.Table) carawayspread.Table {
			return tableclient.NewTable(inner, clock, metrics.NewSet())
		},
	}
	for name, decorate := range tests {
		t.Run(name, func(t *testing.T) { checkOperators(t, decorate, name == "bare") })
	}
}

func checkOperators(t *testing.T, decorate func(carawayspread.Table) carawayspread.Table, unknown bool) {
	p := newTestStores(t)
	discardLogger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	began := time.Now()
	var mu sync.Mutex
	var sawUnknown atomic.Bool // an outcome was unknown
	var events []porcupine.Operation
	record := func(client int, call time.Duration, in operation, out result) {
		done := time.Since(began)
		if out.code == carawayspread.CodeUnknownOutcome {
			done = time.Hour // it may take effect later
			sawUnknown.Store(true)
		}
		mu.Lock()
		defer mu.Unlock()
		events = append(events, porcupine.Operation{
			ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(done),
		})
	}
	var operators sync.WaitGroup
	for client := range 5 {
		operators.Go(func() {
			flaky := &flakyTable{Table: p.table, every: 2 + client}
			l := New(decorate(flaky), p.objects, instantClock{}, WithLogger(discardLogger))
			held := empty()
			for made := 0; made < 15 || unknown && !sawUnknown.Load() && made < 500; {
				call := time.Since(began)
				cfg, _, err := l.CatchUp(context.Background(), held)
				if err != nil {
					<-time.After(time.Millisecond)
					continue
				}
				made++
				held = cfg
				record(client, call, operation{}, result{version: held.Version()})
				next := proposal(fmt.Sprint("operator-", client), held.Version())
				next.Held = held
				call = time.Since(began)
				r, _, err := l.Append(context.Background(), next)
				out := result{version: r.Version}
				if typed, failed := carawayspread.AsError(err); failed {
					out.code = typed.Code()
				}
				if out.code != carawayspread.CodeStoreUnavailable {
					record(client, call, operation{actor: next.Actor, against: next.Against}, out)
				}
			}
		})
	}
	operators.Wait()
	outcomes := map[carawayspread.Code]int{}
	for _, event := range events {
		outcomes[event.Output.(result).code]++
	}
	qt.Assert(t, outcomes[""] > 0, qt.IsTrue)
	qt.Assert(t, outcomes[carawayspread.CodeUnknownOutcome] > 0 || !unknown, qt.IsTrue)
	model := register.ToModel()
	qt.Check(t, porcupine.CheckOperations(model, events), qt.IsTrue)
}

// failureBurst is the number of consecutive requests that fail: enough for all writes of one
// attempt.
const failureBurst = 6

// flakyTable loses answers in bursts; a write whose answer is lost still takes effect.
type flakyTable struct {
	carawayspread.Table
	every, n int
}

func (f *flakyTable) fails() bool {
	f.n++
	return f.n/failureBurst%f.every == 0
}

func (f *flakyTable) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	if f.fails() {
		return nil, errReset
	}
	return f.Table.Query(ctx, partition, after, limit)
}

func (f *flakyTable) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if f.fails() {
		return carawayspread.Item{}, errReset
	}
	return f.Table.Get(ctx, key)
}

func (f *flakyTable) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	err := f.Table.Apply(ctx, writes...)
	if f.fails() {
		return errReset
	}
	return err
}
