package leadership

import (
	"context"
	"io"
	"net/http/httptest"
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

// machine is what a process runs on: both its clocks are advanced by the test.
type machine struct {
	*clockwork.FakeClock
	started time.Time
}

func (m machine) Uptime() time.Duration { return m.Now().Sub(m.started) + time.Hour }

type world struct {
	machine
	service *table.Table
	client  *dynamodb.Table
}

func newWorld(t *testing.T) *world {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	clock := clockwork.NewFakeClock()
	return &world{machine: machine{clock, clock.Now()}, service: service, client: client}
}

func (w *world) join(instance string, candidate *bool) *Leadership {
	return New("duty", instance, "p", w.client, func() bool { return *candidate }, w.machine, w.machine,
		decisionlog.New(io.Discard), metrics.NewSet())
}

// run lets time pass while all renew.
func (w *world) run(d time.Duration, all ...*Leadership) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		w.Advance(step)
		for _, l := range all {
			l.Renew(context.Background())
		}
	}
}

// Guards against a leader that knows nothing of what processes did that are gone: one that
// has just become a candidate tries later than one of long standing.
func TestNewcomerTriesLater(t *testing.T) {
	w := newWorld(t)
	yes, later := true, false
	leader, old, newcomer := w.join("leader", &yes), w.join("old", &yes), w.join("new", &later)
	w.run(seniority+time.Second, leader, old, newcomer)
	qt.Assert(t, leader.Holds(), qt.IsTrue)
	w.run(tenureLeast, leader, old)
	later = true
	leader.ResignOnShutdown()
	qt.Check(t, leader.Fence(), qt.Equals, uint64(0))
	w.run(seniority-100*time.Millisecond, newcomer)
	qt.Check(t, newcomer.Holds(), qt.IsFalse)
	w.run(renewEvery, old)
	qt.Check(t, old.Holds(), qt.IsTrue)
	qt.Check(t, old.Fence(), qt.Equals, uint64(2))
}

// Guards against a duty that nobody does for the whole term after an outage of the table:
// who held the lease last gets it back at once, candidate or not, under its number.
func TestLastLeaderReturnsAfterAnOutage(t *testing.T) {
	w := newWorld(t)
	candidate := true
	leader := w.join("leader", &candidate)
	w.run(seniority+time.Second, leader)
	w.service.SetDown(true)
	candidate = false
	w.run(2*term, leader)
	qt.Assert(t, leader.Holds(), qt.IsFalse)
	w.service.SetDown(false)
	w.run(renewEvery, leader)
	qt.Check(t, leader.Holds(), qt.IsTrue)
	qt.Check(t, leader.Fence(), qt.Equals, uint64(1))
}

// Guards against leaders that take turns quickly: one that leaves right after it took over
// lets the lease run out.
func TestLeaderOfAMomentResignsNothing(t *testing.T) {
	w := newWorld(t)
	yes := true
	leader, next := w.join("leader", &yes), w.join("next", &yes)
	w.run(seniority+100*time.Millisecond, leader)
	qt.Assert(t, leader.Holds(), qt.IsTrue)
	leader.ResignOnShutdown()
	w.run(term-100*time.Millisecond, next)
	qt.Check(t, next.Holds(), qt.IsFalse)
	w.run(2*term, next)
	qt.Check(t, next.Holds(), qt.IsTrue)
}
