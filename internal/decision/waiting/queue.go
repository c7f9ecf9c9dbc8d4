// Package waiting decides which requests wait for room at engines, for how long, and whose turn it is.
//
// Load: for seconds requests arrive for twice the room, urgent ones and patient ones, most of them from one
// workspace. Refused at once, their callers come back at random times, and whoever asks at the moment at which
// an answer ends gets its room: the urgent are served no sooner than the patient, and the workspace that sends
// most gets most.
//
// A request waits no longer than until it would be late, so the queue is short by itself; its length is bounded
// besides. Workspaces within their share of what was given out lately go before the others; among these the most
// urgent request goes first, and of equal ones that which must start first. One start in twenty goes to the least
// urgent, so that it does not wait for ever. By the latest start alone, patient requests that are nearly late go
// before urgent ones, and at twice the room half of the urgent ones were late.
//
// The queue is of one process and a start forgets it, with its callers' connections. Shares are of what this
// process gave out: callers of a workspace spread over processes.
package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lookahead is how many requests at the front may try for room, one after the other: behind a large one
	// that has none smaller ones may have.
	lookahead = 4
	// RetryInterval is the time after which a request that found no room may try again: room that ends of
	// answers at other processes leave is known after their reports.
	RetryInterval = 10 * time.Millisecond
	// patience is the part of its wait after which only the first may try, so that a large request gets
	// the room that several small ones would take one after the other.
	patience = 0.5
	// patientTurn is the number of starts of which one goes to the least urgent request.
	patientTurn = 20
	// shareWindow is the time constant of what workspaces were given.
	shareWindow = 5 * time.Second
	// shareTolerance is by how much a workspace may exceed the mean of those that wait or were served.
	shareTolerance = 1.1
	// maxWorkspaces bounds the workspaces whose shares are known; those that were given least are forgotten.
	maxWorkspaces = 1024
)

// Request is a request that no engine has room for.
type Request struct {
	Workspace string    // empty if callers have none
	Urgency   int       // 0 is the most urgent
	Latest    time.Time // when it must start to be in time
	Bytes     int       // that are held for it
}

// Ticket is the place of a request in the queue.
type Ticket struct {
	Request
	entered time.Time
	wake    chan struct{}
	removed bool
	triedAt time.Time // zero for not yet
}

// Wake receives when the ticket may try for room, or was removed.
func (t *Ticket) Wake() <-chan struct{} { return t.wake }

// Queue holds requests that wait. It is not safe for concurrent use.
type Queue struct {
	limit, bytesLimit int
	bytes             int
	waiting           []*Ticket
	given             map[string]given // by workspace
	starts            int              // of requests that waited, since the last of the least urgent
}

// given is the work that a workspace was given, decaying over shareWindow.
type given struct {
	work float64 // as of at
	at   time.Time
}

func (g given) now(now time.Time) float64 {
	return g.work * math.Exp(-float64(now.Sub(g.at))/float64(shareWindow))
}

// New returns an empty queue for that many requests and bytes.
func New(limit, bytesLimit int) *Queue {
	return &Queue{limit: limit, bytesLimit: bytesLimit, given: map[string]given{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Enter adds a request; nil if it is refused at once, since it would be late or the queue is full. In a full queue
// it takes the place of the last one if it goes before it.
func (q *Queue) Enter(now time.Time, r Request) *Ticket {
	if !r.Latest.After(now) || q.limit == 0 {
		return nil
	}
	t := &Ticket{Request: r, entered: now, wake: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, t)
	q.bytes += r.Bytes
	for len(q.waiting) > q.limit || q.bytes > q.bytesLimit {
		q.sort(now)
		last := q.waiting[len(q.waiting)-1]
		q.remove(last)
		if last == t {
			return nil
		}
	}
	return t
}

// Removed reports whether the ticket has left the queue.
func (q *Queue) Removed(t *Ticket) bool { return t.removed }

// remove takes a ticket out of the queue and wakes it.
func (q *Queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.bytes -= t.Bytes
	}
	t.removed = true
	t.signal()
}

func (t *Ticket) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Leave removes the ticket, whose request has been given room or not, and wakes those whose turn it is now.
func (q *Queue) Leave(now time.Time, t *Ticket, started bool) {
	if started {
		q.starts++
		if q.starts >= patientTurn {
			q.starts = 0
		}
	}
	q.remove(t)
	q.wakeNext(now)
}

// Given records work that a workspace was given room for, whether or not it waited.
func (q *Queue) Given(now time.Time, workspace string, work float64) {
	q.given[workspace] = given{q.given[workspace].now(now) + work, now}
	if len(q.given) > maxWorkspaces {
		q.forgetLeast(now)
	}
}

// Turn reports whether the ticket may try for room now.
func (q *Queue) Turn(now time.Time, t *Ticket) bool { return q.next(now) == t }

// Tried records that the ticket's request found no room, and wakes the next one.
func (q *Queue) Tried(now time.Time, t *Ticket) {
	t.triedAt = now
	q.wakeNext(now)
}

func (q *Queue) wakeNext(now time.Time) {
	if next := q.next(now); next != nil {
		next.signal()
	}
}

// next returns the first request at the front that has not tried lately; nil if all have.
func (q *Queue) next(now time.Time) *Ticket {
	for _, t := range q.front(now) {
		if t.triedAt.IsZero() || now.Sub(t.triedAt) >= RetryInterval {
			return t
		}
	}
	return nil
}

// front returns the requests that may try for room, in their order.
func (q *Queue) front(now time.Time) []*Ticket {
	if len(q.waiting) == 0 {
		return nil
	}
	q.sort(now)
	if q.starts == patientTurn-1 {
		return []*Ticket{q.leastUrgent()}
	}
	first := q.waiting[0]
	if float64(now.Sub(first.entered)) > patience*float64(first.Latest.Sub(first.entered)) {
		return q.waiting[:1]
	}
	return q.waiting[:min(lookahead, len(q.waiting))]
}

// sort brings the requests into the order in which they get room.
func (q *Queue) sort(now time.Time) {
	fair := shareTolerance * q.fairShare(now)
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(q.beyond(now, a, fair), q.beyond(now, b, fair)), cmp.Compare(a.Urgency, b.Urgency), a.Latest.Compare(b.Latest))
	})
}

// beyond returns 1 for a request whose workspace was given more than the fair share, 0 for others.
func (q *Queue) beyond(now time.Time, t *Ticket, fair float64) int {
	if q.given[t.Workspace].now(now) > fair {
		return 1
	}
	return 0
}

// fairShare returns the mean of what the workspaces were given that wait or were given something lately.
func (q *Queue) fairShare(now time.Time) float64 {
	sum, waiting := 0.0, map[string]bool{}
	for _, t := range q.waiting {
		waiting[t.Workspace] = true
	}
	count := len(waiting)
	for workspace, given := range q.given {
		work := given.now(now)
		sum += work
		if !waiting[workspace] && work > 0 {
			count++
		}
	}
	return sum / float64(max(1, count))
}

// forgetLeast forgets the workspace that was given least.
func (q *Queue) forgetLeast(now time.Time) {
	least, work := "", math.Inf(1)
	for workspace, given := range q.given {
		if given.now(now) < work {
			least, work = workspace, given.now(now)
		}
	}
	delete(q.given, least)
}

// leastUrgent returns the request of the least urgency that must start first.
func (q *Queue) leastUrgent() *Ticket {
	return slices.MinFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(b.Urgency, a.Urgency), a.Latest.Compare(b.Latest))
	})
}
