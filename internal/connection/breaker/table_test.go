package breaker

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

// store counts writes and answers all with one error.
type store struct {
	carawayspread.Table
	err   error
	calls int
}

func (s *store) Apply(context.Context, ...carawayspread.Write) error {
	s.calls++
	return s.err
}

// The store is down for an hour while a caller writes every second. After the
// first failures callers are refused at once, as not written and with the time
// to come back, but without a word on the request behind the write; the store
// sees a trial now and then. Once it is back, the next trial ends the refusals.
func TestOutage(t *testing.T) {
	const limit = time.Minute
	clock := clockwork.NewFakeClock()
	s := &store{err: errors.New("no answer")}
	table := New(s, clock, backoff.New(clock, limit, limit))
	ctx := context.Background()
	refused := 0
	for range 3600 {
		clock.Advance(time.Second)
		err := table.Apply(ctx)
		if !errors.Is(err, carawayspread.ErrUnavailable) {
			continue
		}
		refused++
		var timed interface{ RetryAfter() time.Duration }
		qt.Assert(t, errors.As(err, &timed), qt.IsTrue)
		qt.Assert(t, timed.RetryAfter() > 0 && timed.RetryAfter() <= limit, qt.IsTrue)
		_, final := carawayspread.AsError(err)
		qt.Assert(t, final, qt.IsFalse)
	}
	qt.Check(t, refused+s.calls, qt.Equals, 3600)
	qt.Check(t, s.calls < 400, qt.IsTrue, qt.Commentf("%d writes reached the store", s.calls))
	s.err = nil
	clock.Advance(limit)
	for range 10 {
		qt.Check(t, table.Apply(ctx), qt.IsNil)
	}
}

// A caller with little patience goes away again and again while the store is
// slow but well. That must not cut off the others.
func TestImpatientCallerIsNoOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &store{err: context.Canceled}
	table := New(s, clock, backoff.New(clock, time.Minute, time.Minute))
	gone, leave := context.WithCancel(context.Background())
	leave()
	for range 100 {
		qt.Assert(t, table.Apply(gone), qt.ErrorIs, context.Canceled)
	}
	s.err = nil
	qt.Check(t, table.Apply(context.Background()), qt.IsNil)
}
