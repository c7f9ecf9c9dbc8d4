package fairqueue

import (
	"container/list"
	"math/rand/v2"
	"time"

	"carawayspread"
)

const (
	// patience bounds the wait of a class whose target states no time to the
	// first token or to the whole answer.
	patience = 10 * time.Minute
	// defaultMaxJobs bounds the memory of a queue: at about 300 bytes a job
	// and 40 KB of body behind it, 4,096 jobs are what a thin instance holds.
	defaultMaxJobs = 4096
	// unparkEach bounds the attempts at placing jobs again after each change.
	// The others stay aside, so that jobs which wait for one busy endpoint do
	// not hold those that can go elsewhere.
	unparkEach = 4
	// parkedFor is how long a job that could not be placed waits at most for
	// the next attempt: a place that another process freed is not seen here.
	parkedFor = 20 * time.Millisecond
	// grace lets a job that found a free slot be sent although it is estimated
	// to be late.
	grace = 50 * time.Millisecond
	// caution is the factor on a predicted wait. A wait varies round its
	// prediction: at 1.2 times the capacity a factor of 1.5 left 6.8% of the
	// jobs to be refused late, 2 leaves 3.8%, at the same goodput; 3 leaves 1%
	// and costs half a per cent of goodput at capacity.
	caution = 2
	// windowJobs is the window in mean jobs. Beside a caller at ten times its
	// share, workspaces that used nine tenths of theirs got 97.0% of their
	// answers in time with one job, 93.9% with four and 91.4% with eight.
	windowJobs = 1
	// creditJobs is what a workspace may leave unused and still take later. It
	// evens out bursts within a second or so; in the same load four jobs raised
	// 97.0% to 98.5%.
	creditJobs = 4
)

// Scheduler is a carawayspread.Scheduler that shares slots fairly between
// workspaces and, within that, serves the most urgent job first.
type Scheduler struct {
	clock    carawayspread.Clock
	random   *rand.Rand
	maxJobs  int
	shares   *shares
	byLatest ordered[*item] // all queued and parked jobs
	ahead    ahead
	rates    rates
	drain    drain
	queued   float64 // work of all queued and parked jobs
	meanWork float64 // of one job, smoothed; zero before the first
	items    map[*carawayspread.Job]*item
	running  map[*carawayspread.Job]*item
	parked   list.List                  // of *item that could not be placed, the oldest first
	parkedAt time.Time                  // when the oldest of parked could not be placed
	refused  []carawayspread.RefusedJob // evicted jobs, until Expired is asked
}

// Option sets an optional part of a Scheduler.
type Option func(*Scheduler)

// MaxJobs bounds the number of queued jobs.
func MaxJobs(n int) Option { return func(s *Scheduler) { s.maxJobs = n } }

var _ = carawayspread.Schedulers.Register("fairQueue", func(env carawayspread.Environment) carawayspread.Scheduler {
	return New(env)
})

