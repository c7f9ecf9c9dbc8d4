package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"carawayspread"
)

func newTestScheduler(opts ...Option) (*Scheduler, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))}, opts...), clock
}

func newJob(clock carawayspread.Clock, workspace string, target time.Duration, decode int) *carawayspread.Job {
	class := carawayspread.NewClass("c", carawayspread.NewTarget(0, 0, target, 0.95), false)
	return &carawayspread.Job{Workspace: workspace, Class: class, Arrived: clock.Now(), Cost: carawayspread.Cost{Prefill: 1, Decode: decode}}
}

// Checks invariants under any order of calls: a free slot is never withheld from a waiting job, the
// queue stays within its bound, no job waits beyond its latest send time, and each offered job
// leaves in exactly one way.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxJobs = 5
		s, clock := newTestScheduler(MaxJobs(maxJobs))
		slots := 1
		left := map[*carawayspread.Job]int{} // how often a job left the queue for good
		var offered, running []*carawayspread.Job
		leave := func(job *carawayspread.Job) { left[job]++ }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				job := newJob(clock, fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "workspace")),
					time.Duration(rapid.IntRange(1, 100).Draw(t, "target"))*time.Second, rapid.IntRange(1, 500).Draw(t, "decode"))
				offered = append(offered, job)
				idle := len(running) < slots && s.Len() == 0
				defer func() {
					if idle && s.Next() == nil {
						t.Fatal("not sent though a slot was free")
					} else if idle {
						running = append(running, job)
					}
				}()
				if err := s.Offer(job); err != nil {
					refusal, _ := carawayspread.AsError(err)
					if idle || !refusal.NotRun() || refusal.RetryAfter() <= 0 {
						t.Fatalf("idle %t, refused with %v", idle, err)
					}
					leave(job)
				}
			},
			"next": func(t *rapid.T) {
				waits := s.Len() - s.parked.Len()
				job := s.Next()
				if job != nil {
					running = append(running, job)
				} else if waits > len(s.refused) && len(running) < slots {
					t.Fatalf("%d jobs wait, %d of %d slots taken", waits, len(running), slots)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				job := running[0]
				running = running[1:]
				if rapid.Bool().Draw(t, "placed") {
					s.Done(job, carawayspread.JobResult{Cost: job.Cost, FirstToken: 30 * time.Second, Took: time.Minute})
					leave(job)
				} else {
					s.Requeue(job)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(offered) > 0 {
					job := rapid.SampledFrom(offered).Draw(t, "job")
					if s.Cancel(job) {
						leave(job)
					}
				}
			},
			"capacity": func(t *rapid.T) { slots = rapid.IntRange(0, 5).Draw(t, "slots"); s.Capacity(slots) },
			"advance": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, refused := range s.Expired() {
					leave(refused.Job)
				}
				gone := 0
				for _, job := range offered {
					gone += left[job]
					if left[job] > 1 || left[job] == 0 && clock.Now().After(job.Arrived.Add(job.Class.Target().Whole())) && s.items[job] != nil {
						t.Fatalf("job left %d times", left[job])
					}
				}
				if s.Len() > maxJobs || gone+s.Len()+len(running) != len(offered) {
					t.Fatalf("%d queued, %d running, %d gone of %d", s.Len(), len(running), gone, len(offered))
				}
			},
		})
	})
}

