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

// ordered is one engine with its sidecars, and the planner of its service.
type ordered struct {
	*fleet
	engine *engineclient.Client
	part   string // the endpoint in the settings
	plans  *planstore.Store
	plan   planstore.Plan
	check  carawayspread.Write
}

func newOrdered(t *testing.T, e *engine.Engine, checksFence bool) *ordered {
	f := newFleet(t)
	client := dynamodb.New("http://" + serve(t, f.table))
	planner := lease.New(client, carawayspread.SystemClock(), "planner/assistant", lease.WithTerm(time.Hour))
	qt.Assert(t, planner.Try(t.Context()), qt.IsNil)
	check, _ := planner.Check()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, free.Close(), qt.IsNil)
	at := serve(t, e)
	return &ordered{
		fleet: f, check: check, plans: planstore.New(client, "assistant"), engine: engineclient.New(at, http.DefaultClient),
		part: fmt.Sprintf(`{"id": "engine-1", "service": "assistant", "kind": "model", "address": %q, "checksFence": %v, "orderGuard": %q, "slots": 32}`,
			at, checksFence, free.Addr()),
	}
}

func (o *ordered) sidecar() *process {
	return o.start(carawayspread.InstanceSidecar, "sidecar-1", fmt.Sprintf(sidecarSettings, "sidecar-1", o.platform, o.part),
		carawayspread.InstanceEndpoint{ID: "engine-1", Service: "assistant"})
}

// order writes the next plan: one change of role.
func (o *ordered) order(role carawayspread.Role) {
	o.t.Helper()
	id := fmt.Sprintf("assistant/%d/engine-1/1", o.plan.Number()+1)
	step := planstore.Step{Endpoint: "engine-1", Order: carawayspread.Order{ID: id, Kind: carawayspread.OrderSetRole, Value: string(role)}}
	plan, err := o.plans.Write(context.Background(), o.check, o.plan, []planstore.Step{step})
	qt.Assert(o.t, err, qt.IsNil)
	o.plan = plan
}

func (o *ordered) state() carawayspread.EngineState {
	state, err := o.engine.State(context.Background())
	qt.Check(o.t, err, qt.IsNil)
	return state
}

func (o *ordered) hasRole(role carawayspread.Role) func() bool {
	return func() bool { state := o.state(); return state.Role == role && !state.Changing }
}

// The caller of a stream sees nothing of a change of role.
// The plan is written while the stream runs, for longer than sidecars take to
// read it. The sidecar must stop new work, wait until the stream has its last
// event, and only then order the change.
func TestRoleChangeCutsNothing(t *testing.T) {
	t.Parallel()
	e := engine.New(engine.TokenEvery(gap), engine.ChecksFence())
	o := newOrdered(t, e, true)
	o.sidecar()
	entry := o.entry("entry-1")
	o.order(carawayspread.RolePrefill)
	o.eventually(o.hasRole(carawayspread.RolePrefill))
	tooEarly := make(chan bool, 1)
	got := stream(entry, "x", 400, func() {
		o.order(carawayspread.RoleDecode)
		go func() {
			o.eventually(o.hasRole(carawayspread.RoleDecode))
			tooEarly <- e.Running() > 0
		}()
	})
	qt.Check(t, got.whole(), qt.IsTrue)
	qt.Check(t, <-tooEarly, qt.IsFalse)
	o.eventually(func() bool { return stream(entry, "y", 1, nil).whole() })
}

// An engine that ignores fencing numbers has two sidecars.
// The first one has carried out a plan and is paused; its successor reads a
// newer plan at once. It must order nothing as long as the first one can wake
// and send, and carry the plan out when the first one is dead.
func TestPausedSidecarKeepsTheGuard(t *testing.T) {
	t.Parallel()
	o := newOrdered(t, engine.New(), false)
	paused := o.sidecar()
	o.order(carawayspread.RolePrefill)
	o.eventually(o.hasRole(carawayspread.RolePrefill))
	paused.signal(syscall.SIGSTOP)
	o.order(carawayspread.RoleDecode)
	o.sidecar()
	time.Sleep(3 * time.Second) // the successor would have ordered after a fraction of it
	qt.Check(t, o.state().Role, qt.Equals, carawayspread.RolePrefill)
	paused.kill()
	o.eventually(o.hasRole(carawayspread.RoleDecode))
}

// A sidecar is killed while its engine changes. The one started after it finds
// the engine changing, waits, and sees that the order is in effect. The change
// lasts until both have happened, however slow the machine is.
func TestSidecarKilledInMidChange(t *testing.T) {
	t.Parallel()
	ends := make(chan struct{})
	e := engine.New(engine.ChecksFence(), engine.RoleChangeUntil(ends))
	o := newOrdered(t, e, true)
	first := o.sidecar()
	o.order(carawayspread.RoleDecode)
	o.eventually(func() bool { return o.state().Changing })
	first.kill()
	o.sidecar()
	qt.Check(t, o.state().Changing, qt.IsTrue)
	close(ends)
	o.eventually(o.hasRole(carawayspread.RoleDecode))
	o.order(carawayspread.RoleBoth)
	o.eventually(o.hasRole(carawayspread.RoleBoth))
	ids := []string{}
	for _, order := range e.Orders() {
		if order.Kind == carawayspread.OrderSetRole {
			ids = append(ids, order.ID)
		}
	}
	qt.Check(t, ids, qt.DeepEquals, []string{"assistant/1/engine-1/1", "assistant/2/engine-1/1"})
}
