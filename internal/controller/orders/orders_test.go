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

// fakeEngine runs one change at a time and counts a conflict if an order with another id arrives
// during a change. A change ends after a number of reads of the state, so that no time passes.
type fakeEngine struct {
	mu          sync.Mutex
	state       carawayspread.EngineState
	checksFence bool
	changeReads int // reads of the state until a change ends
	readsLeft   int
	pending     carawayspread.Order
	executedIDs map[string]bool // ids that are not executed again
	executed    []carawayspread.Order
	conflicts   int
	onState     func() // runs once, after a read has copied the state
	onOrder     func() // runs once, before an order is processed
	lostReplies int    // number of lost responses to orders
	crashes     int    // number of changes that end in a crash
}

func newEngine(changeReads, lostReplies, crashes int) *fakeEngine {
	return &fakeEngine{changeReads: changeReads, lostReplies: lostReplies, crashes: crashes, executedIDs: map[string]bool{}}
}

func (e *fakeEngine) State(context.Context) (carawayspread.EngineState, error) {
	e.mu.Lock()
	if e.state.Changing && e.readsLeft == 0 {
		e.finish()
	}
	e.readsLeft = max(0, e.readsLeft-1)
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
	if e.crashes > 0 {
		e.crashes--
		e.state.Boot += "x"
		e.executedIDs[e.pending.ID] = false
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
	if e.checksFence && order.Fence < e.state.Fence {
		return e.state, carawayspread.NewError(carawayspread.CodeStale, "")
	}
	e.state.Fence = order.Fence
	if !e.executedIDs[order.ID] {
		if e.state.Changing {
			e.conflicts++
		}
		e.executed = append(e.executed, order)
		e.executedIDs[order.ID] = true
		e.state.LastID, e.state.Changing, e.pending, e.readsLeft = order.ID, true, order, e.changeReads
	}
	if e.lostReplies > 0 {
		e.lostReplies--
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

// instantClock is a clock whose waits end at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return time.Unix(0, 0) }
func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func loadModel(id, model string) carawayspread.Order {
	return carawayspread.Order{ID: id, Kind: carawayspread.OrderLoadModel, Value: model}
}

func setRole(id string, r carawayspread.Role) carawayspread.Order {
	return carawayspread.Order{ID: id, Kind: carawayspread.OrderSetRole, Value: string(r)}
}

// A change takes several reads of the state, and the response to the order is lost or the engine
// crashes during the change. The next order must not reach an engine that is changing, and the
// first one must finally take effect without being sent under a second id.
func TestOneOrderAtATime(t *testing.T) {
	tests := map[string]*fakeEngine{
		"slow change":           newEngine(3, 0, 0),
		"lost answer":           newEngine(3, 1, 0),
		"crash during change":   newEngine(2, 0, 1),
		"crash and lost answer": newEngine(2, 2, 1),
	}
	for name, engine := range tests {
		t.Run(name, func(t *testing.T) {
			o := New(engine, &fakeLease{epoch: 1, valid: true}, instantClock{})
			_, err := o.Do(context.Background(), 1, loadModel("1/a", "m"))
			qt.Assert(t, err, qt.IsNil)
			state, err := o.Do(context.Background(), 1, setRole("1/b", carawayspread.RoleDecode))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, engine.conflicts, qt.Equals, 0)
			ids := map[string]bool{}
			for _, order := range engine.executed {
				ids[order.ID] = true
			}
			qt.Check(t, ids, qt.DeepEquals, map[string]bool{"1/a": true, "1/b": true})
			qt.Check(t, state.Role, qt.Equals, carawayspread.RoleDecode)
			qt.Check(t, state.Models, qt.DeepEquals, []string{"m"})
		})
	}
}

// The lease has expired while its holder was paused. An order afterwards must fail with
// ErrNoAuthority, and nothing may reach the engine.
func TestNoOrderWithoutLease(t *testing.T) {
	engine := newEngine(0, 0, 0)
	o := New(engine, &fakeLease{epoch: 1}, instantClock{})
	_, err := o.Do(context.Background(), 1, loadModel("1/a", "m"))
	qt.Check(t, err, qt.ErrorIs, ErrNoAuthority)
	qt.Check(t, engine.executed, qt.HasLen, 0)
}

// A late order of plan 1 reaches a sidecar that has started plan 2. If it were executed, it would
// revert the newer plan, and no other order would correct that.
func TestOutdatedPlanIsDropped(t *testing.T) {
	engine := newEngine(0, 0, 0)
	o := New(engine, &fakeLease{epoch: 1, valid: true}, instantClock{})
	_, err := o.Do(context.Background(), 2, setRole("2/a", carawayspread.RoleDecode))
	qt.Assert(t, err, qt.IsNil)
	state, err := o.Do(context.Background(), 1, setRole("1/a", carawayspread.RolePrefill))
	qt.Check(t, err, qt.ErrorIs, ErrOutdated)
	qt.Check(t, state.Role, qt.Not(qt.Equals), carawayspread.RolePrefill)
	qt.Check(t, engine.executed, qt.HasLen, 1)
}

// A predecessor that was paused between check and send resumes right after its successor has read
// the state. The engine accepts its order, since it knows no newer fencing token yet, and the
// successor's first order must wait until that change has ended. A second late order must be
// rejected.
func TestFenceIsRaisedBeforeTheFirstOrder(t *testing.T) {
	engine := newEngine(2, 0, 0)
	engine.checksFence = true
	engine.executedIDs["0/a"] = true
	engine.state.LastID, engine.state.Fence = "0/a", 1
	sendLate := func(id string) error {
		order := setRole(id, carawayspread.RolePrefill)
		order.Fence = 1
		_, err := engine.Order(context.Background(), order)
		return err
	}
	engine.onState = func() { qt.Check(t, sendLate("0/b"), qt.IsNil) }
	o := New(engine, &fakeLease{epoch: 2, valid: true}, instantClock{}, WithFencing())
	state, err := o.Do(context.Background(), 1, loadModel("1/a", "m"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, engine.conflicts, qt.Equals, 0)
	qt.Check(t, state.Models, qt.DeepEquals, []string{"m"})
	qt.Check(t, sendLate("0/c"), qt.IsNotNil)
}

// Requests are running on an engine that is to change its role. So that the change aborts none, the
// order must wait until the sidecar has stopped new requests and the running ones have ended.
// Requests are admitted again afterwards.
func TestRoleChangeWaitsForRunningWork(t *testing.T) {
	engine := newEngine(0, 0, 0)
	engine.state.Running = 2
	var steps []string
	note := func(step string) func() { return func() { steps = append(steps, step) } }
	engine.onOrder = note("order")
	quiesce := func(context.Context) (func(), error) {
		note("quiet")()
		engine.onState = func() {
			note("idle")()
			engine.state.Running = 0
		}
		return note("resume"), nil
	}
	o := New(engine, &fakeLease{epoch: 1, valid: true}, instantClock{}, WithQuiesce(quiesce))
	_, err := o.Do(context.Background(), 1, setRole("1/a", carawayspread.RoleDecode))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, steps, qt.DeepEquals, []string{"quiet", "idle", "order", "resume"})
}
