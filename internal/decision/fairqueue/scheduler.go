package fairqueue

import (
	"container/list"
	"math/rand/v2"
	"time"

	"carawayspread"
)

const (
	// maxQueueWait bounds the wait of a class whose target sets no limit for the first token or the
	// whole answer.
	maxQueueWait = 10 * time.Minute
	// defaultMaxJobs bounds the memory of a queue: with about 300 bytes per job and its body of
	// 40 KB, 4,096 jobs are what a small instance can hold.
	defaultMaxJobs = 4096
	// unparkBatch bounds how many parked jobs are queued again after each change. The others stay
	// parked, so that jobs waiting for one busy endpoint do not block those that can go to another.
	unparkBatch = 4
	// maxParkTime is the longest time until a job that could not be placed is tried again: capacity
	// freed by other processes is not visible here.
	maxParkTime = 20 * time.Millisecond
	// grace lets a job that found a free slot be sent although it is estimated to be late.
	grace = 50 * time.Millisecond
	// waitSafetyFactor multiplies the predicted wait, since actual waits vary around it. At 1.2
	// times the capacity, a factor of 1.5 left 6.8% of the jobs to be refused late and 2 leaves
	// 3.8%, at the same goodput; 3 leaves 1% but costs half a per cent of goodput at capacity.
	waitSafetyFactor = 2
	// windowJobs is the window in mean jobs. Beside a caller at ten times its share, workspaces
	// that used nine tenths of their share got 97.0% of their answers in time with one job, 93.9%
	// with four and 91.4% with eight.
	windowJobs = 1
	// creditJobs is the unused share, in mean jobs, that a workspace may use later. It smooths
	// bursts within about a second; under the same load, four jobs raised 97.0% to 98.5%.
	creditJobs = 4
)

// Scheduler is a carawayspread.Scheduler that shares slots fairly between workspaces and, within
// that, serves the most urgent job first.
type Scheduler struct {
	clock        carawayspread.Clock
	random       *rand.Rand
	maxJobs      int
	shares       *shares
	byLatest     indexedHeap[*item] // all queued and parked jobs
	workByLatest histogram
	rates        rates
	drain        drainMeter
	queued       float64 // work of all queued and parked jobs
	meanWork     float64 // of one job, exponentially smoothed; zero before the first
	items        map[*carawayspread.Job]*item
	running      map[*carawayspread.Job]*item
	parked       list.List                  // of *item that could not be placed, oldest first
	unparkedAt   time.Time                  // when parked jobs were last queued again
	refused      []carawayspread.RefusedJob // evicted and expired jobs until the next call of Expired
}

// Option sets an optional part of a Scheduler.
type Option func(*Scheduler)

// MaxJobs bounds the number of queued jobs.
func MaxJobs(n int) Option { return func(s *Scheduler) { s.maxJobs = n } }

var _ = carawayspread.Schedulers.Register("fairQueue", func(env carawayspread.Environment) carawayspread.Scheduler {
	return New(env)
})

