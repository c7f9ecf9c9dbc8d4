package timeout

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// silent accepts requests and never answers.
type silent struct{}

func (silent) Get(ctx context.Context, _ carawayspread.Key) (carawayspread.Item, error) {
	<-ctx.Done()
	return carawayspread.Item{}, ctx.Err()
}

func (silent) Query(ctx context.Context, _, _ string, _ int) ([]carawayspread.Item, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silent) Apply(ctx context.Context, _ ...carawayspread.Write) error {
	<-ctx.Done()
	return ctx.Err()
}

// A caller with no deadline of its own asks a store that accepts requests and
// never answers. Each request ends by its timeout; without it the caller and
// its connection hang for ever.
func TestSilentStore(t *testing.T) {
	table, ctx := New(silent{}, time.Millisecond, time.Millisecond), context.Background()
	_, err := table.Get(ctx, carawayspread.Key{})
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = table.Query(ctx, "p", "", 1)
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Check(t, table.Apply(ctx), qt.ErrorIs, context.DeadlineExceeded)
}
