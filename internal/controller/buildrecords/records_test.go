package buildrecords

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/decision/origin"
	"carawayspread/internal/process/decisionlog"
)

// process is one of a fleet, with its builds and a table that counts calls.
type process struct {
	carawayspread.Table
	reader  bool
	size    int
	changes uint64
	kept    []carawayspread.Item
	fails   bool
	calls   int
	seen    map[string]origin.Record
}

func (p *process) IsReader() bool             { return p.reader }
func (p *process) Size() int                  { return p.size }
func (p *process) Changes() uint64            { return p.changes }
func (p *process) Now() (time.Duration, bool) { return time.Hour, true }

func (p *process) Review(kept map[string]origin.Record, r origin.Reading) map[string]origin.Record {
	p.seen = kept
	return map[string]origin.Record{"s": {SinceMs: r.Latest.Milliseconds()}}
}

func (p *process) Query(context.Context, string, string, int) ([]carawayspread.Item, error) {
	if p.calls++; p.fails {
		return nil, errors.New("down")
	}
	return p.kept, nil
}

func (p *process) Apply(_ context.Context, writes ...carawayspread.Write) error {
	p.kept = []carawayspread.Item{writes[0].Item}
	p.kept[0].Rev = writes[0].IfRev + 1
	return nil
}

// run lets the clock run for some seconds.
func run(t *testing.T, r *Records, clock *clockwork.FakeClock, seconds int) {
	for range 4 * seconds {
		if r.isDue() {
			r.plan(r.review(t.Context()))
		}
		clock.Advance(interval)
	}
}

// The table gets more calls than the operators allow: each process of a large fleet calls at the same moment, or
// again and again while the table is down. Or a malformed record stops the process from reading the others.
func TestCallsOfAFleet(t *testing.T) {
	for name, test := range map[string]struct {
		process process
		seconds int
		calls   int
	}{
		"before the first list":               {process{size: 4}, 60, 0},
		"a reader, at once":                   {process{reader: true, size: 4, changes: 1}, 1, 1},
		"a reader, each ten seconds":          {process{reader: true, size: 4, changes: 1}, 59, 6},
		"another, not at once":                {process{size: 300, changes: 1}, 1, 0},
		"another, once":                       {process{size: 300, changes: 1}, 60, 1},
		"the table is down":                   {process{reader: true, size: 1, changes: 1, fails: true}, 60, 45},
		"a malformed record, and one of ours": {process{reader: true, size: 1, changes: 1, kept: []carawayspread.Item{{Key: carawayspread.Key{Sort: "s"}, Rev: 7, Body: []byte(`{"builds":`)}}}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, clock := test.process, clockwork.NewFakeClock()
			r := New(&p, &p, &p, &p, clock, decisionlog.New(io.Discard), metrics.NewSet(), true)
			run(t, r, clock, test.seconds)
			if p.fails {
				qt.Check(t, p.calls >= test.calls && p.calls <= test.seconds, qt.IsTrue, qt.Commentf("%d", p.calls))
				return
			}
			qt.Check(t, p.calls, qt.Equals, test.calls)
			if len(p.kept) > 0 && test.process.kept != nil {
				qt.Check(t, p.seen, qt.HasLen, 0)
				qt.Check(t, p.kept[0].Rev, qt.Equals, uint64(8))
			}
		})
	}
}
