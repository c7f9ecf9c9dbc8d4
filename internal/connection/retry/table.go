package retry

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultTries spans well under a second with the usual back-off: longer than a
// throttled instant or a lost connection, shorter than callers wait.
const defaultTries = 4

// Table repeats requests of the table that it wraps.
type Table struct {
	inner   carawayspread.Table
	backoff *backoff.Backoff
	tries   int // at least 1
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithTries sets how often a request is sent at most.
func WithTries(n int) Option { return func(t *Table) { t.tries = n } }

// New returns inner with repeats.
func New(inner carawayspread.Table, backoff *backoff.Backoff, opts ...Option) *Table {
	t := &Table{inner: inner, backoff: backoff, tries: defaultTries}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (item carawayspread.Item, err error) {
	err = t.repeat(ctx, readAgain, func() error {
		item, err = t.inner.Get(ctx, key)
		return err
	})
	return item, err
}

// Query reads consistently the items of a partition after a sort key.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) (items []carawayspread.Item, err error) {
	err = t.repeat(ctx, readAgain, func() error {
		items, err = t.inner.Query(ctx, partition, after, limit)
		return err
	})
	return items, err
}

// Apply carries out all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	return t.repeat(ctx, writeAgain, func() error { return t.inner.Apply(ctx, writes...) })
}

func readAgain(err error) bool { return !errors.Is(err, carawayspread.ErrNoItem) }

// writeAgain holds back writes that may have taken effect: a repeat would meet
// its own effect and report a failed condition for a write that succeeded.
func writeAgain(err error) bool { return errors.Is(err, carawayspread.ErrUnavailable) }

// isOutage finds a refusal that names its own time to come back, as the breaker
// does while the store is known to be down: the caller is told at once.
func isOutage(err error) bool {
	var timed interface{ RetryAfter() time.Duration }
	return errors.As(err, &timed)
}

func (t *Table) repeat(ctx context.Context, again func(error) bool, send func() error) error {
	for try := 1; ; try++ {
		err := send()
		if err == nil || try >= t.tries || !again(err) || isOutage(err) {
			return err
		}
		if !t.backoff.Wait(ctx, try) {
			return err
		}
	}
}
