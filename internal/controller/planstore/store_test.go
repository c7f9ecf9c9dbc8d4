package planstore

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/standin/table"
)

const term = 9 * time.Second

func steps(value string) []Step {
	return []Step{{Endpoint: "engine-1", Order: carawayspread.Order{ID: "1", Kind: carawayspread.OrderSetRole, Value: value}}}
}

// A planner reads the plan and is paused. Another planner acquires the lease and writes, and the
// first one resumes and writes its plan: the newer plan must stay. The late write must also fail if
// the successor has not written yet, and a planner must not write twice based on the same plan.
func TestOutdatedPlannerWritesNothing(t *testing.T) {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	first := lease.New(client, clock, "planner/s", lease.WithTerm(term))
	second := lease.New(client, clock, "planner/s", lease.WithTerm(term))
	store := New(client, "s")

	qt.Assert(t, first.Try(ctx), qt.IsNil)
	outdatedCheck, _ := first.Check()
	noPlan, err := store.Read(ctx)
	qt.Assert(t, err, qt.IsNil)
	service.LoseAnswers(1)
	firstPlan, err := store.Write(ctx, outdatedCheck, noPlan, steps("prefill"))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("a write with a lost response is read back"))
	_, err = store.Write(ctx, outdatedCheck, noPlan, steps("decode"))
	qt.Check(t, err, qt.ErrorIs, ErrOutdated)

	qt.Check(t, second.Try(ctx), qt.ErrorIs, lease.ErrHeld)
	clock.Advance(2 * term)
	qt.Assert(t, second.Try(ctx), qt.IsNil)
	_, err = store.Write(ctx, outdatedCheck, firstPlan, steps("both"))
	qt.Check(t, err, qt.ErrorIs, ErrOutdated)
	currentCheck, _ := second.Check()
	_, err = store.Write(ctx, currentCheck, firstPlan, steps("decode"))
	qt.Assert(t, err, qt.IsNil)
	got, err := store.Read(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Number(), qt.Equals, uint64(2))
	qt.Check(t, got.Steps(), qt.DeepEquals, steps("decode"))
}
