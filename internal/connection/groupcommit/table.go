package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"carawayspread"
)

const (
	maxGroup = 100     // the service's limit on a transaction
	maxBytes = 3 << 20 // the service's limit is 4 MiB, and a body adds up to 64 KiB
	// defaultWindow costs a claim little beside a store that takes 5 ms or
	// more, and gathers the claims that arrive within that time.
	defaultWindow = 3 * time.Millisecond
	// defaultSpacing bounds a process to ten groups a second, so 35 entries to
	// 350 requests a second whatever their callers send.
	defaultSpacing  = 100 * time.Millisecond
	defaultInFlight = 4
	// defaultWaiting holds a second of the store's whole rate of writes.
	defaultWaiting = 1000
	// defaultTimeout bounds a group with its repeats and its read-back.
	defaultTimeout = 10 * time.Second
)

var errFull = errors.New("too many writes are waiting")

// Table groups the single writes of the table that it wraps. Reads and
// transactions pass through. It is safe for concurrent use.
type Table struct {
	carawayspread.Table
	clock    carawayspread.Clock
	window   time.Duration // not negative
	spacing  time.Duration // between departures of groups that are not full; not negative
	timeout  time.Duration
	waiting  int           // at most so many writes wait or are in flight
	inFlight chan struct{} // one element for each group in flight

	mu      sync.Mutex
	pending int       // writes that wait or are in flight
	open    *group    // takes further writes; nil when there is none
	departs time.Time // when the newest group leaves, unless it is full before
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithWindow sets how long the first write of a group waits for others.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithSpacing sets the least time between two groups that are not full.
func WithSpacing(d time.Duration) Option { return func(t *Table) { t.spacing = d } }

// WithInFlight sets how many groups are in flight at most.
func WithInFlight(n int) Option {
	return func(t *Table) { t.inFlight = make(chan struct{}, n) }
}

// WithWaiting sets how many writes wait or are in flight at most.
func WithWaiting(n int) Option { return func(t *Table) { t.waiting = n } }

// WithTimeout bounds one group with its repeats.
func WithTimeout(d time.Duration) Option { return func(t *Table) { t.timeout = d } }

// New returns inner with grouped writes.
func New(inner carawayspread.Table, clock carawayspread.Clock, opts ...Option) *Table {
	t := &Table{
		Table:    inner,
		clock:    clock,
		window:   defaultWindow,
		spacing:  defaultSpacing,
		timeout:  defaultTimeout,
		waiting:  defaultWaiting,
		inFlight: make(chan struct{}, defaultInFlight),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Apply carries out all writes or none. A caller whose context ends gets
// carawayspread.ErrUnavailable while its write waits, and an unknown outcome
// once the write is in flight.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if len(writes) != 1 {
		return t.Table.Apply(ctx, writes...)
	}
	e, err := t.enter(ctx, writes[0])
	if err != nil {
		return err
	}
	if e == nil { // its key is in the open group
		return t.Table.Apply(ctx, writes...)
	}
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return e.abandon(ctx.Err())
	}
}

// enter puts a write into the open group; a nil entry means that the group
// holds a write of the same key.
func (t *Table) enter(ctx context.Context, w carawayspread.Write) (*entry, error) {
	if err := ctx.Err(); err != nil {
		return nil, unavailable(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending >= t.waiting {
		return nil, unavailable(errFull)
	}
	if t.open != nil && t.open.has(w.Item.Key) {
		return nil, nil
	}
	if t.open == nil {
		t.open = newGroup()
		go t.lead(t.open, t.schedule())
	}
	t.pending++
	e := t.open.add(w)
	if t.open.isFull() {
		t.closeGroup(t.open)
	}
	return e, nil
}

// schedule returns how long a new group waits for further writes. The caller
// holds mu.
func (t *Table) schedule() time.Duration {
	now := t.clock.Now()
	earliest := t.departs.Add(t.spacing)
	t.departs = now.Add(t.window)
	if t.departs.Before(earliest) {
		t.departs = earliest
	}
	return t.departs.Sub(now)
}

// closeGroup lets a group take no further writes. The caller holds mu.
func (t *Table) closeGroup(g *group) {
	if t.open == g {
		t.open = nil
		close(g.full)
	}
}

// lead waits for the group to fill and for a place in flight, and sends it.
func (t *Table) lead(g *group, wait time.Duration) {
	select {
	case <-g.full:
	case <-t.clock.After(wait):
	}
	t.inFlight <- struct{}{}
	t.mu.Lock()
	t.closeGroup(g)
	t.mu.Unlock()
	t.send(g.take())
	<-t.inFlight
	t.mu.Lock()
	t.pending -= len(g.entries)
	t.mu.Unlock()
}

// send carries out the entries. It has its own context: a caller that goes
// away must not end the writes of others.
func (t *Table) send(entries []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	for len(entries) > 0 {
		err := t.Table.Apply(ctx, writesOf(entries)...)
		var condition *carawayspread.ConditionError
		if !errors.As(err, &condition) {
			finish(entries, err)
			return
		}
		entries = dropFailed(entries, condition)
	}
}

func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", carawayspread.ErrUnavailable, cause)
}
