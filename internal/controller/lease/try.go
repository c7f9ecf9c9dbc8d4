package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
)

// leaseRecord is the body of both items.
type leaseRecord struct {
	Holder string `json:"holder"` // empty after a release
	Epoch  uint64 `json:"epoch"`
	TermMs int64  `json:"termMs"` // how long the holder may consider it valid
	// Witnesses are the addresses of those whose promises extend the base term up to TermMs.
	Witnesses []string `json:"witnesses,omitempty"`
	BaseMs    int64    `json:"baseMs,omitempty"`
	// Generation is that of the table in which a record with witnesses was written.
	Generation uint64 `json:"generation,omitempty"`
}

// Try renews the lease if it is held and otherwise tries to acquire it. It returns ErrHeld while
// another process may hold it. After any other error the outcome of the write is unknown and the
// validity of the lease has not changed.
func (l *Lease) Try(ctx context.Context) error {
	if t := l.held.Load(); t != nil {
		return l.renew(ctx, t)
	}
	return l.acquire(ctx)
}

// observeGeneration records a new generation of the table and drops the tenure that was written in
// the generation before, which the restore may have removed from the table.
//
// A restore may remove the record of a holder and leave one that is free or has the revision that
// the holder last wrote, so that two processes would hold the lease. Therefore every process waits
// for a term after it has seen the new generation: a former holder has stopped acting by then, and
// any other holder's record has been observed for a full term.
func (l *Lease) observeGeneration() (changed bool) {
	generation := l.tableGeneration()
	if l.tableSeen && generation == l.generation {
		return false
	}
	changed = l.tableSeen || generation > 1
	l.tableSeen, l.generation = true, generation
	if changed {
		l.restoredAt, l.lastSeen = l.clock.Now(), observation{} // its revision may be assigned again
		l.noteFormerHolder(l.held.Swap(nil))
		l.restoreWait = l.term + l.term/driftDivisor
		if !l.wasHolder {
			l.restoreWait += l.term / restoreGraceDivisor
		}
		if !l.wasHolder && l.witnesses != nil {
			// A holder that the table does not answer knows nothing of the restore.
			l.restoreWait = l.longTerm + l.longTerm/driftDivisor
		}
	}
	return changed
}

// inRestoreWait reports whether acquisition is blocked after a restore: a holder may still act on a
// tenure that the restore removed, or the last holder, the only one that knows what was written
// under it, has precedence.
func (l *Lease) inRestoreWait() bool {
	return !l.restoredAt.IsZero() && l.clock.Now().Sub(l.restoredAt) < l.restoreWait
}

// Release releases the lease, so that a successor need not wait for the term to end.
func (l *Lease) Release(ctx context.Context) error {
	t := l.drop()
	if t == nil || l.hasPending() {
		return nil
	}
	write, err := l.write(sortHolder, t.rev, leaseRecord{Epoch: t.epoch})
	if err != nil {
		return err
	}
	return trace.Wrap(l.table.Apply(ctx, write))
}

func (l *Lease) renew(ctx context.Context, t *tenure) error {
	next := l.record(t.epoch, l.chooseWitnesses(t.witnesses))
	write, err := l.write(sortHolder, t.rev, next)
	if err != nil {
		return err
	}
	l.unsettle(t, next.Witnesses)
	sentAt := l.clock.Now()
	err = l.table.Apply(ctx, write)
	if l.observeGeneration() {
		return ErrHeld
	}
	if err == nil {
		l.hold(&tenure{epoch: t.epoch, generation: t.generation, rev: t.rev + 1, since: sentAt, witnesses: next.Witnesses})
		return nil
	}
	item, record, readErr := l.read(ctx)
	switch {
	case l.observeGeneration():
		return ErrHeld
	case readErr != nil:
		return trace.Wrap(err)
	case record.Holder != l.holder || record.Epoch != t.epoch:
		l.drop()
		return ErrHeld
	case item.Token == write.Item.Token:
		l.hold(&tenure{epoch: t.epoch, generation: t.generation, rev: item.Rev, since: sentAt, witnesses: record.Witnesses})
		return nil
	case item.Rev == t.rev:
		return trace.Wrap(err) // the write may take effect yet
	}
	// An earlier write of this process took effect late. Its send time is no longer known, so
	// the term still counts from the last known one.
	l.hold(&tenure{epoch: t.epoch, generation: t.generation, rev: item.Rev, since: t.since, witnesses: record.Witnesses})
	return trace.Wrap(err)
}

func (l *Lease) acquire(ctx context.Context) error {
	item, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.observeGeneration()
	if l.inRestoreWait() && !l.writtenSinceRestore(record) || !l.vacant(item, record) && !l.vacated(ctx, item, record) {
		return ErrHeld
	}
	generation := l.generation
	next := l.record(record.Epoch+1, l.chooseWitnesses(record.Witnesses))
	holder, err := l.write(sortHolder, item.Rev, next)
	if err != nil {
		return err
	}
	epoch, err := l.write(sortEpoch, record.Epoch, next)
	if err != nil {
		return err
	}
	sentAt := l.clock.Now()
	err = l.table.Apply(ctx, holder, epoch)
	if err != nil {
		err = l.resolve(ctx, holder.Item.Token, err)
	}
	if err != nil {
		return err
	}
	if l.observeGeneration() || l.generation != generation {
		return trace.Wrap(errRestored)
	}
	l.hold(&tenure{epoch: next.Epoch, generation: generation, rev: item.Rev + 1, since: sentAt, witnesses: next.Witnesses})
	l.wasHolder = false // until the next restore
	return nil
}

// resolve reads back the outcome of an acquisition that returned an error. The token identifies the
// write.
//
// If the response is lost after the write took effect, nobody would hold the lease for a whole term
// without the read-back.
func (l *Lease) resolve(ctx context.Context, token string, err error) error {
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

// vacant reports whether the lease may be acquired: it was never held, it was released, this
// process acquired it in a write whose response was lost, or its record has been unchanged for
// longer than its holder considers it valid.
func (l *Lease) vacant(item carawayspread.Item, record leaseRecord) bool {
	if record.Holder == l.holder {
		return true
	}
	now := l.clock.Now()
	if l.lastSeen.rev != item.Rev {
		l.lastSeen = observation{rev: item.Rev, at: now}
	}
	term := record.term()
	vacant := record.Holder == "" || now.Sub(l.lastSeen.at) >= term+term/driftDivisor
	if vacant && l.witnesses != nil {
		l.witnesses.Reset()
	}
	return vacant
}

// read returns the holder item and its record; both are zero if there is none.
func (l *Lease) read(ctx context.Context) (carawayspread.Item, leaseRecord, error) {
	var record leaseRecord
	item, err := l.table.Get(ctx, l.key(sortHolder))
	if errors.Is(err, carawayspread.ErrNoItem) {
		return carawayspread.Item{}, record, nil
	}
	if err != nil {
		return item, record, trace.Wrap(err)
	}
	return item, record, trace.Wrap(json.Unmarshal(item.Body, &record))
}

func (l *Lease) write(sort string, ifRev uint64, record leaseRecord) (carawayspread.Write, error) {
	body, err := json.Marshal(record)
	item := carawayspread.Item{Key: l.key(sort), Token: uuid.NewString(), Body: body}
	return carawayspread.Write{Item: item, IfRev: ifRev}, trace.Wrap(err)
}
