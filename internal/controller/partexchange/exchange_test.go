package partexchange

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/standin/table"
)

// memory of one entry.
type learned struct {
	crashes  map[uint64]int // times that a crash was learned
	answered map[uint64]int
}

func (l *learned) Learn(crashes []carawayspread.PartCrash) []uint64 {
	for _, c := range crashes {
		l.crashes[c.Part]++
	}
	return nil
}

func (l *learned) AnsweredByPeer(parts []uint64) {
	for _, part := range parts {
		l.answered[part]++
	}
}

// failing is a table whose next writes fail.
type failing struct {
	carawayspread.Table
	writes int
}

func (f *failing) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if f.writes--; f.writes >= 0 {
		return errors.New("fault")
	}
	return f.Table.Apply(ctx, writes...)
}

// A crash that one entry saw, or an answer, does not reach the others, or reaches them without end; or it is
// lost with a write of the table that fails.
func TestEntriesLearnOfEachOther(t *testing.T) {
	server := httptest.NewServer(table.New(carawayspread.SystemClock()))
	t.Cleanup(server.Close)
	clock := clockwork.NewFakeClock()
	store := &failing{Table: dynamodb.New(server.URL), writes: 1}
	quiet := &log.Logger{Handler: logfmt.New(io.Discard), Level: log.FatalLevel}
	first, second := New(store, clock, quiet), New(store, clock, quiet)
	at, other := &learned{map[uint64]int{}, map[uint64]int{}}, &learned{map[uint64]int{}, map[uint64]int{}}

	first.Crashed([]carawayspread.PartCrash{{Part: 1, Endpoint: "a", Age: time.Second}, {Part: 2, Endpoint: "a", Age: time.Second}})
	qt.Check(t, first.exchange(t.Context(), at), qt.IsNotNil)
	qt.Assert(t, first.exchange(t.Context(), at), qt.IsNil)
	second.Crashed([]carawayspread.PartCrash{{Part: 1, Endpoint: "a", Age: 900 * time.Millisecond}})
	qt.Assert(t, second.exchange(t.Context(), other), qt.IsNil)
	qt.Check(t, other.crashes, qt.DeepEquals, map[uint64]int{1: 1, 2: 1})

	second.Answered([]uint64{2})
	qt.Assert(t, second.exchange(t.Context(), other), qt.IsNil)
	for range 3 {
		qt.Assert(t, first.exchange(t.Context(), at), qt.IsNil)
	}
	qt.Check(t, at.answered, qt.DeepEquals, map[uint64]int{2: 1})
	_, known, err := first.read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, known.Crashes, qt.HasLen, 1)

	clock.Advance(memory + time.Second)
	qt.Assert(t, first.exchange(t.Context(), at), qt.IsNil)
	_, known, err = first.read(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(known.Crashes)+len(known.Answered), qt.Equals, 0)
}

// More crashes come than are kept while the table fails, and the process ends in a panic.
func TestCrashesWhileTheTableFails(t *testing.T) {
	store := &duringRead{}
	x := New(store, clockwork.NewFakeClock(), &log.Logger{Handler: logfmt.New(io.Discard), Level: log.FatalLevel})
	many, parts := make([]carawayspread.PartCrash, maxEntries), make([]uint64, maxEntries)
	store.then = func() { x.Crashed(many); x.Answered(parts) }
	for range 3 {
		x.Crashed(many)
		x.Answered(parts)
		qt.Check(t, x.exchange(t.Context(), &learned{map[uint64]int{}, map[uint64]int{}}), qt.IsNotNil)
	}
	qt.Check(t, x.crashes, qt.HasLen, maxEntries)
}

// duringRead is a table that fails, and calls then during each read.
type duringRead struct {
	carawayspread.Table
	then func()
}

func (d *duringRead) Get(context.Context, carawayspread.Key) (carawayspread.Item, error) {
	d.then()
	return carawayspread.Item{}, errors.New("fault")
}

// Another writer left an item that is none: entries exchange no crashes from then on, or an answer of the year
// 9999 hides those of its part.
func TestOddItemIsWrittenOver(t *testing.T) {
	for name, body := range map[string]string{
		"a list": `[]`, "a number": `7`, "part too large": `{"crashes":[{"part":18446744073709551616}]}`, "crashes a text": `{"crashes":"x"}`,
		"answered far ahead": `{"answered":[{"part":1,"at":"9999-12-31T23:59:59Z"}]}`, "no time": `{"answered":[{"part":1,"at":"soon"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(table.New(carawayspread.SystemClock()))
			t.Cleanup(server.Close)
			store := dynamodb.New(server.URL)
			qt.Assert(t, store.Apply(t.Context(), carawayspread.Write{Item: carawayspread.Item{Key: key, Token: "t", Body: []byte(body)}}), qt.IsNil)
			clock, quiet := clockwork.NewFakeClock(), &log.Logger{Handler: logfmt.New(io.Discard), Level: log.FatalLevel}
			first, second := New(store, clock, quiet), New(store, clock, quiet)
			at := &learned{map[uint64]int{}, map[uint64]int{}}
			first.Crashed([]carawayspread.PartCrash{{Part: 1, Endpoint: "a"}})
			qt.Assert(t, first.exchange(t.Context(), &learned{map[uint64]int{}, map[uint64]int{}}), qt.IsNil)
			qt.Assert(t, second.exchange(t.Context(), at), qt.IsNil)
			qt.Check(t, at.crashes, qt.DeepEquals, map[uint64]int{1: 1})
		})
	}
}
