package readback

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type put = carawayspread.Write

func write(sort string, ifRev uint64, token string) put {
	item := carawayspread.Item{Key: carawayspread.Key{Partition: "p", Sort: sort}, Token: token}
	return put{Item: item, IfRev: ifRev}
}

// script says what happens to the n-th copy of the write under test; copies
// beyond it reach the table unharmed.
type script struct {
	carawayspread.Table
	steps []func(arrive carawayspread.Table, ws []put) error
}

func (s *script) Apply(ctx context.Context, ws ...put) error {
	if len(s.steps) == 0 {
		return s.Table.Apply(ctx, ws...)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(s.Table, ws)
}

// The caller sends one write and sees what became of it, although the answer
// was lost: after the write took effect, before it arrived, while it was still
// under way, or while others wrote the same keys. Where the table shows the
// outcome the caller gets it, else it is told unknown; never "not written".
func TestLostAnswers(t *testing.T) {
	lost := errors.New("connection closed")
	ctx := context.Background()
	arrive := func(ws ...put) func(carawayspread.Table, []put) error {
		return func(table carawayspread.Table, _ []put) error { _ = table.Apply(ctx, ws...); return lost }
	}
	mine := func(table carawayspread.Table, ws []put) error { _ = table.Apply(ctx, ws...); return lost }
	never := arrive()
	late := func(table carawayspread.Table, ws []put) error { // the first copy overtakes the second
		_ = table.Apply(ctx, ws...)
		return table.Apply(ctx, ws...)
	}
	down := func(carawayspread.Table, []put) error { return carawayspread.ErrUnavailable }
	then := func(first func(carawayspread.Table, []put) error, ws ...put) func(carawayspread.Table, []put) error {
		return func(table carawayspread.Table, own []put) error {
			_ = first(table, own)
			return arrive(ws...)(table, own)
		}
	}
	type steps = []func(carawayspread.Table, []put) error
	single := []put{write("a", 1, "mine")}
	fresh := []put{write("new", 0, "mine")}
	pair := []put{write("a", 1, "mine"), write("b", 1, "mine")}
	remove := []put{{Item: single[0].Item, IfRev: 1, Delete: true}}
	other := write("a", 1, "other")

	tests := map[string]struct {
		writes []put
		steps  steps
		want   string
		writer string // of item a in the end; empty when it is gone
	}{
		"took effect":                  {single, steps{mine}, "ok", "mine"},
		"took effect, fresh key":       {fresh, steps{mine}, "ok", "first"},
		"took effect, transaction":     {pair, steps{mine}, "ok", "mine"},
		"never arrived":                {single, steps{never}, "ok", "mine"},
		"never arrived, transaction":   {pair, steps{never, never}, "ok", "mine"},
		"arrived after the read":       {single, steps{never, late}, "ok", "mine"},
		"another took the revision":    {single, steps{arrive(other)}, "condition", "other"},
		"another took one of the pair": {pair, steps{arrive(write("b", 1, "other"))}, "condition", "first"},
		"another while it was resent":  {single, steps{never, arrive(other)}, "condition", "other"},
		"overwritten since":            {single, steps{then(mine, write("a", 2, "other"))}, "unknown", "other"},
		"one of the pair overwritten":  {pair, steps{then(mine, write("a", 2, "other"))}, "ok", "other"},
		"deletion took effect":         {remove, steps{mine}, "unknown", ""},
		"deletion never arrived":       {remove, steps{never}, "ok", ""},
		"deletion lost to a write":     {remove, steps{arrive(other)}, "condition", "other"},
		"store down afterwards":        {single, steps{never, down, down, down}, "unknown", "first"},
		"never sent at all":            {single, steps{down}, "unavailable", "first"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(table.New(carawayspread.SystemClock()))
			client := dynamodb.New(server.URL)
			defer server.Close()
			defer client.Close()
			for _, sort := range []string{"a", "b"} {
				qt.Assert(t, client.Apply(ctx, write(sort, 0, "first")), qt.IsNil)
			}
			waits := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
			err := New(&script{Table: client, steps: test.steps}, waits).Apply(ctx, test.writes...)
			qt.Check(t, verdict(err), qt.Equals, test.want, qt.Commentf("%v", err))
			item, err := client.Get(ctx, write("a", 0, "").Item.Key)
			qt.Check(t, item.Token, qt.Equals, test.writer, qt.Commentf("%v", err))
		})
	}
}

func verdict(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, carawayspread.ErrCondition):
		return "condition"
	case errors.Is(err, carawayspread.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}

type blind struct{ carawayspread.Table }

func (blind) Get(context.Context, carawayspread.Key) (carawayspread.Item, error) {
	return carawayspread.Item{}, carawayspread.ErrUnavailable
}

func (blind) Apply(context.Context, ...put) error { return errors.New("connection closed") }

// The write's answer is lost and the store goes down before it can be read. The
// read provably had no effect, which says nothing of the write: a caller that
// was told "not written" would write again.
func TestRefusedReadSaysNothingOfTheWrite(t *testing.T) {
	waits := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
	err := New(blind{}, waits).Apply(context.Background(), write("a", 0, "mine"))
	qt.Check(t, verdict(err), qt.Equals, "unknown", qt.Commentf("%v", err))
}