// Two workspaces are always backlogged with jobs of any size and urgency. Neither may receive more
// than the other by more than the window, the credit and two jobs.
func TestShareBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, clock := newTestScheduler()
		const largest = 400
		got, bound := map[string]float64{}, 0.0 // the bound changes with the mean job
		offer := func(workspace string) {
			target := time.Duration(rapid.IntRange(1, 500).Draw(t, "target")) * time.Hour
			if err := s.Offer(newJob(clock, workspace, target, rapid.IntRange(1, largest).Draw(t, "decode"))); err != nil {
				t.Fatal(err)
			}
		}
		offer("b")
		s.Done(s.Next(), carawayspread.JobResult{})
		for range rapid.IntRange(0, 50).Draw(t, "alone") { // b leaves its share unused
			offer("a")
			s.Done(s.Next(), carawayspread.JobResult{Cost: carawayspread.Cost{Prefill: 1, Decode: largest}, Took: 8 * time.Second})
		}
		for range 3 {
			offer("a")
			offer("b")
		}
		for range 60 {
			job := s.Next()
			work := s.rates.work(job.Cost)
			got[job.Workspace] += work
			offer(job.Workspace)
			bound = max(bound, s.shares.window+s.shares.credit+2*s.rates.work(carawayspread.Cost{Prefill: 1, Decode: largest}))
			if ahead := got["a"] - got["b"]; max(ahead, -ahead) > bound {
				t.Fatalf("one workspace is %.2f s ahead, bound %.2f", ahead, bound)
			}
			s.Done(job, carawayspread.JobResult{Cost: job.Cost, FirstToken: seconds(0.0002), Took: seconds(work)})
		}
	})
}

// With a tighter target for its class, a job must be sent no later than before, or be refused; a
// tighter target must never delay it.
func TestTighterTargetIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SliceOfN(rapid.IntRange(10, 1000), 3, 12).Draw(t, "targets")
		tighter := rapid.IntRange(1, targets[1]).Draw(t, "tighter")
		position := func() int {
			s, clock := newTestScheduler()
			var watched *carawayspread.Job
			for n, target := range targets {
				job := newJob(clock, fmt.Sprint("w", n%2), time.Duration(target)*time.Second, 10)
				if n == 1 {
					watched = job
				}
				if s.Offer(job) != nil && job == watched {
					return -1
				}
			}
			for n := range targets {
				job := s.Next()
				if job == watched {
					return n
				}
				s.Done(job, carawayspread.JobResult{})
			}
			return -1
		}
		before := position()
		targets[1] = tighter
		if after := position(); after > before {
			t.Fatalf("sent as number %d, before as %d", after, before)
		}
	})
}

// The measured answers are so slow that no target can be met. A job that finds a free slot must
// still be sent: if it were refused, nothing would be measured again and every caller would be
// refused forever. With the slot taken, the next job is refused at once.
func TestFreeSlotIsNeverRefused(t *testing.T) {
	s, clock := newTestScheduler()
	for range 2 * minAnswers {
		job := newJob(clock, "w", time.Second, 10)
		qt.Assert(t, s.Offer(job), qt.IsNil)
		clock.Advance(time.Millisecond)
		qt.Assert(t, s.Next(), qt.Equals, job)
		s.Done(job, carawayspread.JobResult{Cost: job.Cost, FirstToken: time.Millisecond, Took: time.Minute})
	}
	first := newJob(clock, "w", time.Second, 10)
	qt.Assert(t, s.Offer(first), qt.IsNil)
	qt.Assert(t, s.Next(), qt.Equals, first)
	refusal, _ := carawayspread.AsError(s.Offer(newJob(clock, "w", time.Second, 10)))
	qt.Assert(t, refusal != nil, qt.IsTrue)
	qt.Check(t, refusal.Code(), qt.Equals, carawayspread.CodeOverloaded)
}

// Many callers are refused at once. Their Retry-After times must be spread at the drain rate, so
// that the callers do not retry together.
func TestRetryAfterIsSpread(t *testing.T) {
	s, clock := newTestScheduler()
	perSecond := map[int]int{}
	refused := 0
	for n := range 400 {
		err := s.Offer(newJob(clock, fmt.Sprint("w", n), 2*time.Second, 50))
		if refusal, ok := carawayspread.AsError(err); ok {
			perSecond[int(refusal.RetryAfter().Seconds())]++
			refused++
		}
	}
	qt.Assert(t, refused > 300, qt.IsTrue)
	for second, n := range perSecond {
		qt.Check(t, n <= refused/10, qt.IsTrue, qt.Commentf("%d of %d after %d s", n, refused, second))
	}
}
