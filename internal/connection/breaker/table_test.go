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

// store counts writes and answers all of them with the same error.
type store struct {
	carawayspread.Table
	err   error
	calls int
}

func (s *store) Apply(context.Context, ...carawayspread.Write) error {
	s.calls++
	return s.err
}

// The store is down for an hour while a caller writes every second. After the first failures
// callers must be refused at once, with an error that states that the write was not sent and when
// to retry but claims nothing about the request behind the write. The store receives only
// occasional probes, and the first probe after its recovery ends the refusals.
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
		var withRetryAfter interface{ RetryAfter() time.Duration }
		qt.Assert(t, errors.As(err, &withRetryAfter), qt.IsTrue)
		qt.Assert(t, withRetryAfter.RetryAfter() > 0 && withRetryAfter.RetryAfter() <= limit, qt.IsTrue)
		_, isCallerError := carawayspread.AsError(err)
		qt.Assert(t, isCallerError, qt.IsFalse)
	}
	qt.Check(t, refused+s.calls, qt.Equals, 3600)
	qt.Check(t, s.calls < 400, qt.IsTrue, qt.Commentf("%d writes reached the store", s.calls))
	s.err = nil
	clock.Advance(limit)
	for range 10 {
		qt.Check(t, table.Apply(ctx), qt.IsNil)
	}
}

// A caller cancels its calls again and again while the store is slow but works. Guards against
// counting these as failures, which would refuse the requests of other callers.
func TestCancelledCallsAreNoOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &store{err: context.Canceled}
	table := New(s, clock, backoff.New(clock, time.Minute, time.Minute))
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		qt.Assert(t, table.Apply(cancelled), qt.ErrorIs, context.Canceled)
	}
	s.err = nil
	qt.Check(t, table.Apply(context.Background()), qt.IsNil)
}
