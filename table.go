package carawayspread

import (
	"context"
	"errors"
)

// Errors of the platform's table service. After any other error of a Table, the outcome is unknown.
var (
	// ErrNoItem means that there is no item with the key.
	ErrNoItem = errors.New("no item under this key")
	// ErrCondition means that a condition failed and nothing was written.
	ErrCondition = errors.New("condition failed, nothing written")
	// ErrUnavailable means that the request provably had no effect and will have none.
	ErrUnavailable = errors.New("table service unavailable, nothing written")
)

// Key identifies one item.
type Key struct {
	Partition string // groups items that are queried together; not empty
	Sort      string // orders the items in a partition; not empty
}

// Item is one record of the table.
type Item struct {
	Key   Key
	Rev   uint64 // incremented with every write of the item; starts at 1
	Token string // identifies the attempt that wrote this revision; unique for each attempt
	Body  []byte // at most 64 KiB of JSON
}

// Write is one conditional write.
type Write struct {
	Item Item
	// IfRev is the revision that the item must have; zero means that it must not exist. The write
	// stores Rev = IfRev+1.
	IfRev uint64
	// CheckOnly only checks the condition and stores nothing.
	CheckOnly bool
	// Delete removes the item under the same condition.
	Delete bool
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one item consistently, or returns ErrNoItem.
	Get(ctx context.Context, key Key) (Item, error)
	// Query reads consistently the items of a partition whose sort key is greater than after, in
	// ascending order, at most limit.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Apply performs all writes or none. It takes up to 100 writes with distinct keys. If a
	// condition fails, it returns a *ConditionError, which matches ErrCondition.
	Apply(ctx context.Context, writes ...Write) error
}

// Restorable is a Table whose service may be restored from a backup: writes since the backup are
// lost, and their revisions are assigned again.
type Restorable interface {
	// Generation grows with each restore that this process has seen in answers. A value above 1
	// means that the table was restored; at 1 or below it may never have been.
	Generation() uint64
}

// ConditionError lists the writes of an Apply whose conditions failed.
type ConditionError struct {
	Failed []int // indexes into the writes, ascending, not empty
}

func (e *ConditionError) Error() string { return ErrCondition.Error() }

// Is matches ErrCondition.
func (e *ConditionError) Is(target error) bool { return target == ErrCondition }
