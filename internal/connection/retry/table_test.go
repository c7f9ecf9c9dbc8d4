package retry

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// failingTable counts requests and fails all of them with the same error.
type failingTable struct {
	carawayspread.Table
	err   error
	calls int
}

func (f *failingTable) Get(context.Context, carawayspread.Key) (carawayspread.Item, error) {
	f.calls++
	return carawayspread.Item{}, f.err
}

func (f *failingTable) Apply(context.Context, ...carawayspread.Write) error {
	f.calls++
	return f.err
}

// retryAfterError is an error with a retry delay.
type retryAfterError struct{ error }

func (retryAfterError) RetryAfter() time.Duration { return time.Second }
func (t retryAfterError) Unwrap() error           { return t.error }

// Guards against retries of a write of unknown outcome: a retry would see its own effect and report
// to the caller that another writer had won. Reads and refused writes are retried. Nothing is
// retried while the store is known to be down.
func TestRetriedErrors(t *testing.T) {
	lost := errors.New("connection closed")
	outage := retryAfterError{carawayspread.ErrUnavailable}
	tests := map[string]struct {
		err           error
		reads, writes int
	}{
		"unknown":     {err: lost, reads: 4, writes: 1},
		"unavailable": {err: carawayspread.ErrUnavailable, reads: 4, writes: 4},
		"condition":   {err: carawayspread.ErrCondition, reads: 4, writes: 1},
		"no item":     {err: carawayspread.ErrNoItem, reads: 1, writes: 1},
		"outage":      {err: outage, reads: 1, writes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			retryBackoff := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
			reads, writes := &failingTable{err: test.err}, &failingTable{err: test.err}
			_, err := New(reads, retryBackoff).Get(context.Background(), carawayspread.Key{})
			qt.Check(t, err, qt.Equals, test.err)
			qt.Check(t, New(writes, retryBackoff).Apply(context.Background()), qt.Equals, test.err)
			qt.Check(t, reads.calls, qt.Equals, test.reads)
			qt.Check(t, writes.calls, qt.Equals, test.writes)
		})
	}
}
