package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	_ "carawayspread/internal/decision/fifo"
	_ "carawayspread/internal/decision/neverejects"
	_ "carawayspread/internal/decision/unlimited"
)

// told keeps what the router would keep: the newest report.
type told struct {
	carawayspread.Router
	last carawayspread.EndpointReport
}

func (r *told) Reported(report carawayspread.EndpointReport) {
	if report.MeasuredAt.After(r.last.MeasuredAt) {
		r.last = report
	}
}

func (*told) SetEndpoints([]carawayspread.Endpoint) {}

// An entry hears of an endpoint by reports and by the answers of its requests.
// A report that waits behind the load of an answer is dated before it, and the
// load of an answer says nothing of roles, drains and crashes. Whatever the
// order, the router keeps the newest word on each.
func TestLoadOfAnswerKeepsTheReport(t *testing.T) {
	report := carawayspread.EndpointReport{Endpoint: "a", Running: 1, Slots: 16, Role: carawayspread.RoleDecode, Models: []string{"m"}}
	loaded := report
	loaded.Running, loaded.Waiting = 9, 2
	draining, crashed := report, report
	draining.Draining, crashed.Crashed = true, true
	type step func(*Dispatcher, *Slot, time.Time)
	tell := func(r carawayspread.EndpointReport, late time.Duration) step {
		return func(l *Dispatcher, _ *Slot, now time.Time) {
			r.MeasuredAt = now.Add(-late)
			l.Reported(r)
		}
	}
	answer := func(_ *Dispatcher, p *Slot, _ time.Time) { p.UpdateLoad(9, 2, 16) }
	tests := map[string]struct {
		steps []step
		want  carawayspread.EndpointReport
	}{
		"load renews the report":         {[]step{tell(report, 0), answer}, loaded},
		"load before any report":         {[]step{answer}, carawayspread.EndpointReport{}},
		"crash is not cleared by a load": {[]step{tell(crashed, 0), answer}, crashed},
		"drain waited behind a load":     {[]step{tell(report, 0), answer, tell(draining, 2*time.Second)}, draining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			env := carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))}
			scheduler, _ := carawayspread.Schedulers.Get("fifo")
			ejector, _ := carawayspread.Ejectors.Get("never")
			limiter, _ := carawayspread.Limiters.Get("unlimited")
			router := &told{}
			l := New(Modules{
				Scheduler: scheduler(env), Router: router, Ejector: ejector(env),
				Limiter: func() carawayspread.Limiter { return limiter(env) },
			}, clock)
			l.Update([]carawayspread.Endpoint{carawayspread.NewEndpoint("a", "s", "z", "127.0.0.1:1", false)})
			place := &Slot{lane: l, slot: l.fleet.Load().slots["a"]}
			for _, s := range test.steps {
				clock.Advance(time.Second)
				s(l, place, clock.Now())
			}
			router.last.MeasuredAt = time.Time{}
			qt.Check(t, router.last, qt.DeepEquals, test.want)
		})
	}
}
