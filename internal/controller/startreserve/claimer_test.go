package startreserve

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

const interval = 20 * time.Second

func newTable(t *testing.T) carawayspread.Table {
	t.Helper()
	server := httptest.NewServer(table.New(carawayspread.SystemClock()))
	t.Cleanup(server.Close)
	client := dynamodb.New(server.URL)
	t.Cleanup(client.Close)
	return client
}

func start(table carawayspread.Table, clock carawayspread.Clock, instance string) *Claimer {
	return New(table, clock, &log.Logger{Handler: discard.New()}, instance, interval)
}

// Guards against an instance that starts again and again and has full budgets each time.
func TestReserveIsGrantedOnceInAnInterval(t *testing.T) {
	table, clock := newTable(t), clockwork.NewFakeClock()
	granted := 0
	for range 60 {
		got, err := start(table, clock, "e1").claim(t.Context())
		qt.Assert(t, err, qt.IsNil)
		if got {
			granted++
		}
		clock.Advance(time.Second)
	}
	qt.Check(t, granted, qt.Equals, 2)
	other, err := start(table, clock, "e2").claim(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, other, qt.IsTrue)
}

// Guards against a clock that was ahead before a start: it neither grants the reserve nor withholds it for good.
func TestGrantThatLiesAhead(t *testing.T) {
	table, clock := newTable(t), clockwork.NewFakeClock()
	_, err := start(table, clockwork.NewFakeClockAt(clock.Now().Add(time.Hour)), "e1").claim(t.Context())
	qt.Assert(t, err, qt.IsNil)
	got, err := start(table, clock, "e1").claim(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.IsFalse)
	clock.Advance(interval + skew)
	got, err = start(table, clock, "e1").claim(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.IsTrue)
}

// faulty is a table whose next reads fail.
type faulty struct {
	carawayspread.Table
	failures int
}

func (f *faulty) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if f.failures--; f.failures >= 0 {
		return carawayspread.Item{}, errors.New("down")
	}
	return f.Table.Get(ctx, key)
}

// Guards against an entry that retries next to nothing for long because the table was down as it started.
func TestReserveIsClaimedOnceTheTableAnswers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	granted, ended := make(chan struct{}), make(chan error, 1)
	c := start(&faulty{newTable(t), 2}, clock, "e1")
	qt.Check(t, c.Asked(), qt.IsFalse)
	go func() { ended <- c.Run(ctx, func() { close(granted) }) }()
	for range 2 {
		qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil)
		qt.Check(t, c.Asked(), qt.IsTrue)
		clock.Advance(retryInterval)
	}
	<-granted
	cancel()
	qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
}

// Another writer left an item that is none, and the instance never has the reserve again.
func TestOddItemDelaysTheReserveForAnInterval(t *testing.T) {
	for name, body := range map[string]string{"a list": `[]`, "a number": `7`, "no time": `{"grantedAt":"soon"}`, "another type": `{"grantedAt":[]}`} {
		t.Run(name, func(t *testing.T) {
			table, clock := newTable(t), clockwork.NewFakeClock()
			item := carawayspread.Item{Key: carawayspread.Key{Partition: partition, Sort: "e1"}, Token: "t", Body: []byte(body)}
			qt.Assert(t, table.Apply(t.Context(), carawayspread.Write{Item: item}), qt.IsNil)
			for want := range 2 {
				got, err := start(table, clock, "e1").claim(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, got, qt.Equals, want == 1)
				clock.Advance(interval + time.Minute)
			}
		})
	}
}
