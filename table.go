package carawayspread

import (
	"context"
	"errors"
)

// Errors of the platform's table service. Every other error of a Table means
// that the outcome is unknown.
var (
	// ErrNoItem says that the key holds nothing.
	ErrNoItem = errors.New("no item under this key")
	// ErrCondition says that a condition failed and that nothing was written.
	ErrCondition = errors.New("condition failed, nothing written")
	// ErrUnavailable says that the request provably never took effect.
	ErrUnavailable = errors.New("table service unavailable, nothing written")
)

// Key names one item.
type Key struct {
	Partition string // groups items that are queried together; not empty
	Sort      string // orders the items of a partition; not empty
}

// Item is one record of the table.
type Item struct {
	Key   Key
	Rev   uint64 // raised by one with every write of the item; the first is 1
	Token string // the attempt that wrote this revision; unique for each attempt
	Body  []byte // at most 64 KiB of JSON
}

// Write is one conditional write.
type Write struct {
	Item Item
	// IfRev is the revision that must be there now; zero asks that the key is
	// free. The write stores Rev = IfRev+1.
	IfRev uint64
	// CheckOnly asks for the condition alone: nothing is stored.
	CheckOnly bool
	// Delete removes the item under the same condition.
	Delete bool
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one item consistently, or returns ErrNoItem.
	Get(ctx context.Context, key Key) (Item, error)
	// Query reads consistently the items of a partition whose sort key is
	// greater than after, in order, at most limit.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Apply carries out all writes or none. It takes up to 100 writes with
	// distinct keys. A failed condition is reported as a *ConditionError that
	// matches ErrCondition.
	Apply(ctx context.Context, writes ...Write) error
}

// Restorable is a Table whose service may come back from an older copy of its items:
// what was written since is gone, and revisions are given out again.
type Restorable interface {
	// Generation grows with each time that this has happened, as far as answers to
	// this process have shown. Above 1 it has happened; up to 1 it may not have.
	Generation() uint64
}

// ConditionError names the writes of an Apply whose conditions failed.
type ConditionError struct {
	Failed []int // indexes into the writes, ascending, not empty
}

func (e *ConditionError) Error() string { return ErrCondition.Error() }

// Is matches ErrCondition.
func (e *ConditionError) Is(target error) bool { return target == ErrCondition }
