package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/decision/ejection"
	"carawayspread/internal/decision/fairqueue"
	"carawayspread/internal/decision/gradient"
	"carawayspread/internal/decision/hashrouter"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/decision/retrybudget"
)

// Guards against refusals caused only by missing information: load reports and the store are
// unavailable for a minute, then for an hour. Callers are still served: each module uses or forgets
// earlier measurements as it documents, and the outage alone neither refuses a request nor empties
// the endpoint list.
func TestLostReports(t *testing.T) {
	for _, outage := range []time.Duration{time.Minute, time.Hour} {
		t.Run(outage.String(), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			env := carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))}
			scheduler, router, limiter := fairqueue.New(env), hashrouter.New(env), gradient.New(env)
			ejector, budget, quarantineState := ejection.New(env), retrybudget.New(clock), quarantine.New(clock)
			job := func() *carawayspread.Job {
				return &carawayspread.Job{Workspace: "w", Class: ruling, Arrived: clock.Now(), Cost: rulingCost, Prefix: 5, Fingerprint: rand.Uint64()}
			}
			var ids []carawayspread.EndpointID
			var listed []carawayspread.Endpoint
			for n := range 10 {
				ids = append(ids, carawayspread.EndpointID(fmt.Sprint("e", n)))
				listed = append(listed, carawayspread.NewEndpoint(ids[n], "llm", "a", "", false))
			}
			router.SetEndpoints(listed)
			ejector.SetEndpoints(ids)
			scheduler.Capacity(4)
			free := func(carawayspread.EndpointID) carawayspread.Availability { return carawayspread.AvailabilityFree }
			pickedBefore := map[carawayspread.EndpointID]int{}
			for n, id := range ids {
				router.Reported(carawayspread.EndpointReport{Endpoint: id, MeasuredAt: clock.Now(), Running: 4 * n, Slots: 16, Crashed: n == 9})
			}
			for range 20 { // measured as so slow that no ruling could be in time
				late := job()
				_ = scheduler.Offer(late)
				scheduler.Done(scheduler.Next(), carawayspread.JobResult{Cost: rulingCost, FirstToken: time.Minute, Took: time.Minute})
				limiter.Acquire()
				limiter.Release(time.Second, carawayspread.OutcomeServed)
				ejector.Observe(ids[0], 0, carawayspread.OutcomeFailed)
				budget.Allow()
			}
			quarantineState.Crashed(quarantine.Crash{Endpoint: ids[0], At: clock.Now()}, []uint64{1}, nil)
			quarantineState.Quarantined(2, 10*time.Minute)
			limit := limiter.Limit()
			sameJob := job()
			for range 50 {
				pickedBefore[router.Pick(sameJob, free).Endpoint]++
			}
			qt.Check(t, ejector.Allowed(ids[0]), qt.IsFalse)

			clock.Advance(outage)

			for range 4 {
				qt.Check(t, scheduler.Offer(job()), qt.IsNil)
				qt.Check(t, scheduler.Next(), qt.IsNotNil)
			}
			qt.Check(t, scheduler.Offer(job()), qt.IsNil) // is queued, though the old rates would refuse it
			for range 50 {
				choice := router.Pick(sameJob, free)
				qt.Check(t, choice.OutsideAffinity, qt.IsFalse)
				qt.Check(t, pickedBefore[choice.Endpoint] > 0 || len(pickedBefore) == 1, qt.IsTrue) // the same candidates
			}
			picked := map[carawayspread.EndpointID]int{}
			for range 1000 {
				picked[router.Pick(&carawayspread.Job{Fingerprint: rand.Uint64()}, free).Endpoint]++
			}
			for _, id := range ids { // old load and the crash no longer count
				qt.Check(t, picked[id] > 20, qt.IsTrue, qt.Commentf("%s: %d", id, picked[id]))
			}
			qt.Check(t, limiter.Limit(), qt.Equals, limit)
			qt.Check(t, ejector.Allowed(ids[0]), qt.IsTrue)
			qt.Check(t, budget.Allow(), qt.IsTrue)
			suspect, _ := quarantineState.Decide(quarantine.Attempt{Fingerprint: 1})
			quarantined, _ := quarantineState.Decide(quarantine.Attempt{Fingerprint: 2})
			qt.Check(t, suspect == quarantine.VerdictRun, qt.Equals, outage > 10*time.Minute)
			qt.Check(t, quarantined == quarantine.VerdictRun, qt.Equals, outage > 10*time.Minute)
		})
	}
}

