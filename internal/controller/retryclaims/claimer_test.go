package retryclaims

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/standin/table"
)

const (
	limit  = 25.0
	window = 10 * time.Second
)

// fleet is the processes with one table and one clock of its store.
type fleet struct {
	clock *clockwork.FakeClock
	table carawayspread.Table
	start time.Time
}

// Now is the clock of the store.
func (f *fleet) Now() (time.Duration, bool) { return f.clock.Now().Sub(f.start) + time.Hour, true }

func newFleet(t *testing.T) *fleet {
	t.Helper()
	server := httptest.NewServer(table.New(carawayspread.SystemClock()))
	t.Cleanup(server.Close)
	client := dynamodb.New(server.URL)
	t.Cleanup(client.Close)
	clock := clockwork.NewFakeClock()
	return &fleet{clock: clock, table: client, start: clock.Now()}
}

func (f *fleet) process(table carawayspread.Table) *Claimer {
	return New(table, f, f.clock, decisionlog.New(io.Discard), limit, window, func() int { return 4 })
}

// Guards against starts that refill what the fleet shares, and against processes that claim at the same moment
// and get more than there is.
func TestStartsClaimFromOneSlack(t *testing.T) {
	const processes, rounds = 4, 8
	f := newFleet(t)
	claimed := 0
	for range rounds { // within one window
		var mu sync.Mutex
		var all sync.WaitGroup
		for range processes {
			p := f.process(f.table)
			all.Go(func() {
				for p.Claim(t.Context(), "s") {
					mu.Lock()
					claimed++
					mu.Unlock()
				}
			})
		}
		all.Wait()
		f.clock.Advance(window / rounds)
	}
	qt.Check(t, float64(claimed) > limit/2 && float64(claimed) <= limit, qt.IsTrue, qt.Commentf("%d of %.0f", claimed, limit))
	f.clock.Advance(2 * window)
	qt.Check(t, f.process(f.table).Claim(t.Context(), "s"), qt.IsTrue)
	qt.Check(t, f.process(f.table).Claim(t.Context(), "another"), qt.IsTrue)
}

// faulty is a table that fails, or was restored.
type faulty struct {
	carawayspread.Table
	err        error
	reads      int
	generation uint64
}

func (f *faulty) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	f.reads++
	if f.err != nil {
		return carawayspread.Item{}, f.err
	}
	return f.Table.Get(ctx, key)
}

func (f *faulty) Generation() uint64 { return f.generation }

// Guards against requests that all wait for a table that is down.
func TestFailedClaimsAreNotRepeatedAtOnce(t *testing.T) {
	f := newFleet(t)
	down := &faulty{Table: f.table, err: errors.New("down")}
	p := f.process(down)
	for range 10 {
		qt.Check(t, p.Claim(t.Context(), "s"), qt.IsFalse)
	}
	qt.Check(t, down.reads, qt.Equals, 1)
	down.err = nil
	f.clock.Advance(2 * pause)
	qt.Check(t, p.Claim(t.Context(), "s"), qt.IsTrue)
}

// Guards against a table that was restored from a backup and has lost the claims since.
func TestRestoredTableGrantsNothingAtFirst(t *testing.T) {
	f := newFleet(t)
	restored := &faulty{Table: f.table, generation: 2}
	qt.Check(t, f.process(restored).Claim(t.Context(), "s"), qt.IsFalse)
	f.clock.Advance(window / 2)
	qt.Check(t, f.process(restored).Claim(t.Context(), "s"), qt.IsFalse)
	f.clock.Advance(2 * window)
	qt.Check(t, f.process(restored).Claim(t.Context(), "s"), qt.IsTrue)
}

// Guards against a claimed retry that is kept and spent after others have claimed what it counted for.
func TestClaimedRetriesAreLostWithTime(t *testing.T) {
	f := newFleet(t)
	p := New(f.table, f, f.clock, decisionlog.New(io.Discard), 400, window, func() int { return 300 })
	qt.Check(t, p.Claim(t.Context(), "s"), qt.IsTrue)
	qt.Check(t, p.services["s"].retries > 0, qt.IsTrue)
	f.clock.Advance(time.Second)
	spent, _ := p.spend(p.services["s"])
	qt.Check(t, spent, qt.IsFalse)
}
