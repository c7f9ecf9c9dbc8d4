package readback

import (
	"context"
	"errors"
	"fmt"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultResends bounds how often one write is sent again: a store that loses four answers in a row
// is considered down, and the outcome is reported as unknown.
const defaultResends = 3

// Table reads back writes of unknown outcome. Apply returns nil, a failed condition,
// carawayspread.ErrUnavailable if nothing was ever sent, or an error that matches none of these, in
// which case the outcome is unknown.
type Table struct {
	carawayspread.Table
	backoff *backoff.Backoff // before a write is sent again, so that a slow store gets no burst of copies
	resends int
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithResends bounds how often one write is sent again.
func WithResends(n int) Option { return func(t *Table) { t.resends = n } }

// New returns inner with read-back.
func New(inner carawayspread.Table, backoff *backoff.Backoff, opts ...Option) *Table {
	t := &Table{Table: inner, backoff: backoff, resends: defaultResends}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Apply performs all writes or none. Every write but deletions and checks needs a token that no
// other attempt uses.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	err := t.Table.Apply(ctx, writes...)
	if outcomeKnown(err) {
		return err
	}
	return t.resolve(ctx, writes, err)
}

// outcomeKnown reports whether the first attempt's error determines the outcome of the write.
func outcomeKnown(err error) bool {
	return err == nil || errors.Is(err, carawayspread.ErrCondition) || errors.Is(err, carawayspread.ErrUnavailable)
}

// resolve determines the outcome of writes that were sent at least once and may still be in flight.
// It must not return ErrUnavailable: that a later copy was not sent says nothing about the first.
func (t *Table) resolve(ctx context.Context, writes []carawayspread.Write, cause error) error {
	var refused *carawayspread.ConditionError // of the latest copy
	for resend := 0; ; resend++ {
		found, err := t.inspect(ctx, writes)
		if err != nil {
			return unknownOutcome(cause, err)
		}
		switch found.state {
		case written:
			return nil
		case superseded:
			return &carawayspread.ConditionError{Failed: []int{found.index}}
		case undetermined:
			return unknownOutcome(cause, errOverwritten)
		}
		if refused != nil {
			// The write has not taken effect even though a copy met a failed condition. The
			// condition remains failed, as revisions only grow, so no copy can take effect any
			// more.
			return refused
		}
		if resend == t.resends || !t.backoff.Wait(ctx, resend+1) {
			return unknownOutcome(cause, errResends)
		}
		err = t.Table.Apply(ctx, writes...)
		if err == nil {
			return nil
		}
		errors.As(err, &refused)
	}
}

var (
	errOverwritten = errors.New("the item has been written again since")
	errResends     = errors.New("the write has not taken effect after the last allowed resend")
)

// unknownOutcome hides the kinds of both errors: an error of one step may state a known outcome of
// that step, but the outcome of the whole write is unknown.
func unknownOutcome(cause, err error) error {
	return fmt.Errorf("outcome of the write is unknown: %v; reading back: %v", cause, err)
}
