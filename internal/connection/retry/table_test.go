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

// failing counts requests and fails all with one error.
type failing struct {
	carawayspread.Table
	err   error
	calls int
}

func (f *failing) Get(context.Context, carawayspread.Key) (carawayspread.Item, error) {
	f.calls++
	return carawayspread.Item{}, f.err
}

func (f *failing) Apply(context.Context, ...carawayspread.Write) error {
	f.calls++
	return f.err
}

// timed names the time to come back.
type timed struct{ error }

func (timed) RetryAfter() time.Duration { return time.Second }
func (t timed) Unwrap() error           { return t.error }

// A write of unknown outcome is sent once: a repeat would meet its own effect
// and tell the caller that another had won. Reads and refused writes are sent
// again. Nothing is sent again to a store that is known to be down.
func TestWhatIsRepeated(t *testing.T) {
	lost := errors.New("connection closed")
	outage := timed{carawayspread.ErrUnavailable}
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
			waits := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
			reads, writes := &failing{err: test.err}, &failing{err: test.err}
			_, err := New(reads, waits).Get(context.Background(), carawayspread.Key{})
			qt.Check(t, err, qt.Equals, test.err)
			qt.Check(t, New(writes, waits).Apply(context.Background()), qt.Equals, test.err)
			qt.Check(t, reads.calls, qt.Equals, test.reads)
			qt.Check(t, writes.calls, qt.Equals, test.writes)
		})
	}
}
