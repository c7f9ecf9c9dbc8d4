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

// A table with claims of before was restored: all later processes count everything as claimed, for ever, and no
// retry is granted again.
func TestRestoredTableWithClaimsGrantsAgain(t *testing.T) {
	f := newFleet(t)
	qt.Assert(t, f.process(&faulty{Table: f.table, generation: 1}).Claim(t.Context(), "s"), qt.IsTrue)
	restored := &faulty{Table: f.table, generation: 2}
	qt.Check(t, f.process(restored).Claim(t.Context(), "s"), qt.IsFalse)
	f.clock.Advance(2 * window)
	qt.Check(t, f.process(restored).Claim(t.Context(), "s"), qt.IsTrue)
}

// Another writer left an item that is none, and no retry is granted again; or more are than the fleet may send.
func TestOddItemDelaysClaimsForAWindow(t *testing.T) {
	for name, body := range map[string]string{
		"a list": `[]`, "a number": `7`, "a text": `"x"`, "claims a text": `{"claims":"x"}`, "number too large": `{"claims":[{"atMs":1e40,"retries":1}]}`,
		"far ahead": `{"claims":[{"atMs":9223372036854775807,"retries":25}]}`, "far back": `{"claims":[{"atMs":-9223372036854775808,"retries":25}]}`,
		"retries beyond 64 bits": `{"claims":[{"atMs":3600000,"retries":9223372036854775807},{"atMs":3600000,"retries":9223372036854775807}]}`,
		"negative":               `{"claims":[{"atMs":3600000,"retries":-1000},{"atMs":3600000,"retries":25}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			key := carawayspread.Key{Partition: partition, Sort: "s"}
			qt.Assert(t, f.table.Apply(t.Context(), carawayspread.Write{Item: carawayspread.Item{Key: key, Token: "t", Body: []byte(body)}}), qt.IsNil)
			claimed := 0
			for range 40 {
				if f.process(f.table).Claim(t.Context(), "s") {
					claimed++
				}
			}
			qt.Check(t, claimed <= int(limit), qt.IsTrue, qt.Commentf("%d", claimed))
			f.clock.Advance(2 * window)
			qt.Check(t, f.process(f.table).Claim(t.Context(), "s"), qt.IsTrue)
		})
	}
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
