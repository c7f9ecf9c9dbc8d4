package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
)

// entry is the body of both items.
type entry struct {
	Holder string `json:"holder"` // empty after a release
	Epoch  uint64 `json:"epoch"`
	TermMs int64  `json:"termMs"` // how long the holder counts on it
}

// Try renews the lease, or acquires it where that is due. It returns ErrHeld
// while another process may hold it; any other error leaves the outcome of the
// write unknown, and the lease as valid as it was before.
func (l *Lease) Try(ctx context.Context) error {
	if t := l.held.Load(); t != nil {
		return l.renew(ctx, t)
	}
	return l.acquire(ctx)
}

// observeGeneration takes note of a new generation of the table. The tenure that was written in the
// one before may be gone from the table, and is dropped.
//
// Failure: the record of a holder is gone, and the one in its place is free or has the
// revision that the holder last wrote. Symptom: two processes hold the lease. Both wait
// out a term from when they see the new generation: the one acts no more by then, and
// the other's record has been seen for as long as any.
func (l *Lease) observeGeneration() (changed bool) {
	generation := l.tableGeneration()
	if l.hasMet && generation == l.generation {
		return false
	}
	changed = l.hasMet || generation > 1
	l.hasMet, l.generation = true, generation
	if changed {
		l.restored, l.seen = l.clock.Now(), sighting{} // its revision is given out again
		l.settling = l.term + l.term/driftPart
		if l.held.Swap(nil) != nil {
			l.wasHolder = true
		}
		if !l.wasHolder {
			l.settling += l.term / othersPart
		}
	}
	return changed
}

// isSettling reports whether a tenure that is gone from the table may still be acted on, or
// whether its holder, which alone knows what was written under it, comes first.
func (l *Lease) isSettling() bool {
	return !l.restored.IsZero() && l.clock.Now().Sub(l.restored) < l.settling
}

// Release gives the lease up at once, so that a successor need not wait.
func (l *Lease) Release(ctx context.Context) error {
	t := l.held.Swap(nil)
	if t == nil {
		return nil
	}
	write, err := l.write(sortHolder, t.rev, entry{Epoch: t.epoch})
	if err != nil {
		return err
	}
	return trace.Wrap(l.table.Apply(ctx, write))
}

func (l *Lease) renew(ctx context.Context, t *tenure) error {
	write, err := l.write(sortHolder, t.rev, entry{Holder: l.holder, Epoch: t.epoch, TermMs: l.term.Milliseconds()})
	if err != nil {
		return err
	}
	sent := l.clock.Now()
	err = l.table.Apply(ctx, write)
	if l.observeGeneration() {
		return ErrHeld
	}
	if err == nil {
		l.held.Store(&tenure{epoch: t.epoch, generation: t.generation, rev: t.rev + 1, since: sent})
		return nil
	}
	item, record, readErr := l.read(ctx)
	switch {
	case l.observeGeneration():
		return ErrHeld
	case readErr != nil:
		return trace.Wrap(err)
	case record.Holder != l.holder || record.Epoch != t.epoch:
		l.held.Store(nil)
		return ErrHeld
	case item.Token == write.Item.Token:
		l.held.Store(&tenure{epoch: t.epoch, generation: t.generation, rev: item.Rev, since: sent})
		return nil
	}
	// An earlier write of ours may have arrived late. When it was sent is no
	// longer known, so the term goes on from the last one that is.
	l.held.Store(&tenure{epoch: t.epoch, generation: t.generation, rev: item.Rev, since: t.since})
	return trace.Wrap(err)
}

func (l *Lease) acquire(ctx context.Context) error {
	item, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.observeGeneration()
	if l.isSettling() || !l.vacant(item, record) {
		return ErrHeld
	}
	generation := l.generation
	next := entry{Holder: l.holder, Epoch: record.Epoch + 1, TermMs: l.term.Milliseconds()}
	holder, err := l.write(sortHolder, item.Rev, next)
	if err != nil {
		return err
	}
	epoch, err := l.write(sortEpoch, record.Epoch, next)
	if err != nil {
		return err
	}
	sent := l.clock.Now()
	err = l.table.Apply(ctx, holder, epoch)
	if err != nil {
		err = l.settle(ctx, holder.Item.Token, err)
	}
	if err != nil {
		return err
	}
	if l.observeGeneration() || l.generation != generation {
		return trace.Wrap(errRestored)
	}
	l.held.Store(&tenure{epoch: next.Epoch, generation: generation, rev: item.Rev + 1, since: sent})
	l.wasHolder = false // until the next restore
	return nil
}

// settle finds out what became of an acquisition that did not succeed openly.
//
// Failure: the answer is lost after the write took effect. Symptom: nobody
// holds the lease for a whole term. The token shows whose write it was.
func (l *Lease) settle(ctx context.Context, token string, err error) error {
	item, _, readErr := l.read(ctx)
	switch {
	case readErr != nil:
		return trace.Wrap(err)
	case item.Token == token:
		return nil
	case errors.Is(err, carawayspread.ErrCondition):
		return ErrHeld
	}
	return trace.Wrap(err)
}

// vacant reports whether the record may be taken over: it is free, released,
// left by an acquisition of this process whose answer was lost, or has been
// seen unchanged for longer than its holder counts on it.
func (l *Lease) vacant(item carawayspread.Item, record entry) bool {
	if record.Holder == "" || record.Holder == l.holder {
		return true
	}
	now := l.clock.Now()
	if l.seen.rev != item.Rev {
		l.seen = sighting{rev: item.Rev, at: now}
	}
	term := record.term()
	return now.Sub(l.seen.at) >= term+term/driftPart
}

// read returns the holder item; a zero item and entry where there is none.
func (l *Lease) read(ctx context.Context) (carawayspread.Item, entry, error) {
	var record entry
	item, err := l.table.Get(ctx, l.key(sortHolder))
	if errors.Is(err, carawayspread.ErrNoItem) {
		return carawayspread.Item{}, record, nil
	}
	if err != nil {
		return item, record, trace.Wrap(err)
	}
	return item, record, trace.Wrap(json.Unmarshal(item.Body, &record))
}

func (l *Lease) write(sort string, ifRev uint64, record entry) (carawayspread.Write, error) {
	body, err := json.Marshal(record)
	item := carawayspread.Item{Key: l.key(sort), Token: uuid.NewString(), Body: body}
	return carawayspread.Write{Item: item, IfRev: ifRev}, trace.Wrap(err)
}
