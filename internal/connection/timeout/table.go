package timeout

import (
	"context"
	"time"

	"carawayspread"
)

// Table bounds the requests of the table that it wraps.
type Table struct {
	inner carawayspread.Table
	read  time.Duration // for one read; positive
	write time.Duration // for one write; positive
}

// New returns inner with a bound on each read and each write.
func New(inner carawayspread.Table, read, write time.Duration) *Table {
	return &Table{inner: inner, read: read, write: write}
}

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.read)
	defer cancel()
	return t.inner.Get(ctx, key)
}

// Query reads consistently the items of a partition after a sort key.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.read)
	defer cancel()
	return t.inner.Query(ctx, partition, after, limit)
}

// Apply carries out all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	ctx, cancel := context.WithTimeout(ctx, t.write)
	defer cancel()
	return t.inner.Apply(ctx, writes...)
}
