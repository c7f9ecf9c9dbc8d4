// Package fifo serves jobs in the order of arrival, without limits or
// refusals. It is the baseline that other schedulers are compared with.
package fifo

import (
	"container/list"
	"time"

	"carawayspread"
)

// Scheduler is a carawayspread.Scheduler in the order of arrival.
type Scheduler struct {
	slots   int
	queue   list.List // of *carawayspread.Job, the oldest first
	places  map[*carawayspread.Job]*list.Element
	running map[*carawayspread.Job]bool
	parked  []*carawayspread.Job // put back, until the next Done, Capacity or parkedFor
	clock   carawayspread.Clock
	since   time.Time // when the last job was put back
}

// parkedFor is how long a job that could not be placed holds the queue at most.
const parkedFor = 20 * time.Millisecond

var _ = carawayspread.Schedulers.Register("fifo", func(env carawayspread.Environment) carawayspread.Scheduler {
	return New(env)
})

// New returns an empty queue with one slot.
func New(env carawayspread.Environment) *Scheduler {
	return &Scheduler{
		clock:   env.Clock,
		slots:   1,
		places:  map[*carawayspread.Job]*list.Element{},
		running: map[*carawayspread.Job]bool{},
	}
}

// Offer queues the job.
func (s *Scheduler) Offer(job *carawayspread.Job) error {
	s.places[job] = s.queue.PushBack(job)
	return nil
}

// Next returns the oldest job while slots are free.
func (s *Scheduler) Next() *carawayspread.Job {
	if len(s.parked) > 0 && s.clock.Now().Sub(s.since) >= parkedFor {
		s.unpark()
	}
	oldest := s.queue.Front()
	if oldest == nil || len(s.running) >= s.slots || len(s.parked) > 0 {
		return nil
	}
	job := s.queue.Remove(oldest).(*carawayspread.Job)
	delete(s.places, job)
	s.running[job] = true
	return job
}

// Requeue puts the job back to the front and holds the queue.
func (s *Scheduler) Requeue(job *carawayspread.Job) {
	delete(s.running, job)
	s.parked = append(s.parked, job)
	s.since = s.clock.Now()
}

// Expired returns nothing: no job is ever refused.
func (s *Scheduler) Expired() []carawayspread.RefusedJob { return nil }

// Cancel removes a queued job.
func (s *Scheduler) Cancel(job *carawayspread.Job) bool {
	for n, parked := range s.parked {
		if parked == job {
			s.parked = append(s.parked[:n], s.parked[n+1:]...)
			return true
		}
	}
	place, ok := s.places[job]
	if ok {
		s.queue.Remove(place)
		delete(s.places, job)
	}
	return ok
}

// Done frees the slot of the job.
func (s *Scheduler) Done(job *carawayspread.Job, _ carawayspread.JobResult) {
	delete(s.running, job)
	s.unpark()
}

// Capacity sets the slots.
func (s *Scheduler) Capacity(slots int) {
	s.slots = slots
	s.unpark()
}

// Len returns the number of queued jobs.
func (s *Scheduler) Len() int { return s.queue.Len() + len(s.parked) }

func (s *Scheduler) unpark() {
	for _, job := range s.parked {
		s.places[job] = s.queue.PushFront(job)
	}
	s.parked = nil
}
