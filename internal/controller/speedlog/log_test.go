package speedlog_test

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/controller/speedlog"
	"carawayspread/internal/process/decisionlog"
)

// table keeps one item. While it is down it answers nothing.
type table struct {
	carawayspread.Table
	item  carawayspread.Item
	down  atomic.Bool
	loses bool // the answer to the next write, which takes effect
	calls int
}

func (t *table) Get(ctx context.Context, _ carawayspread.Key) (carawayspread.Item, error) {
	t.calls++
	if t.down.Load() {
		<-ctx.Done()
		return carawayspread.Item{}, ctx.Err()
	}
	if t.item.Rev == 0 {
		return carawayspread.Item{}, carawayspread.ErrNoItem
	}
	return t.item, nil
}

func (t *table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	t.calls++
	if t.down.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if writes[0].IfRev != t.item.Rev {
		return carawayspread.ErrCondition
	}
	t.item = writes[0].Item
	t.item.Rev = writes[0].IfRev + 1
	if t.loses {
		t.loses = false
		return io.ErrUnexpectedEOF
	}
	return nil
}

// source knows the speeds of some engines.
type source struct {
	speeds map[uint32]carawayspread.EngineSpeed
}

func (s *source) KnownSpeeds() []carawayspread.EngineSpeed {
	var all []carawayspread.EngineSpeed
	for _, speed := range s.speeds {
		all = append(all, speed)
	}
	return all
}

func (s *source) LearnSpeeds(speeds []carawayspread.EngineSpeed, _ int) {
	for _, speed := range speeds {
		s.speeds[speed.Engine] = speed
	}
}

func knows(ratios ...float64) *source {
	s := &source{map[uint32]carawayspread.EngineSpeed{}}
	for i, ratio := range ratios {
		s.speeds[uint32(i)] = carawayspread.EngineSpeed{Engine: uint32(i), Prefill: carawayspread.SpeedShare{Ratio: ratio, Weight: 2}}
	}
	return s
}

// run lets a process run for a while and returns.
func run(t *testing.T, tab *table, s *source, writes bool, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	l := speedlog.New(tab, s, func() (bool, int) { return writes, 4 }, carawayspread.SystemClock(), decisionlog.New(io.Discard))
	qt.Check(t, l.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

// All processes are lost at once and start again beside the same engines. Without the item none of them knows which
// engines are slow.
func TestSpeedsOutliveAllProcesses(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*table)
		between func(*table)
		known   int
	}{
		"saved":                         {func(*table) {}, func(*table) {}, 3},
		"the answer to a write is lost": {func(tab *table) { tab.loses = true }, func(*table) {}, 3},
		"down at the start, then up": {func(*table) {}, func(tab *table) {
			tab.down.Store(true)
			time.AfterFunc(3*time.Second, func() { tab.down.Store(false) })
		}, 3},
		"malformed": {func(*table) {}, func(tab *table) { tab.item.Body = json.RawMessage(`{"engines":7}`) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tab := &table{}
				c.prepare(tab)
				run(t, tab, knows(0.5, 0, -0.25), true, 12*time.Second)
				c.between(tab)
				fresh := knows()
				run(t, tab, fresh, false, 10*time.Second)
				qt.Assert(t, len(fresh.speeds), qt.Equals, c.known)
				if c.known > 0 {
					qt.Check(t, fresh.speeds[0].Prefill, qt.Equals, carawayspread.SpeedShare{Ratio: 0.5, Weight: 2})
				}
			})
		})
	}
}

// Each call of the table is paid for: one read at a start, one write while speeds stay as they are, none by others.
func TestUnchangedSpeedsAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		run(t, tab, knows(0.5, 0, -0.25), true, time.Minute)
		qt.Check(t, tab.calls, qt.Equals, 2)
		run(t, tab, knows(0.5, 0, -0.25), true, time.Minute)
		qt.Check(t, tab.calls, qt.Equals, 3)
		run(t, tab, knows(0.9, 0.9, 0.9), false, time.Minute)
		qt.Check(t, tab.calls, qt.Equals, 4)
		run(t, tab, knows(0.5, 0, -0.25, 0.9, 0.9), true, time.Minute) // two engines are new
		qt.Check(t, tab.calls, qt.Equals, 6)
	})
}
