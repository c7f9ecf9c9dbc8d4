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

// fast is a clock on which a second passes in ten milliseconds.
type fast struct{ began time.Time }

func (c fast) Now() time.Time { return c.began.Add(100 * time.Since(c.began)) }

func (c fast) After(d time.Duration) <-chan time.Time { return time.After(d / 100) }

// operation is one proposal or, with an empty actor, one read of the log.
type operation struct {
	actor   string
	against carawayspread.Version
}

// result is what became of an operation.
type result struct {
	version carawayspread.Version // made by an accepted proposal, or read
	code    carawayspread.Code    // of a refusal
}

// register is the log as its users may see it: a version that only a proposal
// against it raises. A proposal whose outcome is unknown may have had its effect
// or not.
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

// Five operators make changes at once, each against the newest version that it
// read, while every answer of the table that brings a write may be lost and
// reads fail. Whatever they are told fits one order of the changes: a version
// is made by one of them only, nobody is told of a version that goes back, and
// no change is made that its operator was told is refused.
// In the second case the flaky table stands behind the decorators that daemons
// use, which read back, send again and group on their own.
func TestOperatorsAreLinearizable(t *testing.T) {
	clock := fast{began: time.Now()}
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
	p := newServices(t)
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	began := time.Now()
	var mu sync.Mutex
	var unsure atomic.Bool // an outcome was unknown
	var events []porcupine.Operation
	note := func(client int, call time.Duration, in operation, out result) {
		done := time.Since(began)
		if out.code == carawayspread.CodeUnknownOutcome {
			done = time.Hour // it may take effect later
			unsure.Store(true)
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
			flaky := &flaky{Table: p.table, every: 2 + client}
			l := New(decorate(flaky), p.objects, instant{}, WithLogger(quiet))
			held := empty()
			for made := 0; made < 15 || unknown && !unsure.Load() && made < 500; {
				call := time.Since(began)
				cfg, _, err := l.CatchUp(context.Background(), held)
				if err != nil {
					<-time.After(time.Millisecond)
					continue
				}
				made++
				held = cfg
				note(client, call, operation{}, result{version: held.Version()})
				next := proposal(fmt.Sprint("operator-", client), held.Version())
				next.Held = held
				call = time.Since(began)
				r, _, err := l.Append(context.Background(), next)
				out := result{version: r.Version}
				if typed, failed := carawayspread.AsError(err); failed {
					out.code = typed.Code()
				}
				if out.code != carawayspread.CodeStoreUnavailable {
					note(client, call, operation{actor: next.Actor, against: next.Against}, out)
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

// burst is how many requests fail in a row: enough for all tries of one attempt.
const burst = 6

// flaky loses answers in bursts; a write takes effect all the same.
type flaky struct {
	carawayspread.Table
	every, n int
}

func (f *flaky) fails() bool {
	f.n++
	return f.n/burst%f.every == 0
}

func (f *flaky) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	if f.fails() {
		return nil, errReset
	}
	return f.Table.Query(ctx, partition, after, limit)
}

func (f *flaky) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if f.fails() {
		return carawayspread.Item{}, errReset
	}
	return f.Table.Get(ctx, key)
}

func (f *flaky) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	err := f.Table.Apply(ctx, writes...)
	if f.fails() {
		return errReset
	}
	return err
}
