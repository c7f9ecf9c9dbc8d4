package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/process/entry"
)

// Claim is the right to run one request. Its methods return nil if the outcome that was to be
// recorded may be reported to the caller, and otherwise the *carawayspread.Error to report instead.
type Claim struct {
	ledger   *Ledger
	key      carawayspread.Key
	rev      uint64    // of the claim's record
	hash     uint64    // fingerprint of the request
	deadline time.Time // afterwards other requests may write unknown
	// mayBeDone is set once the record of a complete answer may or may not have been written. The
	// record may then be done, so no other outcome may be reported.
	mayBeDone atomic.Bool
}

// Done records the complete answer.
//
// If the store cannot be reached and the deadline is not near, unknown cannot have been reported to
// a retry yet: the caller gets its answer, and the record is written later. After the deadline
// unknown may have been reported, so the answer may not be delivered until the record has been read.
func (c *Claim) Done(ctx context.Context, answer entry.Stored) error {
	outcome, err := c.ledger.storeAnswer(ctx, c, answer)
	if err != nil {
		// The answer cannot be stored. This caller still gets it; a retry gets unknown.
		outcome = record{State: unknown, Hash: c.hash}
	}
	known, err := c.writeOutcome(ctx, outcome)
	if known {
		return err
	}
	if c.ledger.clock.Now().Before(c.deadline.Add(-2 * maxClockSkew)) {
		return nil
	}
	c.mayBeDone.Store(true)
	return unavailable(err)
}

// Failed records that the request is proven not to have run. This remains true if the record cannot
// be written: only this claimant may send the request, and it will not.
func (c *Claim) Failed(ctx context.Context) error {
	known, err := c.writeOutcome(ctx, record{State: notRun, Hash: c.hash})
	if known {
		return err
	}
	return nil
}

// Unknown records that the outcome cannot be known. If the record cannot be written, it becomes
// unknown after its deadline, since nobody else writes another outcome, unless an answer may have
// been recorded before.
func (c *Claim) Unknown(ctx context.Context) error {
	known, err := c.writeOutcome(ctx, record{State: unknown, Hash: c.hash})
	if known {
		return err
	}
	if c.mayBeDone.Load() {
		return unavailable(err)
	}
	return nil
}

// writeOutcome writes the outcome if the record still has the revision of the claim. known is false
// if neither the write nor reading the record back shows what the record holds.
func (c *Claim) writeOutcome(ctx context.Context, outcome record) (known bool, err error) {
	outcome = c.ledger.withExpiry(outcome)
	token := uuid.NewString()
	err = c.ledger.put(ctx, c.key, c.rev, token, outcome)
	if err == nil {
		return true, nil
	}
	item, readErr := c.ledger.get(ctx, c.key)
	switch {
	case readErr == nil && item.Token == token:
		return true, nil
	case readErr == nil && item.Rev > c.rev:
		return true, c.conflictError(item)
	case errors.Is(err, carawayspread.ErrCondition):
		return true, unknownOutcome()
	}
	c.ledger.queue.add(pendingOutcome{key: c.key, rev: c.rev, outcome: outcome})
	return false, err
}

// conflictError returns the error to report if the record was changed by someone else.
func (c *Claim) conflictError(item carawayspread.Item) error {
	r, err := decode(item)
	switch {
	case err != nil:
		return unavailable(err)
	case r.State == unknown:
		return unknownOutcome()
	}
	return carawayspread.NewError(carawayspread.CodeInProgress,
		"another sending with this idempotency key goes on", carawayspread.RetryAfter(inProgressRetryAfter))
}
