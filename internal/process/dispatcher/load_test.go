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

// newestReport is a router that keeps the newest report.
type newestReport struct {
	carawayspread.Router
	last carawayspread.EndpointReport
}

func (r *newestReport) Reported(report carawayspread.EndpointReport) {
	if report.MeasuredAt.After(r.last.MeasuredAt) {
		r.last = report
	}
}

func (*newestReport) SetEndpoints([]carawayspread.Endpoint) {}

// An entry gets the load of an endpoint from reports and from the answers to its
// requests. A report that is delayed behind the load of an answer has the earlier
// time, and the load of an answer contains no role, drain or crash. The router must
// hold the newest value of each field in every order.
func TestLoadOfAnswerKeepsTheReport(t *testing.T) {
	report := carawayspread.EndpointReport{Endpoint: "a", Running: 1, Slots: 16, Role: carawayspread.RoleDecode, Models: []string{"m"}}
	loaded := report
	loaded.Running, loaded.Waiting = 9, 2
	draining, crashed := report, report
	draining.Draining, crashed.Crashed = true, true
	type step func(*Dispatcher, *Slot, time.Time)
	receive := func(r carawayspread.EndpointReport, late time.Duration) step {
		return func(d *Dispatcher, _ *Slot, now time.Time) {
			r.MeasuredAt = now.Add(-late)
			d.Reported(r)
		}
	}
	answer := func(_ *Dispatcher, s *Slot, _ time.Time) { s.UpdateLoad(9, 2, 16) }
	tests := map[string]struct {
		steps []step
		want  carawayspread.EndpointReport
	}{
		"load renews the report":         {[]step{receive(report, 0), answer}, loaded},
		"load before any report":         {[]step{answer}, carawayspread.EndpointReport{}},
		"crash is not cleared by a load": {[]step{receive(crashed, 0), answer}, crashed},
		"drain delayed behind a load":    {[]step{receive(report, 0), answer, receive(draining, 2*time.Second)}, draining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			env := carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))}
			scheduler, _ := carawayspread.Schedulers.Get("fifo")
			ejector, _ := carawayspread.Ejectors.Get("never")
			limiter, _ := carawayspread.Limiters.Get("unlimited")
			router := &newestReport{}
			d := New(Modules{
				Scheduler: scheduler(env), Router: router, Ejector: ejector(env),
				Limiter: func() carawayspread.Limiter { return limiter(env) },
			}, clock)
			d.Update([]carawayspread.Endpoint{carawayspread.NewEndpoint("a", "s", "z", "127.0.0.1:1", false)})
			slot := &Slot{dispatcher: d, state: d.fleet.Load().states["a"]}
			for _, apply := range test.steps {
				clock.Advance(time.Second)
				apply(d, slot, clock.Now())
			}
			router.last.MeasuredAt = time.Time{}
			qt.Check(t, router.last, qt.DeepEquals, test.want)
		})
	}
}