// New returns an empty queue with one slot; Capacity sets the actual number.
func New(env carawayspread.Environment, opts ...Option) *Scheduler {
	now := env.Clock.Now()
	s := &Scheduler{
		clock:        env.Clock,
		random:       env.Rand,
		maxJobs:      defaultMaxJobs,
		shares:       newShares(),
		workByLatest: histogram{epoch: now},
		rates:        newRates(now),
		drain:        drainMeter{slots: 1, updated: now},
		items:        map[*carawayspread.Job]*item{},
		running:      map[*carawayspread.Job]*item{},
		byLatest: indexedHeap[*item]{
			less:  func(a, b *item) bool { return a.latest.Before(b.latest) },
			index: func(i *item) *int { return &i.latestIndex },
		},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Offer queues the job or refuses it at once.
func (s *Scheduler) Offer(job *carawayspread.Job) error {
	now := s.tick()
	s.rates.decay(now)
	i := &item{
		job:         job,
		flow:        s.shares.flow(job.Workspace),
		latest:      s.rates.latestSend(job),
		work:        s.rates.work(job.Cost),
		flowIndex:   -1,
		latestIndex: -1,
	}
	if err := s.admit(now, i); err != nil {
		return err
	}
	s.updateMeanWork(i.work)
	s.items[job] = i
	s.enqueue(i)
	return nil
}

// admit returns an error when the job cannot be served in time. A job that finds a free slot and an
// empty queue is always admitted: it delays no other job, and its answer corrects an estimate that
// would otherwise refuse every job and never be measured again.
func (s *Scheduler) admit(now time.Time, i *item) *carawayspread.Error {
	idle := len(s.items) == 0 && len(s.running) < s.drain.slots
	expired := !i.job.Deadline.IsZero() && i.job.Deadline.Before(now)
	if idle && !expired {
		i.latest = later(i.latest, now.Add(grace))
	}
	i.bucket = s.workByLatest.bucket(now, i.latest)
	if idle && !expired {
		return nil
	}
	late := now.Add(s.wait(now, i)).Sub(i.latest)
	if late > 0 {
		return s.refusal(now, i, late)
	}
	if len(s.items) >= s.maxJobs || s.queued > s.drain.rate()*maxQueueWait.Seconds() {
		return s.makeRoom(now, i)
	}
	return nil
}

// wait predicts the queueing time of the job as the smaller of two upper bounds: the work that is
// at least as urgent goes first, and the workspace receives its equal share after the work that it
// has queued itself.
func (s *Scheduler) wait(now time.Time, i *item) time.Duration {
	urgent := s.workByLatest.until(now, i.bucket)
	waiting := s.shares.backlogged()
	if i.flow.jobs.Len() == 0 {
		waiting++
	}
	lead := max(i.flow.tag-s.shares.virtualTime, -s.shares.credit)
	own := max(0, i.flow.queued+lead+i.work/2) * float64(waiting)
	return seconds(waitSafetyFactor * min(urgent, own) / s.drain.rate())
}

// makeRoom evicts the newest job of the workspace whose queue extends furthest beyond its share. If
// that is the workspace of the offered job, the offered job is refused instead.
func (s *Scheduler) makeRoom(now time.Time, i *item) *carawayspread.Error {
	over := seconds(s.queued / s.drain.rate())
	if s.shares.backlogged() == 0 {
		return s.refusal(now, i, over)
	}
	largest := s.shares.ends.top()
	if largest == i.flow || largest.end() <= max(i.flow.tag, s.shares.virtualTime)+i.flow.queued+i.work {
		return s.refusal(now, i, over)
	}
	s.refuse(now, largest.newest(), over)
	return nil
}

// refuse removes a queued or parked job and records its refusal.
func (s *Scheduler) refuse(now time.Time, i *item, late time.Duration) {
	s.dequeue(i)
	s.refused = append(s.refused, carawayspread.RefusedJob{Job: i.job, Err: s.refusal(now, i, late)})
}

// Next returns the job to be sent now.
func (s *Scheduler) Next() *carawayspread.Job {
	now := s.tick()
	s.expire(now)
	if s.parked.Len() > 0 && now.Sub(s.unparkedAt) >= maxParkTime {
		s.unpark(now)
	}
	if len(s.running) >= s.drain.slots {
		return nil
	}
	i := s.shares.next()
	if i == nil {
		return nil
	}
	s.dequeue(i)
	s.running[i.job] = i
	i.flow.running++
	s.shares.charge(i.flow, i.work)
	return i.job
}

// Requeue puts back a job that could not be placed and reverses its charge.
func (s *Scheduler) Requeue(job *carawayspread.Job) {
	now := s.tick()
	i, ok := s.running[job]
	if !ok {
		return
	}
	s.release(i, 0)
	s.items[job] = i
	i.bucket = s.workByLatest.bucket(now, i.latest)
	i.parking = s.parked.PushBack(i)
	s.track(i)
	if len(s.items) > s.maxJobs {
		s.shrink(now)
	}
}

// shrink evicts a job when a requeued job exceeds the limit because others took its place
// meanwhile.
func (s *Scheduler) shrink(now time.Time) {
	over := seconds(s.queued / s.drain.rate())
	if s.shares.backlogged() > 0 {
		s.refuse(now, s.shares.ends.top().newest(), over)
		return
	}
	s.refuse(now, s.parked.Back().Value.(*item), over)
}

// Done frees the slot of the job and replaces its estimated work by the measured work.
func (s *Scheduler) Done(job *carawayspread.Job, result carawayspread.JobResult) {
	now := s.tick()
	i, ok := s.running[job]
	if !ok {
		return
	}
	work := 0.0
	if result.Took > 0 {
		s.rates.observe(now, result)
		work = s.rates.work(result.Cost)
	}
	s.drain.ended(i.work, len(s.items) > 0 && result.Took > 0)
	s.release(i, work)
	s.unpark(now)
}

// Capacity sets the number of slots. Running jobs beyond that number continue. Parked jobs are
// queued again only when the number grows: a caller that lowers the capacity for every job that it
// cannot place would otherwise receive the same jobs forever.
func (s *Scheduler) Capacity(slots int) {
	now := s.tick()
	grew := slots > s.drain.slots
	s.drain.slots = max(0, slots)
	if grew {
		s.unpark(now)
	}
}

// Cancel removes a queued job.
func (s *Scheduler) Cancel(job *carawayspread.Job) bool {
	s.tick()
	i, ok := s.items[job]
	if ok {
		s.dequeue(i)
	}
	return ok
}

// Expired returns the jobs that were finally refused since the previous call.
func (s *Scheduler) Expired() []carawayspread.RefusedJob {
	s.expire(s.tick())
	refused := s.refused
	s.refused = nil
	return refused
}

// Len returns the number of queued jobs.
func (s *Scheduler) Len() int { return len(s.items) }

func (s *Scheduler) tick() time.Time {
	now := s.clock.Now()
	s.drain.advance(now, len(s.items) > 0)
	return now
}

func (s *Scheduler) expire(now time.Time) {
	for s.byLatest.Len() > 0 && s.byLatest.top().latest.Before(now) {
		s.refuse(now, s.byLatest.top(), 0)
	}
}

func (s *Scheduler) enqueue(i *item) {
	s.track(i)
	s.shares.add(i.flow, i)
}

func (s *Scheduler) track(i *item) {
	s.byLatest.put(i)
	s.workByLatest.add(i.bucket, i.work)
	s.queued += i.work
}

// dequeue removes a queued or parked job from all queues.
func (s *Scheduler) dequeue(i *item) {
	delete(s.items, i.job)
	s.byLatest.remove(i)
	s.workByLatest.add(i.bucket, -i.work)
	s.queued = max(0, s.queued-i.work)
	if i.parking == nil {
		s.shares.remove(i)
		return
	}
	s.parked.Remove(i.parking)
	i.parking = nil
}

// release removes a job from the running ones and corrects its charge to work.
func (s *Scheduler) release(i *item, work float64) {
	delete(s.running, i.job)
	i.flow.running--
	s.shares.charge(i.flow, work-i.work)
}

func (s *Scheduler) unpark(now time.Time) {
	s.unparkedAt = now
	for range min(unparkBatch, s.parked.Len()) {
		i := s.parked.Remove(s.parked.Front()).(*item)
		i.parking = nil
		i.flow = s.shares.flow(i.job.Workspace)
		s.shares.add(i.flow, i)
	}
}

func (s *Scheduler) updateMeanWork(work float64) {
	const weight = 0.05
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += weight * (work - s.meanWork)
	s.shares.window = windowJobs * s.meanWork
	s.shares.credit = creditJobs * s.meanWork
}

func (s *Scheduler) refusal(now time.Time, i *item, late time.Duration) *carawayspread.Error {
	if !i.job.Deadline.IsZero() && i.job.Deadline.Before(now) {
		return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the deadline of the caller has passed", carawayspread.NotRun())
	}
	after := carawayspread.RetryAfter(s.drain.retryAfter(late, i.work, s.random))
	if i.flow.queued*float64(s.shares.backlogged()) > s.queued && s.shares.backlogged() > 1 {
		return carawayspread.NewError(carawayspread.CodeShareExceeded, "the workspace has queued more than the others leave", carawayspread.NotRun(), after)
	}
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the target of the class cannot be met now", carawayspread.NotRun(), after)
}
