package readback

import (
	"context"
	"errors"
	"fmt"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// defaultResends bounds how often one write is sent again: a store that loses
// four answers in a row is down, and its callers are told unknown.
const defaultResends = 3

// Table reads back writes of unknown outcome. Its writes end in success, in a
// failed condition, in carawayspread.ErrUnavailable where nothing was ever
// sent, or in an error that matches none of these: the outcome is unknown.
type Table struct {
	carawayspread.Table
	backoff *backoff.Backoff // before a write is sent again: a slow store gets no burst of copies
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

// Apply carries out all writes or none. Every write but deletions and checks
// needs a token that no other attempt has.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	err := t.Table.Apply(ctx, writes...)
	if known(err) {
		return err
	}
	return t.resolve(ctx, writes, err)
}

// known reports whether the first sending tells what became of the write.
func known(err error) bool {
	return err == nil || errors.Is(err, carawayspread.ErrCondition) || errors.Is(err, carawayspread.ErrUnavailable)
}

// resolve decides the outcome of writes that were sent at least once and may
// still be under way. It must not return ErrUnavailable: that a later copy was
// not sent says nothing of the first.
func (t *Table) resolve(ctx context.Context, writes []carawayspread.Write, cause error) error {
	var refused *carawayspread.ConditionError // of the latest copy
	for resend := 0; ; resend++ {
		found, err := t.inspect(ctx, writes)
		if err != nil {
			return unknown(cause, err)
		}
		switch found.state {
		case written:
			return nil
		case lost:
			return &carawayspread.ConditionError{Failed: []int{found.index}}
		case overwritten:
			return unknown(cause, errOverwritten)
		}
		if refused != nil {
			// Not in effect even after a copy met a failed condition. The
			// condition stays failed, as revisions only grow, so no copy
			// can take effect any more.
			return refused
		}
		if resend == t.resends || !t.backoff.Wait(ctx, resend+1) {
			return unknown(cause, errResends)
		}
		err = t.Table.Apply(ctx, writes...)
		if err == nil {
			return nil
		}
		errors.As(err, &refused)
	}
}

var (
	errOverwritten = errors.New("the item has been written since")
	errResends     = errors.New("not in effect so far, and sent often enough")
)

// unknown hides the kinds of both errors: whatever a part of the attempt knew,
// the whole of it knows nothing.
func unknown(cause, err error) error {
	return fmt.Errorf("outcome of the write is unknown: %v; reading back: %v", cause, err)
}