// New returns an empty queue with one slot, which Capacity replaces.
func New(env carawayspread.Environment, opts ...Option) *Scheduler {
	now := env.Clock.Now()
	s := &Scheduler{
		clock:   env.Clock,
		random:  env.Rand,
		maxJobs: defaultMaxJobs,
		shares:  newShares(),
		ahead:   ahead{epoch: now},
		rates:   newRates(now),
		drain:   drain{slots: 1, updated: now},
		items:   map[*carawayspread.Job]*item{},
		running: map[*carawayspread.Job]*item{},
		byLatest: ordered[*item]{
			less:  func(a, b *item) bool { return a.latest.Before(b.latest) },
			place: func(i *item) *int { return &i.inLatest },
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
	s.rates.age(now)
	i := &item{
		job:      job,
		flow:     s.shares.flow(job.Workspace),
		latest:   s.rates.latestSend(job),
		work:     s.rates.work(job.Cost),
		inFlow:   -1,
		inLatest: -1,
	}
	if err := s.admit(now, i); err != nil {
		return err
	}
	s.learnWork(i.work)
	s.items[job] = i
	s.enqueue(i)
	return nil
}

// admit returns the refusal of a job that cannot be served in time. A job that
// finds a free slot and nobody waiting is always admitted: it harms nobody,
// and its answer corrects an estimate that would otherwise refuse every job
// and never be measured again.
func (s *Scheduler) admit(now time.Time, i *item) *carawayspread.Error {
	idle := len(s.items) == 0 && len(s.running) < s.drain.slots
	expired := !i.job.Deadline.IsZero() && i.job.Deadline.Before(now)
	if idle && !expired {
		i.latest = later(i.latest, now.Add(grace))
	}
	i.slot = s.ahead.slot(now, i.latest)
	if idle && !expired {
		return nil
	}
	late := now.Add(s.wait(now, i)).Sub(i.latest)
	if late > 0 {
		return s.refusal(now, i, late)
	}
	if len(s.items) >= s.maxJobs || s.queued > s.drain.rate()*patience.Seconds() {
		return s.makeRoom(now, i)
	}
	return nil
}

// wait predicts how long the job would wait. Two bounds hold, so the smaller
// counts: what is at least as urgent goes first, and the workspace receives its
// equal part after what it has queued itself.
func (s *Scheduler) wait(now time.Time, i *item) time.Duration {
	urgent := s.ahead.until(now, i.slot)
	waiting := s.shares.backlogged()
	if i.flow.jobs.Len() == 0 {
		waiting++
	}
	lead := max(i.flow.tag-s.shares.virtual, -s.shares.credit)
	own := max(0, i.flow.queued+lead+i.work/2) * float64(waiting)
	return seconds(caution * min(urgent, own) / s.drain.rate())
}

// makeRoom evicts the newest job of the workspace that asks for most beyond
// its share, which may be the one that offers.
func (s *Scheduler) makeRoom(now time.Time, i *item) *carawayspread.Error {
	over := seconds(s.queued / s.drain.rate())
	if s.shares.backlogged() == 0 {
		return s.refusal(now, i, over)
	}
	largest := s.shares.ends.top()
	if largest == i.flow || largest.end() <= max(i.flow.tag, s.shares.virtual)+i.flow.queued+i.work {
		return s.refusal(now, i, over)
	}
	s.refuse(now, largest.newest(), over)
	return nil
}

// refuse ends a queued or parked job.
func (s *Scheduler) refuse(now time.Time, i *item, late time.Duration) {
	s.forget(i)
	s.refused = append(s.refused, carawayspread.RefusedJob{Job: i.job, Err: s.refusal(now, i, late)})
}

// Next returns the job that is to be sent now.
func (s *Scheduler) Next() *carawayspread.Job {
	now := s.tick()
	s.expire(now)
	if s.parked.Len() > 0 && now.Sub(s.parkedAt) >= parkedFor {
		s.unpark(now)
	}
	if len(s.running) >= s.drain.slots {
		return nil
	}
	i := s.shares.next()
	if i == nil {
		return nil
	}
	s.forget(i)
	s.running[i.job] = i
	i.flow.running++
	s.shares.charge(i.flow, i.work)
	return i.job
}

// Requeue puts back a job that could not be placed and returns its charge.
func (s *Scheduler) Requeue(job *carawayspread.Job) {
	now := s.tick()
	i, ok := s.running[job]
	if !ok {
		return
	}
	s.release(i, 0)
	s.items[job] = i
	i.slot = s.ahead.slot(now, i.latest)
	i.parking = s.parked.PushBack(i)
	s.count(i)
	if len(s.items) > s.maxJobs {
		s.shrink(now)
	}
}

// shrink makes room for a job that came back while others took its place.
func (s *Scheduler) shrink(now time.Time) {
	over := seconds(s.queued / s.drain.rate())
	if s.shares.backlogged() > 0 {
		s.refuse(now, s.shares.ends.top().newest(), over)
		return
	}
	s.refuse(now, s.parked.Back().Value.(*item), over)
}

// Done frees the slot of the job and replaces its estimate by what it took.
func (s *Scheduler) Done(job *carawayspread.Job, served carawayspread.JobResult) {
	now := s.tick()
	i, ok := s.running[job]
	if !ok {
		return
	}
	work := 0.0
	if served.Took > 0 {
		s.rates.observe(now, served)
		work = s.rates.work(served.Cost)
	}
	s.drain.ended(i.work, len(s.items) > 0 && served.Took > 0)
	s.release(i, work)
	s.unpark(now)
}

// Capacity sets the slots. Jobs that run beyond them end undisturbed. Only more
// slots let parked jobs try again: a caller that lowers the capacity with every
// job that it cannot place would get the same jobs for ever.
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
		s.forget(i)
	}
	return ok
}

// Expired returns the jobs that got their final refusal since it was asked last.
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
	s.count(i)
	s.shares.add(i.flow, i)
}

func (s *Scheduler) count(i *item) {
	s.byLatest.put(i)
	s.ahead.add(i.slot, i.work)
	s.queued += i.work
}

// forget removes a queued or parked job from every order.
func (s *Scheduler) forget(i *item) {
	delete(s.items, i.job)
	s.byLatest.remove(i)
	s.ahead.add(i.slot, -i.work)
	s.queued = max(0, s.queued-i.work)
	if i.parking == nil {
		s.shares.remove(i)
		return
	}
	s.parked.Remove(i.parking)
	i.parking = nil
}

// release takes a job out of the running ones and settles its charge.
func (s *Scheduler) release(i *item, work float64) {
	delete(s.running, i.job)
	i.flow.running--
	s.shares.charge(i.flow, work-i.work)
}

func (s *Scheduler) unpark(now time.Time) {
	s.parkedAt = now
	for range min(unparkEach, s.parked.Len()) {
		i := s.parked.Remove(s.parked.Front()).(*item)
		i.parking = nil
		i.flow = s.shares.flow(i.job.Workspace)
		s.shares.add(i.flow, i)
	}
}

func (s *Scheduler) learnWork(work float64) {
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
