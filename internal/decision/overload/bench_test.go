package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carawayspread"
)

func benchEnvironment() carawayspread.Environment {
	return carawayspread.Environment{Clock: carawayspread.SystemClock(), Rand: rand.New(rand.NewPCG(1, 2)), Zone: "a"}
}

// BenchmarkScheduler measures Offer, Next and Done of one job while every workspace (at most 4,000)
// has a job queued.
func BenchmarkScheduler(b *testing.B) {
	class := carawayspread.NewClass("register", carawayspread.NewTarget(time.Hour, 0, 0, 0.95), false)
	for _, workspaces := range []int{10, 100, 1000, 6800} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			create, _ := carawayspread.Schedulers.Get("fairQueue")
			s := create(benchEnvironment())
			s.Capacity(1)
			random := rand.New(rand.NewPCG(1, 3))
			job := func(n int) *carawayspread.Job {
				return &carawayspread.Job{
					Workspace: fmt.Sprint("w", n%workspaces), Class: class, Arrived: time.Now().Add(time.Duration(n) * time.Millisecond),
					Cost: carawayspread.Cost{Prefill: 1 + random.IntN(1000), Decode: 1 + random.IntN(100)},
				}
			}
			const lookahead = 4096
			jobs := make([]*carawayspread.Job, lookahead)
			for n := range jobs {
				jobs[n] = job(random.IntN(workspaces))
			}
			for n := range min(workspaces, 4000) {
				_ = s.Offer(job(n))
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				_ = s.Offer(jobs[n%lookahead])
				next := s.Next()
				s.Done(next, carawayspread.JobResult{Cost: next.Cost, FirstToken: time.Millisecond, Took: 10 * time.Millisecond})
				jobs[n%lookahead] = next
				n++
			}
		})
	}
}

// BenchmarkRouter measures Pick, Sent and Ended of one job.
func BenchmarkRouter(b *testing.B) {
	for _, name := range []string{"hashRouter", "leastOutstanding", "roundRobin"} {
		for _, endpoints := range []int{20, 200, 1300} {
			b.Run(fmt.Sprint(name, "/endpoints=", endpoints), func(b *testing.B) {
				create, _ := carawayspread.Routers.Get(name)
				r := create(benchEnvironment())
				var listed []carawayspread.Endpoint
				for n := range endpoints {
					listed = append(listed, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("e", n)), "llm", "a", "", false))
				}
				r.SetEndpoints(listed)
				for n, e := range listed {
					r.Reported(carawayspread.EndpointReport{Endpoint: e.ID(), MeasuredAt: time.Now(), Running: n % 8, Slots: 16})
				}
				random := rand.New(rand.NewPCG(1, 3))
				jobs := make([]carawayspread.Job, 4096)
				for n := range jobs {
					jobs[n] = carawayspread.Job{Prefix: random.Uint64(), Fingerprint: random.Uint64()}
				}
				free := func(carawayspread.EndpointID) carawayspread.Availability { return carawayspread.AvailabilityFree }
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					job := &jobs[n%len(jobs)]
					choice := r.Pick(job, free)
					r.Sent(choice.Endpoint, job)
					r.Ended(choice.Endpoint, job, carawayspread.OutcomeServed)
					n++
				}
			})
		}
	}
}

// BenchmarkGuards measures one attempt through limiter and ejector.
func BenchmarkGuards(b *testing.B) {
	for _, endpoints := range []int{20, 200, 1300} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			createLimiter, _ := carawayspread.Limiters.Get("gradient")
			createEjector, _ := carawayspread.Ejectors.Get("outlier")
			l, e := createLimiter(benchEnvironment()), createEjector(benchEnvironment())
			ids := make([]carawayspread.EndpointID, endpoints)
			for n := range ids {
				ids[n] = carawayspread.EndpointID(fmt.Sprint("e", n))
			}
			e.SetEndpoints(ids)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				id := ids[n%endpoints]
				if e.Allowed(id) && l.Acquire() {
					e.Sent(id)
					l.Release(time.Millisecond, carawayspread.OutcomeServed)
					e.Observe(id, time.Millisecond, carawayspread.OutcomeServed)
				}
				n++
			}
		})
	}
}

// BenchmarkSetEndpoints measures rebuilding the hash rings after one endpoint left.
func BenchmarkSetEndpoints(b *testing.B) {
	for _, endpoints := range []int{20, 200, 1300} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			create, _ := carawayspread.Routers.Get("hashRouter")
			r := create(benchEnvironment())
			var listed []carawayspread.Endpoint
			for n := range endpoints {
				listed = append(listed, carawayspread.NewEndpoint(carawayspread.EndpointID(fmt.Sprint("e", n)), "llm", "a", "", false))
			}
			b.ReportAllocs()
			leaving := false
			for b.Loop() {
				leaving = !leaving
				listed[0] = carawayspread.NewEndpoint("e0", "llm", "a", "", leaving)
				r.SetEndpoints(listed)
			}
		})
	}
}
