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
	// defaultWindow adds little to a claim at a store that takes 5 ms or more, and groups the
	// claims that arrive within that time.
	defaultWindow = 3 * time.Millisecond
	// defaultSpacing bounds a process to ten groups a second, so 35 entries to 350 requests a
	// second whatever load their callers cause.
	defaultSpacing     = 100 * time.Millisecond
	defaultMaxInFlight = 4
	// defaultMaxPending is one second of writes at the store's full rate.
	defaultMaxPending = 1000
	// defaultTimeout bounds a group with its retries and its read-back.
	defaultTimeout = 10 * time.Second
)

var errFull = errors.New("too many writes are waiting")

// Table groups the single writes of the table that it wraps. Reads and transactions are passed on
// unchanged. It is safe for concurrent use.
type Table struct {
	carawayspread.Table
	clock      carawayspread.Clock
	window     time.Duration // not negative
	spacing    time.Duration // least time between groups that are not full; not negative
	timeout    time.Duration
	maxPending int           // most writes that wait or are in flight
	slots      chan struct{} // one element for each group in flight

	mu       sync.Mutex
	pending  int       // writes that wait or are in flight
	open     *group    // accepts writes; nil if there is none
	nextSend time.Time // when the newest group is sent, unless it is full earlier
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithWindow sets how long the first write of a group waits for others.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithSpacing sets the least time between two groups that are not full.
func WithSpacing(d time.Duration) Option { return func(t *Table) { t.spacing = d } }

// WithMaxInFlight sets the most groups in flight.
func WithMaxInFlight(n int) Option {
	return func(t *Table) { t.slots = make(chan struct{}, n) }
}

// WithMaxPending sets the most writes that wait or are in flight.
func WithMaxPending(n int) Option { return func(t *Table) { t.maxPending = n } }

// WithTimeout bounds one group with its retries.
func WithTimeout(d time.Duration) Option { return func(t *Table) { t.timeout = d } }

// New returns inner with grouped writes.
func New(inner carawayspread.Table, clock carawayspread.Clock, opts ...Option) *Table {
	t := &Table{
		Table:      inner,
		clock:      clock,
		window:     defaultWindow,
		spacing:    defaultSpacing,
		timeout:    defaultTimeout,
		maxPending: defaultMaxPending,
		slots:      make(chan struct{}, defaultMaxInFlight),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Apply performs all writes or none. If ctx ends, it returns carawayspread.ErrUnavailable while the
// write waits, and an error of unknown outcome once the write is in flight.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if len(writes) != 1 {
		return t.Table.Apply(ctx, writes...)
	}
	e, err := t.enqueue(ctx, writes[0])
	if err != nil {
		return err
	}
	if e == nil { // the open group has a write of its key
		return t.Table.Apply(ctx, writes...)
	}
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return e.abandon(ctx.Err())
	}
}

// enqueue adds a write to the open group; a nil entry means that the group holds a write of the
// same key.
func (t *Table) enqueue(ctx context.Context, w carawayspread.Write) (*entry, error) {
	if err := ctx.Err(); err != nil {
		return nil, unavailable(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending >= t.maxPending {
		return nil, unavailable(errFull)
	}
	if t.open != nil && t.open.has(w.Item.Key) {
		return nil, nil
	}
	if t.open == nil {
		t.open = newGroup()
		go t.run(t.open, t.scheduleSend())
	}
	t.pending++
	e := t.open.add(w)
	if t.open.isFull() {
		t.closeGroup(t.open)
	}
	return e, nil
}

// scheduleSend returns how long a new group waits for further writes. The caller holds mu.
func (t *Table) scheduleSend() time.Duration {
	now := t.clock.Now()
	earliest := t.nextSend.Add(t.spacing)
	t.nextSend = now.Add(t.window)
	if t.nextSend.Before(earliest) {
		t.nextSend = earliest
	}
	return t.nextSend.Sub(now)
}

// closeGroup makes a group accept no further writes. The caller holds mu.
func (t *Table) closeGroup(g *group) {
	if t.open == g {
		t.open = nil
		close(g.full)
	}
}

// run waits until the group is full or its wait has ended and a slot is free, and sends the group.
func (t *Table) run(g *group, wait time.Duration) {
	select {
	case <-g.full:
	case <-t.clock.After(wait):
	}
	t.slots <- struct{}{}
	t.mu.Lock()
	t.closeGroup(g)
	t.mu.Unlock()
	t.send(g.take())
	<-t.slots
	t.mu.Lock()
	t.pending -= len(g.entries)
	t.mu.Unlock()
}

// send performs the entries. It has its own context: cancellation by one caller must not end the
// writes of others.
func (t *Table) send(entries []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	for len(entries) > 0 {
		err := t.Table.Apply(ctx, writesOf(entries)...)
		var condition *carawayspread.ConditionError
		if !errors.As(err, &condition) {
			complete(entries, err)
			return
		}
		entries = dropFailed(entries, condition)
	}
}

func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", carawayspread.ErrUnavailable, cause)
}
