package fairqueue

import (
	"container/list"
	"time"

	"carawayspread"
)

// item is one job and its positions in the queues.
type item struct {
	job    *carawayspread.Job
	flow   *flow
	latest time.Time // latest time at which it may be sent
	work   float64   // seconds of a slot, as estimated when the job was offered
	bucket int       // its bucket in Scheduler.workByLatest

	flowIndex   int           // index in flow.jobs, or -1
	latestIndex int           // index in Scheduler.byLatest, or -1
	arrival     *list.Element // element of flow.arrivals; nil when not queued there
	parking     *list.Element // element of Scheduler.parked; nil when not parked
}

// flow is the queue of one workspace.
type flow struct {
	workspace string
	// tag is the virtual time at which its next job starts. It grows by the work that the workspace
	// receives. When the workspace becomes backlogged again, it is raised to the scheduler's
	// virtual time less the credit.
	tag      float64
	queued   float64 // work of the queued jobs; not negative
	running  int     // jobs returned by Next and not yet passed to Done or Requeue
	jobs     indexedHeap[*item]
	arrivals list.List // the same jobs, oldest first

	tagsIndex, eligibleIndex, ineligibleIndex, endsIndex int // indexes in the heaps of shares, or -1
}

func newFlow(workspace string) *flow {
	return &flow{
		workspace:       workspace,
		tagsIndex:       -1,
		eligibleIndex:   -1,
		ineligibleIndex: -1,
		endsIndex:       -1,
		jobs: indexedHeap[*item]{
			less:  func(a, b *item) bool { return a.latest.Before(b.latest) },
			index: func(i *item) *int { return &i.flowIndex },
		},
	}
}

func (f *flow) add(i *item) {
	f.jobs.put(i)
	i.arrival = f.arrivals.PushBack(i)
	f.queued += i.work
}

func (f *flow) remove(i *item) {
	f.jobs.remove(i)
	f.arrivals.Remove(i.arrival)
	i.arrival = nil
	f.queued = max(0, f.queued-i.work)
	if f.jobs.Len() == 0 {
		f.queued = 0
	}
}

func (f *flow) newest() *item { return f.arrivals.Back().Value.(*item) }

// end returns the virtual time at which the last of its queued jobs would end.
func (f *flow) end() float64 { return f.tag + f.queued }
