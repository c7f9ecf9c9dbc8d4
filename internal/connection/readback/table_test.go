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

type conditionalWrite = carawayspread.Write

func write(sort string, ifRev uint64, token string) conditionalWrite {
	item := carawayspread.Item{Key: carawayspread.Key{Partition: "p", Sort: sort}, Token: token}
	return conditionalWrite{Item: item, IfRev: ifRev}
}

// scriptedTable runs one step for each copy of the write under test; further copies reach the table
// normally.
type scriptedTable struct {
	carawayspread.Table
	steps []func(arrive carawayspread.Table, ws []conditionalWrite) error
}

func (s *scriptedTable) Apply(ctx context.Context, ws ...conditionalWrite) error {
	if len(s.steps) == 0 {
		return s.Table.Apply(ctx, ws...)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(s.Table, ws)
}

// The answer to a write is lost: after the write took effect, before it arrived, while it was still
// in flight, or while others wrote the same keys. If the table shows the outcome, the caller gets
// it; otherwise the outcome is reported as unknown and never as "not written".
func TestLostAnswers(t *testing.T) {
	lost := errors.New("connection closed")
	ctx := context.Background()
	arrive := func(ws ...conditionalWrite) func(carawayspread.Table, []conditionalWrite) error {
		return func(table carawayspread.Table, _ []conditionalWrite) error { _ = table.Apply(ctx, ws...); return lost }
	}
	lostAfterEffect := func(table carawayspread.Table, ws []conditionalWrite) error { _ = table.Apply(ctx, ws...); return lost }
	never := arrive()
	delayedCopy := func(table carawayspread.Table, ws []conditionalWrite) error { // the first copy arrives just before the second
		_ = table.Apply(ctx, ws...)
		return table.Apply(ctx, ws...)
	}
	down := func(carawayspread.Table, []conditionalWrite) error { return carawayspread.ErrUnavailable }
	then := func(first func(carawayspread.Table, []conditionalWrite) error, ws ...conditionalWrite) func(carawayspread.Table, []conditionalWrite) error {
		return func(table carawayspread.Table, own []conditionalWrite) error {
			_ = first(table, own)
			return arrive(ws...)(table, own)
		}
	}
	type steps = []func(carawayspread.Table, []conditionalWrite) error
	single := []conditionalWrite{write("a", 1, "mine")}
	fresh := []conditionalWrite{write("new", 0, "mine")}
	pair := []conditionalWrite{write("a", 1, "mine"), write("b", 1, "mine")}
	remove := []conditionalWrite{{Item: single[0].Item, IfRev: 1, Delete: true}}
	other := write("a", 1, "other")

	tests := map[string]struct {
		writes []conditionalWrite
		steps  steps
		want   string
		token  string // of item a at the end; empty if the item is gone
	}{
		"took effect":                  {single, steps{lostAfterEffect}, "ok", "mine"},
		"took effect, fresh key":       {fresh, steps{lostAfterEffect}, "ok", "first"},
		"took effect, transaction":     {pair, steps{lostAfterEffect}, "ok", "mine"},
		"never arrived":                {single, steps{never}, "ok", "mine"},
		"never arrived, transaction":   {pair, steps{never, never}, "ok", "mine"},
		"arrived after the read":       {single, steps{never, delayedCopy}, "ok", "mine"},
		"another took the revision":    {single, steps{arrive(other)}, "condition", "other"},
		"another took one of the pair": {pair, steps{arrive(write("b", 1, "other"))}, "condition", "first"},
		"another while it was resent":  {single, steps{never, arrive(other)}, "condition", "other"},
		"overwritten since":            {single, steps{then(lostAfterEffect, write("a", 2, "other"))}, "unknown", "other"},
		"one of the pair overwritten":  {pair, steps{then(lostAfterEffect, write("a", 2, "other"))}, "ok", "other"},
		"deletion took effect":         {remove, steps{lostAfterEffect}, "unknown", ""},
		"deletion never arrived":       {remove, steps{never}, "ok", ""},
		"deletion lost to a write":     {remove, steps{arrive(other)}, "condition", "other"},
		"store down after sending":     {single, steps{never, down, down, down}, "unknown", "first"},
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
			retryBackoff := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
			err := New(&scriptedTable{Table: client, steps: test.steps}, retryBackoff).Apply(ctx, test.writes...)
			qt.Check(t, outcome(err), qt.Equals, test.want, qt.Commentf("%v", err))
			item, err := client.Get(ctx, write("a", 0, "").Item.Key)
			qt.Check(t, item.Token, qt.Equals, test.token, qt.Commentf("%v", err))
		})
	}
}

func outcome(err error) string {
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

type unreadable struct{ carawayspread.Table }

func (unreadable) Get(context.Context, carawayspread.Key) (carawayspread.Item, error) {
	return carawayspread.Item{}, carawayspread.ErrUnavailable
}

func (unreadable) Apply(context.Context, ...conditionalWrite) error {
	return errors.New("connection closed")
}

// The answer to a write is lost and the store goes down before the item can be read. The read
// provably had no effect, which says nothing about the write: a caller that was told "not written"
// would write again.
func TestRefusedReadLeavesOutcomeUnknown(t *testing.T) {
	retryBackoff := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
	err := New(unreadable{}, retryBackoff).Apply(context.Background(), write("a", 0, "mine"))
	qt.Check(t, outcome(err), qt.Equals, "unknown", qt.Commentf("%v", err))
}
