package breaker

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultFailureThreshold tolerates one or two lost connections.
const defaultFailureThreshold = 5

// Table refuses requests while the table that it wraps is down.
type Table struct {
	inner     carawayspread.Table
	clock     carawayspread.Clock
	backoff   *backoff.Backoff
	threshold int // consecutive failures before requests are refused; at least 1

	mu           sync.Mutex
	failures     int       // consecutive failures so far, at most threshold
	nextProbe    time.Time // time of the next probe, once failures has reached threshold
	probing      bool      // a probe is in flight
	failedProbes int       // consecutive failed probes
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithFailureThreshold sets how many consecutive failures count as an outage.
func WithFailureThreshold(n int) Option { return func(t *Table) { t.threshold = n } }

// New returns inner with refusals during an outage; backoff provides the waits between probes.
func New(inner carawayspread.Table, clock carawayspread.Clock, backoff *backoff.Backoff, opts ...Option) *Table {
	t := &Table{inner: inner, clock: clock, backoff: backoff, threshold: defaultFailureThreshold}
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

// Apply performs all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	return t.guard(ctx, func() error { return t.inner.Apply(ctx, writes...) })
}

func (t *Table) guard(ctx context.Context, send func() error) error {
	if wait := t.admit(); wait > 0 {
		return &refusal{wait: wait}
	}
	err := send()
	t.observe(ctx, err)
	return err
}

// admit returns zero if the request may be sent, and otherwise the time after which to retry.
func (t *Table) admit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures < t.threshold {
		return 0
	}
	wait := t.nextProbe.Sub(t.clock.Now())
	if wait > 0 {
		return wait
	}
	if t.probing {
		return t.backoff.Bound(t.failedProbes + 1)
	}
	t.probing = true
	return 0
}

func (t *Table) observe(ctx context.Context, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
	if answered(err) {
		t.failures, t.failedProbes = 0, 0
		return
	}
	if ctx.Err() != nil { // a cancelled call says nothing about the store
		return
	}
	t.failures = min(t.failures+1, t.threshold)
	if t.failures == t.threshold {
		t.failedProbes++
		t.nextProbe = t.clock.Now().Add(t.backoff.Draw(t.failedProbes))
	}
}

// answered reports whether the store processed the request; a missing item or a failed condition is
// an answer as well.
func answered(err error) bool {
	return err == nil || errors.Is(err, carawayspread.ErrNoItem) || errors.Is(err, carawayspread.ErrCondition)
}
