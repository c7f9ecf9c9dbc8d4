package timeout

import (
	"context"
	"time"

	"carawayspread"
)

// Table bounds the duration of requests to the table that it wraps.
type Table struct {
	inner carawayspread.Table
	read  time.Duration // timeout of one read; positive
	write time.Duration // timeout of one write; positive
}

// New wraps inner with timeouts for each read and each write.
func New(inner carawayspread.Table, read, write time.Duration) *Table {
	return &Table{inner: inner, read: read, write: write}
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.read)
	defer cancel()
	return t.inner.Get(ctx, key)
}

// Query reads consistently the items of a partition whose sort key is greater than after.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.read)
	defer cancel()
	return t.inner.Query(ctx, partition, after, limit)
}

// Apply performs all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	ctx, cancel := context.WithTimeout(ctx, t.write)
	defer cancel()
	return t.inner.Apply(ctx, writes...)
}
