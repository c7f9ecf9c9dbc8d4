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
