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

// fakeClocks is the clock and the uptime of a process, both advanced by the test.
type fakeClocks struct {
	*clockwork.FakeClock
	started time.Time
}

func (c fakeClocks) Uptime() time.Duration { return c.Now().Sub(c.started) + time.Hour }

type cluster struct {
	fakeClocks
	service *table.Table
	client  *dynamodb.Table
}

func newCluster(t *testing.T) *cluster {
	service := table.New(carawayspread.SystemClock())
	server := httptest.NewServer(service)
	client := dynamodb.New(server.URL)
	t.Cleanup(func() { client.Close(); server.Close() })
	clock := clockwork.NewFakeClock()
	return &cluster{fakeClocks: fakeClocks{clock, clock.Now()}, service: service, client: client}
}

func (w *cluster) join(instance string, candidate *bool) *Leadership {
	return New("duty", instance, "p", w.client, func() bool { return *candidate }, w.fakeClocks, w.fakeClocks,
		decisionlog.New(io.Discard), metrics.NewSet())
}

// run advances the time by d in steps and calls Renew of all after each.
func (w *cluster) run(d time.Duration, all ...*Leadership) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		w.Advance(step)
		for _, l := range all {
			l.Renew(context.Background())
		}
	}
}

// Guards against a leader that does not know what processes did that have since ended: a new
// candidate tries to acquire the lease later than a long-standing one.
func TestNewcomerTriesLater(t *testing.T) {
	w := newCluster(t)
	always, later := true, false
	leader, old, newcomer := w.join("leader", &always), w.join("old", &always), w.join("new", &later)
	w.run(minCandidacy+time.Second, leader, old, newcomer)
	qt.Assert(t, leader.Holds(), qt.IsTrue)
	w.run(minTenure, leader, old)
	later = true
	leader.ResignOnShutdown()
	qt.Check(t, leader.Fence(), qt.Equals, uint64(0))
	w.run(minCandidacy-100*time.Millisecond, newcomer)
	qt.Check(t, newcomer.Holds(), qt.IsFalse)
	w.run(renewEvery, old)
	qt.Check(t, old.Holds(), qt.IsTrue)
	qt.Check(t, old.Fence(), qt.Equals, uint64(2))
}

// Guards against a missing leader for a whole term after an outage of the table: the last holder
// reacquires the lease at once with the same fencing token, even if it is no longer a candidate.
func TestLastLeaderReacquiresAfterOutage(t *testing.T) {
	w := newCluster(t)
	candidate := true
	leader := w.join("leader", &candidate)
	w.run(minCandidacy+time.Second, leader)
	w.service.SetDown(true)
	candidate = false
	w.run(2*term, leader)
	qt.Assert(t, leader.Holds(), qt.IsFalse)
	w.service.SetDown(false)
	w.run(renewEvery, leader)
	qt.Check(t, leader.Holds(), qt.IsTrue)
	qt.Check(t, leader.Fence(), qt.Equals, uint64(1))
}

// Guards against rapid changes of the leader: one that shuts down right after it acquired the lease
// lets the lease expire instead of releasing it.
func TestNewLeaderDoesNotResignOnShutdown(t *testing.T) {
	w := newCluster(t)
	always := true
	leader, next := w.join("leader", &always), w.join("next", &always)
	w.run(minCandidacy+100*time.Millisecond, leader)
	qt.Assert(t, leader.Holds(), qt.IsTrue)
	leader.ResignOnShutdown()
	w.run(term-100*time.Millisecond, next)
	qt.Check(t, next.Holds(), qt.IsFalse)
	w.run(2*term, next)
	qt.Check(t, next.Holds(), qt.IsTrue)
}
