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
	waits := backoff.New(carawayspread.SystemClock(), time.Microsecond, time.Microsecond)
	return readback.New(client, waits), service
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

// A hundred callers write at once and every tenth has a condition that fails.
// The service carries out a transaction whole or not at all, so the others
// would fail with them; each caller gets the verdict on its own write, also
// when the answer to the transaction is lost after it took effect.
func TestGroupKeepsVerdictsApart(t *testing.T) {
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

// held is a table whose writes wait until they are let go.
type held struct {
	carawayspread.Table
	arrived, release chan struct{}
}

func (h held) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	h.arrived <- struct{}{}
	<-h.release
	return h.Table.Apply(ctx, writes...)
}

// Two callers go away. The write of the first is in flight and takes effect
// afterwards, so it must not hear "not written". That of the second has not
// left and must never leave, or its "not written" would become false. A third,
// beyond the bound, is refused while both wait.
func TestCallersThatGoAway(t *testing.T) {
	inner, service := start(t)
	h := held{Table: inner, arrived: make(chan struct{}, 3), release: make(chan struct{})}
	table := New(h, carawayspread.SystemClock(), WithWindow(0), WithSpacing(0), WithInFlight(1), WithWaiting(2))
	apply := func(ctx context.Context, sort string) chan error {
		result := make(chan error, 1)
		go func() { result <- table.Apply(ctx, write(sort, 0)) }()
		return result
	}
	ctx, leave := context.WithCancel(context.Background())
	first := apply(ctx, "in flight")
	<-h.arrived
	second := apply(ctx, "waiting")
	for table.waitingNow() < 2 {
		time.Sleep(time.Millisecond) // the second has entered its group
	}
	qt.Check(t, <-apply(context.Background(), "beyond"), qt.ErrorIs, carawayspread.ErrUnavailable)
	leave()
	err := <-first
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	qt.Check(t, errors.Is(err, carawayspread.ErrUnavailable), qt.IsFalse, qt.Commentf("%v", err))
	qt.Check(t, <-second, qt.ErrorIs, carawayspread.ErrUnavailable)
	close(h.release)
	for table.waitingNow() > 0 {
		time.Sleep(time.Millisecond) // both groups have ended
	}
	qt.Check(t, service.Len(), qt.Equals, 1)
	_, err = inner.Get(context.Background(), write("in flight", 0).Item.Key)
	qt.Check(t, err, qt.IsNil)
}

func (t *Table) waitingNow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending
}

// Two writes of one key arrive together. The service refuses a transaction with
// both, and with it every other write of the group.
func TestOneKeyTwice(t *testing.T) {
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

// Writes come one by one, each soon after the last was answered: every one
// would be a request of its own at the platform. From the second on they keep
// the spacing, however many there are.
func TestSpacingBoundsRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := New(nil, clock, WithSpacing(time.Second))
	var left time.Duration
	for range 10 {
		wait := table.schedule()
		clock.Advance(wait)
		left += wait
	}
	qt.Check(t, left, qt.Equals, defaultWindow+9*time.Second)
	clock.Advance(time.Minute)
	qt.Check(t, table.schedule(), qt.Equals, defaultWindow)
}
