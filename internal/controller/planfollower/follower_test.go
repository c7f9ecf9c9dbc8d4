package planfollower

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/planstore"
	"carawayspread/internal/standin/table"
)

// fakeEngine records the orders that it receives while the authority over it is held. The order
// with the id "block" does not return until its context ends.
type fakeEngine struct {
	mu       sync.Mutex
	held     bool
	failures int // number of orders that fail first
	executed []string
	blocking chan struct{}
}

func (e *fakeEngine) Run(ctx context.Context) error {
	e.setHeld(true)
	<-ctx.Done()
	e.setHeld(false)
	return ctx.Err()
}

func (e *fakeEngine) setHeld(held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = held
}

func (e *fakeEngine) isHeld() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

func (e *fakeEngine) Do(ctx context.Context, _ uint64, order carawayspread.Order) (state carawayspread.EngineState, err error) {
	if order.ID == "block" {
		close(e.blocking)
		<-ctx.Done()
		return state, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.held {
		return state, errors.New("the authority is not held")
	}
	if e.failures > 0 {
		e.failures--
		return state, errors.New("not in effect")
	}
	e.executed = append(e.executed, order.ID)
	return state, nil
}

func (e *fakeEngine) executedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.executed...)
}

// shortWaitClock is a clock whose waits take one millisecond.
type shortWaitClock struct{ carawayspread.Clock }

func (shortWaitClock) After(time.Duration) <-chan time.Time { return time.After(time.Millisecond) }

// A plan has orders for two engines, one of them at another sidecar. A step fails at first, and the
// next one must wait for it. Another step of the plan never takes effect: a newer plan must cancel
// it and be executed, and no later step of the older plan may follow. Without remaining work, the
// authority over the engine is released.
func TestNewerPlanEndsTheOlder(t *testing.T) {
	server := httptest.NewServer(table.New(carawayspread.SystemClock()))
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	planner := lease.New(client, carawayspread.SystemClock(), "planner/s")
	qt.Assert(t, planner.Try(t.Context()), qt.IsNil)
	check, _ := planner.Check()
	plans := planstore.New(client, "s")
	write := func(read planstore.Plan, ids ...string) planstore.Plan {
		steps := []planstore.Step{{Endpoint: "elsewhere", Order: carawayspread.Order{ID: "other"}}}
		for _, id := range ids {
			steps = append(steps, planstore.Step{Endpoint: "engine-1", Order: carawayspread.Order{ID: id}})
		}
		plan, err := plans.Write(t.Context(), check, read, steps)
		qt.Assert(t, err, qt.IsNil)
		return plan
	}
	first := write(planstore.Plan{}, "1", "2", "block", "never")

	engine := &fakeEngine{failures: 2, blocking: make(chan struct{})}
	f := New(plans, map[carawayspread.EndpointID]Engine{"engine-1": engine},
		shortWaitClock{carawayspread.SystemClock()}, &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- f.Run(ctx) }()
	<-engine.blocking
	qt.Check(t, engine.executedIDs(), qt.DeepEquals, []string{"1", "2"})
	write(first, "3")
	for len(engine.executedIDs()) < 3 || engine.isHeld() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	qt.Check(t, <-runErr, qt.ErrorIs, context.Canceled)
	qt.Check(t, engine.executedIDs(), qt.DeepEquals, []string{"1", "2", "3"})
}
