package breaker

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultFailures lets a lost connection or two pass unnoticed.
const defaultFailures = 5

// Table refuses requests while the table that it wraps is down.
type Table struct {
	inner    carawayspread.Table
	clock    carawayspread.Clock
	backoff  *backoff.Backoff
	failures int // in a row, before requests are refused; at least 1

	mu      sync.Mutex
	failed  int       // in a row until now
	next    time.Time // of the next trial, once failed has reached failures
	trying  bool      // a trial is on its way
	trialed int       // trials that failed in a row
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithFailures sets how many failures in a row count as an outage.
func WithFailures(n int) Option { return func(t *Table) { t.failures = n } }

// New returns inner with refusals during an outage; backoff draws the waits
// between trials.
func New(inner carawayspread.Table, clock carawayspread.Clock, backoff *backoff.Backoff, opts ...Option) *Table {
	t := &Table{inner: inner, clock: clock, backoff: backoff, failures: defaultFailures}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (item carawayspread.Item, err error) {
	err = t.guard(ctx, func() error {
		item, err = t.inner.Get(ctx, key)
		return err
	})
	return item, err
}

// Query reads consistently the items of a partition after a sort key.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) (items []carawayspread.Item, err error) {
	err = t.guard(ctx, func() error {
		items, err = t.inner.Query(ctx, partition, after, limit)
		return err
	})
	return items, err
}

// Apply carries out all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	return t.guard(ctx, func() error { return t.inner.Apply(ctx, writes...) })
}

func (t *Table) guard(ctx context.Context, send func() error) error {
	if wait := t.admit(); wait > 0 {
		return &refusal{wait: wait}
	}
	err := send()
	t.ended(ctx, err)
	return err
}

// admit returns zero where the request may go, or when to come back.
func (t *Table) admit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed < t.failures {
		return 0
	}
	wait := t.next.Sub(t.clock.Now())
	if wait > 0 {
		return wait
	}
	if t.trying {
		return t.backoff.Bound(t.trialed + 1)
	}
	t.trying = true
	return 0
}

func (t *Table) ended(ctx context.Context, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trying = false
	if answered(err) {
		t.failed, t.trialed = 0, 0
		return
	}
	if ctx.Err() != nil { // the caller's impatience tells nothing of the store
		return
	}
	t.failed = min(t.failed+1, t.failures)
	if t.failed == t.failures {
		t.trialed++
		t.next = t.clock.Now().Add(t.backoff.Draw(t.trialed))
	}
}

// answered reports whether the store carried out the request or judged it.
func answered(err error) bool {
	return err == nil || errors.Is(err, carawayspread.ErrNoItem) || errors.Is(err, carawayspread.ErrCondition)
}
