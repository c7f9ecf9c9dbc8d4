package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/readback"
	"carawayspread/internal/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func write(sort string, ifRev uint64) carawayspread.Write {
	item := carawayspread.Item{Key: carawayspread.Key{Partition: "p", Sort: sort}, Token: "token of " + sort}
	return carawayspread.Write{Item: item, IfRev: ifRev}
}

func start(t testing.TB) (carawayspread.Table, *table.Table) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	retryBackoff := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
	return readback.New(client, retryBackoff), service
}

// applyAll sends writes at the same time and returns their errors in order.
func applyAll(table carawayspread.Table, writes []carawayspread.Write) []error {
	errs := make([]error, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { errs[i] = table.Apply(context.Background(), w) })
	}
	wg.Wait()
	return errs
}

// A hundred callers write at once and the condition of every tenth fails. The service performs a
// transaction completely or not at all, so one failed condition would fail the other writes too.
// Each caller must get the outcome of its own write, even if the answer to the transaction is lost
// after it took effect.
func TestGroupReportsEachOutcome(t *testing.T) {
	for name, lost := range map[string]int{"answers arrive": 0, "answers lost": 3} {
		t.Run(name, func(t *testing.T) {
			inner, service := start(t)
			table := New(inner, carawayspread.SystemClock(), WithWindow(time.Minute))
			writes := make([]carawayspread.Write, maxGroup)
			for i := range writes {
				writes[i] = write(fmt.Sprint(i), 0)
				if i%10 == 0 {
					writes[i].IfRev = 7
				}
			}
			service.LoseAnswers(lost)
			for i, err := range applyAll(table, writes) {
				qt.Check(t, errors.Is(err, carawayspread.ErrCondition), qt.Equals, i%10 == 0, qt.Commentf("%d: %v", i, err))
				qt.Check(t, err == nil, qt.Equals, i%10 != 0, qt.Commentf("%d: %v", i, err))
			}
			qt.Check(t, service.Len(), qt.Equals, maxGroup-maxGroup/10)
			qt.Check(t, service.Writes() <= uint64(2+lost), qt.IsTrue, qt.Commentf("%d requests", service.Writes()))
		})
	}
}

// blockedTable is a table whose writes wait for release.
type blockedTable struct {
	carawayspread.Table
	arrived, release chan struct{}
}

func (h blockedTable) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	h.arrived <- struct{}{}
	<-h.release
	return h.Table.Apply(ctx, writes...)
}

// Two callers are cancelled. The write of the first is in flight and takes effect later, so it must
// not be reported as not written. The write of the second has not been sent and must never be, or
// its "not written" would become false. A third write, beyond the bound, is refused while both
// wait.
func TestCancelledCallers(t *testing.T) {
	inner, service := start(t)
	h := blockedTable{Table: inner, arrived: make(chan struct{}, 3), release: make(chan struct{})}
	table := New(h, carawayspread.SystemClock(), WithWindow(0), WithSpacing(0), WithMaxInFlight(1), WithMaxPending(2))
	apply := func(ctx context.Context, sort string) chan error {
		result := make(chan error, 1)
		go func() { result <- table.Apply(ctx, write(sort, 0)) }()
		return result
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := apply(ctx, "in flight")
	<-h.arrived
	second := apply(ctx, "waiting")
	for table.pendingWrites() < 2 {
		time.Sleep(time.Millisecond) // until the second is in its group
	}
	qt.Check(t, <-apply(context.Background(), "beyond"), qt.ErrorIs, carawayspread.ErrUnavailable)
	cancel()
	err := <-first
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	qt.Check(t, errors.Is(err, carawayspread.ErrUnavailable), qt.IsFalse, qt.Commentf("%v", err))
	qt.Check(t, <-second, qt.ErrorIs, carawayspread.ErrUnavailable)
	close(h.release)
	for table.pendingWrites() > 0 {
		time.Sleep(time.Millisecond) // until both groups are complete
	}
	qt.Check(t, service.Len(), qt.Equals, 1)
	_, err = inner.Get(context.Background(), write("in flight", 0).Item.Key)
	qt.Check(t, err, qt.IsNil)
}

func (t *Table) pendingWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending
}

// Two writes of one key arrive together. The service rejects a transaction that contains both, and
// with it every other write of the group.
func TestSameKeyTwice(t *testing.T) {
	inner, _ := start(t)
	table := New(inner, carawayspread.SystemClock(), WithWindow(5*time.Millisecond))
	won := 0
	for _, err := range applyAll(table, []carawayspread.Write{write("a", 0), write("a", 0), write("b", 0)}) {
		if err == nil {
			won++
		}
		qt.Check(t, errors.Is(err, carawayspread.ErrUnavailable), qt.IsFalse, qt.Commentf("%v", err))
	}
	qt.Check(t, won, qt.Equals, 2)
}

// Writes arrive one by one, each soon after the previous one was answered, so that each would be a
// platform request of its own. Guards against requests that exceed the spacing, however many writes
// there are.
func TestSpacingBoundsRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := New(nil, clock, WithSpacing(time.Second))
	var total time.Duration
	for range 10 {
		wait := table.scheduleSend()
		clock.Advance(wait)
		total += wait
	}
	qt.Check(t, total, qt.Equals, defaultWindow+9*time.Second)
	clock.Advance(time.Minute)
	qt.Check(t, table.scheduleSend(), qt.Equals, defaultWindow)
}
