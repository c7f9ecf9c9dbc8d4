package timeout

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// unresponsiveTable accepts requests and never answers.
type unresponsiveTable struct{}

func (unresponsiveTable) Get(ctx context.Context, _ carawayspread.Key) (carawayspread.Item, error) {
	<-ctx.Done()
	return carawayspread.Item{}, ctx.Err()
}

func (unresponsiveTable) Query(ctx context.Context, _, _ string, _ int) ([]carawayspread.Item, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsiveTable) Apply(ctx context.Context, _ ...carawayspread.Write) error {
	<-ctx.Done()
	return ctx.Err()
}

// A caller without a deadline sends requests to a store that accepts them and never answers. Each
// request must end at its timeout; otherwise the caller and its connection would hang forever.
func TestUnresponsiveStore(t *testing.T) {
	table, ctx := New(unresponsiveTable{}, time.Millisecond, time.Millisecond), context.Background()
	_, err := table.Get(ctx, carawayspread.Key{})
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = table.Query(ctx, "p", "", 1)
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Check(t, table.Apply(ctx), qt.ErrorIs, context.DeadlineExceeded)
}