// Guards against ejecting the whole fleet when this process loses its network, so that every
// endpoint seems to fail. Ejection never empties the fleet and never ejects a lone endpoint, and an
// endpoint whose probes keep failing is ejected for longer each time.
func TestEjectionIsBounded(t *testing.T) {
	for n, maxEjected := range map[int]int{1: 0, 2: 1, 3: 1, 20: 4, 1300: 260} {
		clock := clockwork.NewFakeClock()
		e := ejection.New(carawayspread.Environment{Clock: clock})
		var ids []carawayspread.EndpointID
		for i := range n {
			ids = append(ids, carawayspread.EndpointID(fmt.Sprint("e", i)))
		}
		e.SetEndpoints(ids)
		ejected := 0
		for _, id := range ids {
			for range 20 {
				e.Observe(id, 0, carawayspread.OutcomeFailed)
			}
			if !e.Allowed(id) {
				ejected++
			}
		}
		qt.Check(t, ejected, qt.Equals, maxEjected)
		if maxEjected == 0 {
			continue
		}
		lastEjectedFor := time.Duration(0)
		for range 4 {
			ejectedFor := time.Duration(0)
			for ; !e.Allowed(ids[0]); ejectedFor += time.Second {
				clock.Advance(time.Second)
			}
			qt.Check(t, ejectedFor > lastEjectedFor, qt.IsTrue)
			lastEjectedFor = ejectedFor
			e.Sent(ids[0])
			qt.Check(t, e.Allowed(ids[0]), qt.IsFalse) // one probe at a time
			e.Observe(ids[0], 0, carawayspread.OutcomeFailed)
		}
	}
}

// Guards against retry storms: half of all attempts fail for a minute, and each failure requests a
// retry. Retries stay within a tenth of the successes, plus one per second and the reserve.
func TestRetriesAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	budget := retrybudget.New(clock)
	retries, successes := 0, 0
	for range 60 {
		for range 100 {
			successes++
			budget.Succeeded()
			if budget.Allow() {
				retries++
			}
		}
		clock.Advance(time.Second)
	}
	qt.Check(t, retries <= successes/10+60+20, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Check(t, retries >= successes/10+50, qt.IsTrue, qt.Commentf("%d", retries))
}

// Guards against a concurrency limit that ignores latency: an endpoint becomes ten times slower
// under the same use. Its limit falls to below 4 within a hundred rounds and never below 1, and
// rises again once the endpoint recovers.
func TestLimitFollowsLatency(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := gradient.New(carawayspread.Environment{Clock: clock}, gradient.Max(64))
	serve := func(latency time.Duration, times int) int {
		for range times {
			for l.Acquire() {
			}
			for range l.Limit() {
				l.Release(latency, carawayspread.OutcomeServed)
			}
			clock.Advance(latency)
		}
		return l.Limit()
	}
	healthy := serve(10*time.Millisecond, 200)
	qt.Check(t, healthy, qt.Equals, 64)
	slow := serve(100*time.Millisecond, 100)
	qt.Check(t, slow < 4, qt.IsTrue, qt.Commentf("%d", slow))
	qt.Check(t, slow >= 1, qt.IsTrue)
	qt.Check(t, serve(10*time.Millisecond, 200), qt.Equals, 64)
}
