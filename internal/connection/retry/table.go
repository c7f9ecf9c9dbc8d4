package retry

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultMaxAttempts spans well under a second with the usual backoff: longer than a brief
// throttling or a lost connection, shorter than callers wait.
const defaultMaxAttempts = 4

// Table retries requests to the table that it wraps.
type Table struct {
	inner       carawayspread.Table
	backoff     *backoff.Backoff
	maxAttempts int // at least 1
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithMaxAttempts sets how often a request is sent at most.
func WithMaxAttempts(n int) Option { return func(t *Table) { t.maxAttempts = n } }

// New returns inner with retries.
func New(inner carawayspread.Table, backoff *backoff.Backoff, opts ...Option) *Table {
	t := &Table{inner: inner, backoff: backoff, maxAttempts: defaultMaxAttempts}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (item carawayspread.Item, err error) {
	err = t.run(ctx, isReadRetryable, func() error {
		item, err = t.inner.Get(ctx, key)
		return err
	})
	return item, err
}

// Query reads consistently the items of a partition after a sort key.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) (items []carawayspread.Item, err error) {
	err = t.run(ctx, isReadRetryable, func() error {
		items, err = t.inner.Query(ctx, partition, after, limit)
		return err
	})
	return items, err
}

// Apply performs all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	return t.run(ctx, isWriteRetryable, func() error { return t.inner.Apply(ctx, writes...) })
}

func isReadRetryable(err error) bool { return !errors.Is(err, carawayspread.ErrNoItem) }

// isWriteRetryable excludes writes that may have taken effect: a retry would see its own effect and
// report a failed condition for a write that succeeded.
func isWriteRetryable(err error) bool { return errors.Is(err, carawayspread.ErrUnavailable) }

// hasRetryAfter reports whether the error states its own retry delay, as the breaker's refusals do
// while the store is known to be down. Such errors are returned to the caller at once.
func hasRetryAfter(err error) bool {
	var withRetryAfter interface{ RetryAfter() time.Duration }
	return errors.As(err, &withRetryAfter)
}

func (t *Table) run(ctx context.Context, retryable func(error) bool, send func() error) error {
	for attempt := 1; ; attempt++ {
		err := send()
		if err == nil || attempt >= t.maxAttempts || !retryable(err) || hasRetryAfter(err) {
			return err
		}
		if !t.backoff.Wait(ctx, attempt) {
			return err
		}
	}
}
