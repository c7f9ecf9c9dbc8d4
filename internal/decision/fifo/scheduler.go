// Package fifo serves jobs in order of arrival, without limits or refusals. It is the baseline that
// other schedulers are compared with.
package fifo

import (
	"container/list"
	"time"

	"carawayspread"
)

// Scheduler is a carawayspread.Scheduler that serves jobs in order of arrival.
type Scheduler struct {
	slots    int
	queue    list.List // of *carawayspread.Job, oldest first
	elements map[*carawayspread.Job]*list.Element
	running  map[*carawayspread.Job]bool
	parked   []*carawayspread.Job // requeued, until the next Done, Capacity or maxParkTime
	clock    carawayspread.Clock
	parkedAt time.Time // when the last job was requeued
}

// maxParkTime is the longest time that a job which could not be placed blocks the queue.
const maxParkTime = 20 * time.Millisecond

var _ = carawayspread.Schedulers.Register("fifo", func(env carawayspread.Environment) carawayspread.Scheduler {
	return New(env)
})

// New returns an empty queue with one slot.
func New(env carawayspread.Environment) *Scheduler {
	return &Scheduler{
		clock:    env.Clock,
		slots:    1,
		elements: map[*carawayspread.Job]*list.Element{},
		running:  map[*carawayspread.Job]bool{},
	}
}

// Offer queues the job; it never refuses one.
func (s *Scheduler) Offer(job *carawayspread.Job) error {
	s.elements[job] = s.queue.PushBack(job)
	return nil
}

// Next returns the oldest job while slots are free and no job is parked.
func (s *Scheduler) Next() *carawayspread.Job {
	if len(s.parked) > 0 && s.clock.Now().Sub(s.parkedAt) >= maxParkTime {
		s.unpark()
	}
	oldest := s.queue.Front()
	if oldest == nil || len(s.running) >= s.slots || len(s.parked) > 0 {
		return nil
	}
	job := s.queue.Remove(oldest).(*carawayspread.Job)
	delete(s.elements, job)
	s.running[job] = true
	return job
}

// Requeue parks the job, which blocks the queue and later returns to its front.
func (s *Scheduler) Requeue(job *carawayspread.Job) {
	delete(s.running, job)
	s.parked = append(s.parked, job)
	s.parkedAt = s.clock.Now()
}

// Expired returns nothing, since no job is ever refused.
func (s *Scheduler) Expired() []carawayspread.RefusedJob { return nil }

// Cancel removes a queued job.
func (s *Scheduler) Cancel(job *carawayspread.Job) bool {
	for n, parked := range s.parked {
		if parked == job {
			s.parked = append(s.parked[:n], s.parked[n+1:]...)
			return true
		}
	}
	element, ok := s.elements[job]
	if ok {
		s.queue.Remove(element)
		delete(s.elements, job)
	}
	return ok
}

// Done frees the slot of the job.
func (s *Scheduler) Done(job *carawayspread.Job, _ carawayspread.JobResult) {
	delete(s.running, job)
	s.unpark()
}

// Capacity sets the number of slots.
func (s *Scheduler) Capacity(slots int) {
	s.slots = slots
	s.unpark()
}

// Len returns the number of queued jobs.
func (s *Scheduler) Len() int { return s.queue.Len() + len(s.parked) }

func (s *Scheduler) unpark() {
	for _, job := range s.parked {
		s.elements[job] = s.queue.PushFront(job)
	}
	s.parked = nil
}
