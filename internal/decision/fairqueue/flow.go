package fairqueue

import (
	"container/list"
	"time"

	"carawayspread"
)

// item is one job with its place in the queue.
type item struct {
	job    *carawayspread.Job
	flow   *flow
	latest time.Time // the last moment at which it may be sent
	work   float64   // seconds of a slot, as estimated when it was offered
	bucket int       // its bucket of ahead

	flowIndex   int           // place in flow.jobs, or -1
	latestIndex int           // place in Scheduler.byLatest, or -1
	arrival     *list.Element // place in flow.arrivals, nil when not queued there
	parking     *list.Element // place in Scheduler.parked, nil when not there
}

// flow is the queue of one workspace.
type flow struct {
	workspace string
	// tag is the virtual time at which its next job starts. It grows by the
	// work that the workspace receives, and is raised to the virtual time of
	// the scheduler, less its credit, when the workspace comes back.
	tag      float64
	queued   float64 // work in jobs; not negative
	running  int     // jobs that Next returned and that did not come back
	jobs     indexedHeap[*item]
	arrivals list.List // the same jobs, oldest first

	tagsIndex, eligibleIndex, ineligibleIndex, endsIndex int // places in the heaps of Scheduler, or -1
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

// end is the virtual time at which the last of its jobs would end.
func (f *flow) end() float64 { return f.tag + f.queued }
