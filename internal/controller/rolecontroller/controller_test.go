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

// fleet is what two keepers share: a store and one engine.
type fleet struct {
	clock  *clockwork.FakeClock
	table  carawayspread.Table
	orders []carawayspread.Order
	err    error         // of the next order
	takes  time.Duration // each order
	more   bool          // a second engine is wanted too
	aside  []carawayspread.EndpointID
	out    strings.Builder
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	service := httptest.NewServer(table.New(carawayspread.SystemClock()))
	client := dynamodb.New(service.URL)
	t.Cleanup(func() { client.Close(); service.Close() })
	return &fleet{clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), table: client}
}

// Roles and Plan: the engine is always wanted as a reader.
func (f *fleet) Roles() []carawayspread.ServiceRoles {
	return []carawayspread.ServiceRoles{{
		Service: "s", Endpoints: map[carawayspread.EndpointID]carawayspread.Endpoint{
			"e": carawayspread.NewEndpoint("e", "s", "z", "10.0.0.1:1", false),
			"f": carawayspread.NewEndpoint("f", "s", "z", "10.0.0.1:2", false),
		},
	}}
}

func (f *fleet) Plan([]carawayspread.RoleState, carawayspread.Demand) []carawayspread.RoleChange {
	changes := []carawayspread.RoleChange{{Endpoint: "e", From: carawayspread.RoleDecode, To: carawayspread.RolePrefill}}
	if f.more {
		changes = append(changes, carawayspread.RoleChange{Endpoint: "f", From: carawayspread.RoleDecode, To: carawayspread.RolePrefill})
	}
	return changes
}

func (f *fleet) Suspend(id carawayspread.EndpointID, _ time.Duration) { f.aside = append(f.aside, id) }

func (f *fleet) Order(_ context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	f.orders = append(f.orders, order)
	f.clock.Advance(f.takes)
	return carawayspread.EngineState{}, f.err
}

func (f *fleet) State(context.Context) (carawayspread.EngineState, error) {
	return carawayspread.EngineState{}, nil
}

// keeper returns one process's side, and its lines.
func (f *fleet) keeper() (*Controller, *decisionlog.Log) {
	l := decisionlog.New(&f.out)
	return New(f, func() carawayspread.RolePolicy { return f }, f.table,
		func(carawayspread.Endpoint) carawayspread.Engine { return f }, f.clock, l, metrics.NewSet()), l
}

// Engines never hear two processes close to each other: one that wants a change
// while another may still give orders waits for longer than the lease lasts, and
// then gives a higher number. The first, which was suspended meanwhile, gives no
// order any more.
func TestOneProcessGivesOrders(t *testing.T) {
	f := newFleet(t)
	first, _ := f.keeper()
	second, _ := f.keeper()
	first.look(context.Background())
	qt.Assert(t, f.orders, qt.HasLen, 1)
	began := f.clock.Now()
	for len(f.orders) == 1 {
		f.clock.Advance(time.Second)
		second.look(context.Background())
		qt.Assert(t, f.clock.Now().Sub(began) < time.Minute, qt.IsTrue)
	}
	qt.Check(t, f.clock.Now().Sub(began) > term, qt.IsTrue)
	qt.Check(t, f.orders[1].Fence > f.orders[0].Fence, qt.IsTrue)
	first.look(context.Background())
	qt.Check(t, f.orders, qt.HasLen, 2)
}

// A process that was held up while it gave orders gives no more of them: its
// lease may be another's before the next would arrive.
func TestOrdersEndWithTheLease(t *testing.T) {
	f := newFleet(t)
	f.more, f.takes = true, 6*time.Second
	k, _ := f.keeper()
	k.look(context.Background())
	qt.Check(t, f.orders, qt.HasLen, 1)
}

// An engine that has seen a higher number is not asked again under this one: the
// process gives its lease up, waits, and comes back with a higher number.
func TestNumberThatIsBehindIsDropped(t *testing.T) {
	f := newFleet(t)
	f.more = true
	f.err = carawayspread.NewError(carawayspread.CodeStale, "a higher number was seen", carawayspread.NotRun())
	k, _ := f.keeper()
	for range 30 {
		k.look(context.Background())
		f.clock.Advance(time.Second)
	}
	qt.Assert(t, len(f.orders) > 1, qt.IsTrue)
	seen := map[uint64]int{}
	for _, order := range f.orders {
		seen[order.Fence]++
	}
	for fence, orders := range seen {
		qt.Check(t, orders, qt.Equals, 1, qt.Commentf("number %d", fence))
	}
}

// The same process may go on; its number stays the same, and each order has a
// name of its own.
func TestHolderGoesOn(t *testing.T) {
	f := newFleet(t)
	k, _ := f.keeper()
	for range 20 {
		k.look(context.Background())
		f.clock.Advance(time.Second)
	}
	qt.Assert(t, len(f.orders) > 10, qt.IsTrue)
	qt.Check(t, f.orders[0].Fence, qt.Equals, f.orders[len(f.orders)-1].Fence)
	qt.Check(t, f.orders[0].ID, qt.Not(qt.Equals), f.orders[1].ID)
}

// Requests keep off an engine that may be changing. One that refused the order
// goes on being used; of one that gave no answer nobody knows.
func TestOutcomeOfAnOrder(t *testing.T) {
	tests := map[string]struct {
		err     error
		aside   int
		outcome string
	}{
		"accepted": {nil, 1, "outcome=ordered"},
		"refused":  {carawayspread.NewError(carawayspread.CodeOverloaded, "busy", carawayspread.NotRun()), 0, "outcome=refused"},
		"unknown":  {errors.New("no answer"), 1, "outcome=unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.err = test.err
			k, l := f.keeper()
			k.look(context.Background())
			l.Flush()
			qt.Check(t, f.aside, qt.HasLen, test.aside)
			qt.Check(t, f.out.String(), qt.Contains, test.outcome)
		})
	}
}
