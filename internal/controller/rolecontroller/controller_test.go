package rolecontroller

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/standin/table"
)

// fakeFleet provides what two controllers share: a table, a policy and engines.
type fakeFleet struct {
	clock      *clockwork.FakeClock
	table      carawayspread.Table
	orders     []carawayspread.Order
	err        error         // returned for each order
	orderTime  time.Duration // by which each order advances the clock
	changeBoth bool          // a second engine is to change too
	suspended  []carawayspread.EndpointID
	logOutput  strings.Builder
}

func newFakeFleet(t *testing.T) *fakeFleet {
	t.Helper()
	service := httptest.NewServer(table.New(carawayspread.SystemClock()))
	client := dynamodb.New(service.URL)
	t.Cleanup(func() { client.Close(); service.Close() })
	return &fakeFleet{clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), table: client}
}

// Roles returns one service with two engines. Plan always requires the role prefill for the engine
// e.
func (f *fakeFleet) Roles() []carawayspread.ServiceRoles {
	return []carawayspread.ServiceRoles{{
		Service: "s", Endpoints: map[carawayspread.EndpointID]carawayspread.Endpoint{
			"e": carawayspread.NewEndpoint("e", "s", "z", "10.0.0.1:1", false),
			"f": carawayspread.NewEndpoint("f", "s", "z", "10.0.0.1:2", false),
		},
	}}
}

func (f *fakeFleet) Plan([]carawayspread.RoleState, carawayspread.Demand) []carawayspread.RoleChange {
	changes := []carawayspread.RoleChange{{Endpoint: "e", From: carawayspread.RoleDecode, To: carawayspread.RolePrefill}}
	if f.changeBoth {
		changes = append(changes, carawayspread.RoleChange{Endpoint: "f", From: carawayspread.RoleDecode, To: carawayspread.RolePrefill})
	}
	return changes
}

func (f *fakeFleet) Suspend(id carawayspread.EndpointID, _ time.Duration) {
	f.suspended = append(f.suspended, id)
}

func (f *fakeFleet) Order(_ context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	f.orders = append(f.orders, order)
	f.clock.Advance(f.orderTime)
	return carawayspread.EngineState{}, f.err
}

func (f *fakeFleet) State(context.Context) (carawayspread.EngineState, error) {
	return carawayspread.EngineState{}, nil
}

// newController returns the controller of one process and its log.
func (f *fakeFleet) newController() (*Controller, *decisionlog.Log) {
	l := decisionlog.New(&f.logOutput)
	return New(f, func() carawayspread.RolePolicy { return f }, f.table,
		func(carawayspread.Endpoint) carawayspread.Engine { return f }, f.clock, l, metrics.NewSet()), l
}

// Engines must not receive orders of two processes close together in time: a process that requires
// a change while another one may still send orders waits for longer than the lease term and then
// uses a higher fencing token. The first process, which was suspended meanwhile, sends no more
// orders.
func TestOneProcessSendsOrders(t *testing.T) {
	f := newFakeFleet(t)
	first, _ := f.newController()
	second, _ := f.newController()
	first.planAll(context.Background())
	qt.Assert(t, f.orders, qt.HasLen, 1)
	began := f.clock.Now()
	for len(f.orders) == 1 {
		f.clock.Advance(time.Second)
		second.planAll(context.Background())
		qt.Assert(t, f.clock.Now().Sub(began) < time.Minute, qt.IsTrue)
	}
	qt.Check(t, f.clock.Now().Sub(began) > term, qt.IsTrue)
	qt.Check(t, f.orders[1].Fence > f.orders[0].Fence, qt.IsTrue)
	first.planAll(context.Background())
	qt.Check(t, f.orders, qt.HasLen, 2)
}

// A process that was delayed while it sent an order must not send the next one: another process may
// have acquired the lease before that order would arrive.
func TestOrdersEndWithTheLease(t *testing.T) {
	f := newFakeFleet(t)
	f.changeBoth, f.orderTime = true, 6*time.Second
	c, _ := f.newController()
	c.planAll(context.Background())
	qt.Check(t, f.orders, qt.HasLen, 1)
}

// An engine that has seen a higher fencing token must not receive the outdated one again: the
// process releases its lease, waits, and continues with a higher token.
func TestOutdatedFencingTokenIsDropped(t *testing.T) {
	f := newFakeFleet(t)
	f.changeBoth = true
	f.err = carawayspread.NewError(carawayspread.CodeStale, "a higher number was seen", carawayspread.NotRun())
	c, _ := f.newController()
	for range 30 {
		c.planAll(context.Background())
		f.clock.Advance(time.Second)
	}
	qt.Assert(t, len(f.orders) > 1, qt.IsTrue)
	seen := map[uint64]int{}
	for _, order := range f.orders {
		seen[order.Fence]++
	}
	for fence, orders := range seen {
		qt.Check(t, orders, qt.Equals, 1, qt.Commentf("fencing token %d", fence))
	}
}

// A process that holds the lease may send further orders with the same fencing token; each order
// has its own id.
func TestHolderKeepsSendingOrders(t *testing.T) {
	f := newFakeFleet(t)
	c, _ := f.newController()
	for range 20 {
		c.planAll(context.Background())
		f.clock.Advance(time.Second)
	}
	qt.Assert(t, len(f.orders) > 10, qt.IsTrue)
	qt.Check(t, f.orders[0].Fence, qt.Equals, f.orders[len(f.orders)-1].Fence)
	qt.Check(t, f.orders[0].ID, qt.Not(qt.Equals), f.orders[1].ID)
}

// An engine that may be changing its role is suspended, so that it gets no requests. An engine that
// rejected the order stays in use; one that did not respond is suspended, since it may have
// accepted.
func TestOutcomeOfAnOrder(t *testing.T) {
	tests := map[string]struct {
		err       error
		suspended int
		outcome   string
	}{
		"accepted": {nil, 1, "outcome=ordered"},
		"refused":  {carawayspread.NewError(carawayspread.CodeOverloaded, "busy", carawayspread.NotRun()), 0, "outcome=refused"},
		"unknown":  {errors.New("no answer"), 1, "outcome=unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(t)
			f.err = test.err
			c, l := f.newController()
			c.planAll(context.Background())
			l.Flush()
			qt.Check(t, f.suspended, qt.HasLen, test.suspended)
			qt.Check(t, f.logOutput.String(), qt.Contains, test.outcome)
		})
	}
}
