package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"carawayspread"
)

const (
	flushInterval = time.Second
	// queueLimit bounds the outcomes that are kept during an outage. The claims of those that do
	// not fit become unknown after their deadline.
	queueLimit = 4096
	// flushBatch bounds the writes of one flush, so that entries do not overload a store that has
	// just recovered.
	flushBatch = 16
)

// pendingOutcome is an outcome that could not be written.
type pendingOutcome struct {
	key     carawayspread.Key
	rev     uint64 // of the claim, or of the record before a claim of unknown outcome
	token   string // of a claim of unknown outcome; empty otherwise
	outcome record
}

// outcomeQueue holds the outcomes that are still to be written. It is safe for concurrent use.
type outcomeQueue struct {
	mu       sync.Mutex
	outcomes []pendingOutcome
}

func newOutcomeQueue() *outcomeQueue { return &outcomeQueue{} }

func (q *outcomeQueue) add(o pendingOutcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.outcomes) < queueLimit {
		q.outcomes = append(q.outcomes, o)
	}
}

func (q *outcomeQueue) take(n int) []pendingOutcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.outcomes))
	taken := append([]pendingOutcome(nil), q.outcomes[:n]...)
	q.outcomes = append([]pendingOutcome(nil), q.outcomes[n:]...)
	return taken
}

// Run writes the queued outcomes at intervals until ctx ends, and then once more.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-l.clock.After(flushInterval):
			l.flush(ctx)
		case <-ctx.Done():
			l.flush(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (l *Ledger) flush(ctx context.Context) {
	for _, o := range l.queue.take(flushBatch) {
		if !l.writePending(ctx, o) {
			l.queue.add(o)
		}
	}
}

// writePending writes one outcome; it returns false if the write must be tried again.
//
// A claim of unknown outcome can still take effect. If the record has not changed since, the outcome
// takes the revision that the claim needs, so that a delayed claim fails.
func (l *Ledger) writePending(ctx context.Context, o pendingOutcome) bool {
	rev := o.rev
	if o.token != "" {
		item, err := l.get(ctx, o.key)
		switch {
		case errors.Is(err, carawayspread.ErrNoItem):
		case err != nil:
			return false
		case item.Token == o.token:
			rev = item.Rev
		case item.Rev > o.rev:
			return true
		}
	}
	err := l.put(ctx, o.key, rev, uuid.NewString(), l.withExpiry(o.outcome))
	return err == nil || (o.token == "" && errors.Is(err, carawayspread.ErrCondition))
}
