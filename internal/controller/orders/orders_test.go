package orders

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// fakeEngine runs one change at a time and notes a conflict where an order with
// another id arrives during one. A change ends when it has been looked at often
// enough, so that no time passes.
type fakeEngine struct {
	mu        sync.Mutex
	state     carawayspread.EngineState
	checks    bool
	looks     int // reads of the state that a change lasts
	left      int
	pending   carawayspread.Order
	seen      map[string]bool // ids that are carried out once
	got       []carawayspread.Order
	conflicts int
	onState   func() // runs once, after the answer to a read was made
	onOrder   func() // runs once, before an order is taken
	lose      int    // answers to orders that are lost
	crash     int    // changes that end in a crash
}

func newEngine(looks, lose, crash int) *fakeEngine {
	return &fakeEngine{looks: looks, lose: lose, crash: crash, seen: map[string]bool{}}
}

func (e *fakeEngine) State(context.Context) (carawayspread.EngineState, error) {
	e.mu.Lock()
	if e.state.Changing && e.left == 0 {
		e.finish()
	}
	e.left = max(0, e.left-1)
	state, after := e.state, e.onState
	e.onState = nil
	e.mu.Unlock()
	if after != nil {
		after()
	}
	return state, nil
}

func (e *fakeEngine) finish() {
	e.state.Changing = false
	if e.crash > 0 {
		e.crash--
		e.state.Boot += "x"
		e.seen[e.pending.ID] = false
		return
	}
	switch e.pending.Kind {
	case carawayspread.OrderSetRole:
		e.state.Role = carawayspread.Role(e.pending.Value)
	case carawayspread.OrderLoadModel:
		e.state.Models = append(e.state.Models, e.pending.Value)
	}
}

func (e *fakeEngine) Order(_ context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	e.mu.Lock()
	before := e.onOrder
	e.onOrder = nil
	e.mu.Unlock()
	if before != nil {
		before()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && order.Fence < e.state.Fence {
		return e.state, carawayspread.NewError(carawayspread.CodeStale, "")
	}
	e.state.Fence = order.Fence
	if !e.seen[order.ID] {
		if e.state.Changing {
			e.conflicts++
		}
		e.got = append(e.got, order)
		e.seen[order.ID] = true
		e.state.LastID, e.state.Changing, e.pending, e.left = order.ID, true, order, e.looks
	}
	if e.lose > 0 {
		e.lose--
		return carawayspread.EngineState{}, errors.New("answer lost")
	}
	return e.state, nil
}

type fakeLease struct {
	epoch uint64
	valid bool
}

func (l *fakeLease) Run(ctx context.Context) error { <-ctx.Done(); return nil }
func (l *fakeLease) Valid(time.Duration) bool      { return l.valid }
func (l *fakeLease) Epoch() uint64                 { return l.epoch }

// instant is a clock whose waits are over at once.
type instant struct{}

func (instant) Now() time.Time { return time.Unix(0, 0) }
func (instant) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func load(id, model string) carawayspread.Order {
	return carawayspread.Order{ID: id, Kind: carawayspread.OrderLoadModel, Value: model}
}

func role(id string, r carawayspread.Role) carawayspread.Order {
	return carawayspread.Order{ID: id, Kind: carawayspread.OrderSetRole, Value: string(r)}
}

// A change lasts for several reads of the state and its answer is lost, or the
// engine crashes in the middle of it. The next order must not reach an engine
// that is changing, the lost one must take effect in the end, and no second id
// may stand for it.
func TestOneOrderAtATime(t *testing.T) {
	tests := map[string]*fakeEngine{
		"slow change":           newEngine(3, 0, 0),
		"lost answer":           newEngine(3, 1, 0),
		"crash in mid change":   newEngine(2, 0, 1),
		"crash and lost answer": newEngine(2, 2, 1),
	}
	for name, engine := range tests {
		t.Run(name, func(t *testing.T) {
			o := New(engine, &fakeLease{epoch: 1, valid: true}, instant{})
			_, err := o.Do(context.Background(), 1, load("1/a", "m"))
			qt.Assert(t, err, qt.IsNil)
			state, err := o.Do(context.Background(), 1, role("1/b", carawayspread.RoleDecode))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, engine.conflicts, qt.Equals, 0)
			ids := map[string]bool{}
			for _, order := range engine.got {
				ids[order.ID] = true
			}
			qt.Check(t, ids, qt.DeepEquals, map[string]bool{"1/a": true, "1/b": true})
			qt.Check(t, state.Role, qt.Equals, carawayspread.RoleDecode)
			qt.Check(t, state.Models, qt.DeepEquals, []string{"m"})
		})
	}
}

