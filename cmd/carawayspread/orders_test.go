package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	engineclient "carawayspread/internal/connection/engine"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/planstore"
	"carawayspread/internal/standin/engine"
)

// orderFleet is a fleet with one engine, its sidecars, and the planner of its service.
type orderFleet struct {
	*fleet
	standIn          *engine.Engine
	caller           *process // an entry; nil if none was started
	engine           *engineclient.Client
	endpointSettings string // JSON of the endpoint, as in the settings
	plans            *planstore.Store
	plan             planstore.Plan
	leaseCheck       carawayspread.Write
}

func newOrderFleet(t *testing.T, e *engine.Engine, checksFence bool) *orderFleet {
	f := newFleet(t)
	client := dynamodb.New("http://" + serve(t, f.table))
	planner := lease.New(client, carawayspread.SystemClock(), "planner/assistant", lease.WithTerm(time.Hour))
	qt.Assert(t, planner.Try(t.Context()), qt.IsNil)
	leaseCheck, _ := planner.Check()
	guardListener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, guardListener.Close(), qt.IsNil)
	address := serve(t, e)
	return &orderFleet{
		fleet: f, standIn: e, leaseCheck: leaseCheck, plans: planstore.New(client, "assistant"), engine: engineclient.New(address, http.DefaultClient),
		endpointSettings: fmt.Sprintf(`{"id": "engine-1", "service": "assistant", "kind": "model", "address": %q, "checksFence": %v, "orderGuard": %q, "slots": 32}`,
			address, checksFence, guardListener.Addr()),
	}
}

func (o *orderFleet) sidecar() *process {
	return o.start(carawayspread.InstanceSidecar, "sidecar-1", fmt.Sprintf(sidecarSettings, "sidecar-1", o.platform, o.endpointSettings),
		carawayspread.InstanceEndpoint{ID: "engine-1", Service: "assistant"})
}

// entry starts an entry and waits until it is ready.
func (o *orderFleet) entry(id string) *process {
	o.caller = o.fleet.entry(id)
	return o.caller
}

// eventually waits until the condition holds, and then until the engine takes requests: it shows its new role
// before its sidecar admits any and before the entry learns of that, and callers are refused in between. While a
// request runs it does not wait, so that a test sees a change that came too early.
func (o *orderFleet) eventually(condition func() bool) {
	o.t.Helper()
	o.fleet.eventually(condition)
	if o.caller == nil || o.standIn.Running() > 0 {
		return
	}
	o.fleet.eventually(func() bool { return stream(o.caller, "is it open", 1, nil).complete() })
	o.fleet.eventually(func() bool { return o.standIn.Running() == 0 })
}

// planRole writes the next plan, with one change of the role.
func (o *orderFleet) planRole(role carawayspread.Role) {
	o.t.Helper()
	id := fmt.Sprintf("assistant/%d/engine-1/1", o.plan.Number()+1)
	step := planstore.Step{Endpoint: "engine-1", Order: carawayspread.Order{ID: id, Kind: carawayspread.OrderSetRole, Value: string(role)}}
	plan, err := o.plans.Write(context.Background(), o.leaseCheck, o.plan, []planstore.Step{step})
	qt.Assert(o.t, err, qt.IsNil)
	o.plan = plan
}

func (o *orderFleet) state() carawayspread.EngineState {
	state, err := o.engine.State(context.Background())
	qt.Check(o.t, err, qt.IsNil)
	return state
}

func (o *orderFleet) hasRole(role carawayspread.Role) func() bool {
	return func() bool { state := o.state(); return state.Role == role && !state.Changing }
}

// Guards against a role change that interrupts a running stream. The plan is written while the
// stream runs, and the stream runs for longer than sidecars take to read the plan. The sidecar must
// refuse new requests, wait for the last event of the stream, and only then order the change.
func TestRoleChangeInterruptsNoStream(t *testing.T) {
	t.Parallel()
	e := engine.New(engine.TokenEvery(gap), engine.ChecksFence())
	o := newOrderFleet(t, e, true)
	o.sidecar()
	entry := o.entry("entry-1")
	o.planRole(carawayspread.RolePrefill)
	o.eventually(o.hasRole(carawayspread.RolePrefill))
	tooEarly := make(chan bool, 1)
	got := stream(entry, "x", 400, func() {
		o.planRole(carawayspread.RoleDecode)
		go func() {
			o.eventually(o.hasRole(carawayspread.RoleDecode))
			tooEarly <- e.Running() > 0
		}()
	})
	qt.Check(t, got.complete(), qt.IsTrue)
	qt.Check(t, <-tooEarly, qt.IsFalse)
	o.eventually(func() bool { return stream(entry, "y", 1, nil).complete() })
}

// Guards against an outdated order to an engine that ignores fencing tokens and has two sidecars. The
// first sidecar has executed a plan and is paused; its successor reads a newer plan at once. The
// successor must order nothing as long as the first one may resume and send, and must execute the
// plan once the first one is dead.
func TestPausedSidecarKeepsTheOrderGuard(t *testing.T) {
	t.Parallel()
	o := newOrderFleet(t, engine.New(), false)
	paused := o.sidecar()
	o.planRole(carawayspread.RolePrefill)
	o.eventually(o.hasRole(carawayspread.RolePrefill))
	paused.signal(syscall.SIGSTOP)
	o.planRole(carawayspread.RoleDecode)
	o.sidecar()
	time.Sleep(3 * time.Second) // without the guard the successor orders within a fraction of this
	qt.Check(t, o.state().Role, qt.Equals, carawayspread.RolePrefill)
	paused.kill()
	o.eventually(o.hasRole(carawayspread.RoleDecode))
}

// Guards against a role order that is sent twice because its sidecar is killed while the engine
// changes its role. The sidecar started afterwards finds the engine changing, waits, and finds the
// order in effect. The change lasts until both have happened, however slow the test runs.
func TestSidecarKilledDuringRoleChange(t *testing.T) {
	t.Parallel()
	finish := make(chan struct{})
	e := engine.New(engine.ChecksFence(), engine.RoleChangeUntil(finish))
	o := newOrderFleet(t, e, true)
	first := o.sidecar()
	o.planRole(carawayspread.RoleDecode)
	o.eventually(func() bool { return o.state().Changing })
	first.kill()
	o.sidecar()
	qt.Check(t, o.state().Changing, qt.IsTrue)
	close(finish)
	o.eventually(o.hasRole(carawayspread.RoleDecode))
	o.planRole(carawayspread.RoleBoth)
	o.eventually(o.hasRole(carawayspread.RoleBoth))
	ids := []string{}
	for _, order := range e.Orders() {
		if order.Kind == carawayspread.OrderSetRole {
			ids = append(ids, order.ID)
		}
	}
	qt.Check(t, ids, qt.DeepEquals, []string{"assistant/1/engine-1/1", "assistant/2/engine-1/1"})
}