// The lease ends while its holder is paused. Whoever asks the holder for an
// order afterwards is told that nothing was sent, and the engine has seen
// nothing.
func TestNoOrderWithoutLease(t *testing.T) {
	engine := newEngine(0, 0, 0)
	o := New(engine, &fakeLease{epoch: 1}, instant{})
	_, err := o.Do(context.Background(), 1, load("1/a", "m"))
	qt.Check(t, err, qt.ErrorIs, ErrNoAuthority)
	qt.Check(t, engine.got, qt.HasLen, 0)
}

// A sidecar has begun plan 2 when an order of plan 1 reaches it late. Carried
// out, it would undo the newer plan, and nobody would order it back.
func TestOutdatedPlanIsDropped(t *testing.T) {
	engine := newEngine(0, 0, 0)
	o := New(engine, &fakeLease{epoch: 1, valid: true}, instant{})
	_, err := o.Do(context.Background(), 2, role("2/a", carawayspread.RoleDecode))
	qt.Assert(t, err, qt.IsNil)
	state, err := o.Do(context.Background(), 1, role("1/a", carawayspread.RolePrefill))
	qt.Check(t, err, qt.ErrorIs, ErrOutdated)
	qt.Check(t, state.Role, qt.Not(qt.Equals), carawayspread.RolePrefill)
	qt.Check(t, engine.got, qt.HasLen, 1)
}

// A predecessor, paused between check and send, wakes right after its successor
// has read the state. Its order is taken, since the engine knows no newer
// number yet, and the successor's first order must wait until that is over. A
// second late order must be refused.
func TestFenceIsRaisedBeforeTheFirstOrder(t *testing.T) {
	engine := newEngine(2, 0, 0)
	engine.checks = true
	engine.seen["0/a"] = true
	engine.state.LastID, engine.state.Fence = "0/a", 1
	late := func(id string) error {
		order := role(id, carawayspread.RolePrefill)
		order.Fence = 1
		_, err := engine.Order(context.Background(), order)
		return err
	}
	engine.onState = func() { qt.Check(t, late("0/b"), qt.IsNil) }
	o := New(engine, &fakeLease{epoch: 2, valid: true}, instant{}, WithFencing())
	state, err := o.Do(context.Background(), 1, load("1/a", "m"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, engine.conflicts, qt.Equals, 0)
	qt.Check(t, state.Models, qt.DeepEquals, []string{"m"})
	qt.Check(t, late("0/c"), qt.IsNotNil)
}

// Requests run on an engine that is to change its role. The order must wait
// until the sidecar has stopped new work and the running work has ended, and
// work is admitted again afterwards: a change cuts nothing.
func TestRoleChangeWaitsForRunningWork(t *testing.T) {
	engine := newEngine(0, 0, 0)
	engine.state.Running = 2
	var steps []string
	note := func(step string) func() { return func() { steps = append(steps, step) } }
	engine.onOrder = note("order")
	quiet := func(context.Context) (func(), error) {
		note("quiet")()
		engine.onState = func() {
			note("idle")()
			engine.state.Running = 0
		}
		return note("resume"), nil
	}
	o := New(engine, &fakeLease{epoch: 1, valid: true}, instant{}, WithQuiesce(quiet))
	_, err := o.Do(context.Background(), 1, role("1/a", carawayspread.RoleDecode))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, steps, qt.DeepEquals, []string{"quiet", "idle", "order", "resume"})
}
