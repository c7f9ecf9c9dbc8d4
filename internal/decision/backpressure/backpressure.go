// Package backpressure keeps what endpoints say of themselves in their answers, and
// withholds requests from those that do not take them.
//
// Load pattern: an endpoint knows before anyone else that it is in need. Processes
// learn it from answers, which come at any time and also while the list of endpoints
// cannot be read, and tell their peers. Without this the list and the outcomes of
// attempts are all that is known of an endpoint, whatever it says.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/ratelimit"
)

const (
	// endTold is for how long peers are told again that a limit has ended, as one message
	// may be lost.
	endTold = 2 * time.Second
	// memory is how long an endpoint is remembered that is not listed any more.
	memory = 10 * time.Minute
	// fleetLife is how long the account of the fleet's processes is used.
	fleetLife = 500 * time.Millisecond
)

// Fleet returns the name of this process and those of all that are heard, itself
// included.
type Fleet func() (self uint64, all []uint64)

// state is what is known of one endpoint that has said something.
type state struct {
	limit *ratelimit.Limit // nil where no rate is named
	// part of the rate is this process's, by the account of the fleet of that moment.
	part   float64
	partOf time.Time
	ended  time.Time // when the last limit ended
	// draining says that an answer has said so; it holds to the endpoint's end.
	draining bool
	closed   time.Time // until when it takes nothing from this process
	listed   time.Time // when the endpoint was last seen in the list
}

// done reports whether nothing holds any more of what the endpoint has said.
func (s *state) done(now time.Time) bool {
	return s.limit == nil && !s.draining && !s.closed.After(now) && now.Sub(s.ended) > endTold
}

// Backpressure is one process's account of all endpoints. It is safe for concurrent use.
type Backpressure struct {
	clock  carawayspread.Clock
	fleet  Fleet
	active atomic.Bool // there are states; requests of a calm fleet look no further

	mu     sync.Mutex
	states map[carawayspread.EndpointID]*state
	self   uint64
	all    []uint64
	asked  time.Time // when fleet was last called
}

// New returns an account of endpoints that have said nothing.
func New(clock carawayspread.Clock, fleet Fleet) *Backpressure {
	return &Backpressure{clock: clock, fleet: fleet, states: map[carawayspread.EndpointID]*state{}}
}

// Answered takes what an answer says of its endpoint, and when its request was sent. It
// reports whether that is new, and whether peers are to be told.
//
// Answers on different connections overtake each other: one that names no rate ends a
// limit only if its request was sent after the limit was last named.
func (b *Backpressure) Answered(id carawayspread.EndpointID, sent time.Time, f carawayspread.Feedback) (changed, tell bool) {
	if f == (carawayspread.Feedback{}) && !b.active.Load() {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.states[id]
	if s != nil && !f.Limited && s.limit != nil && sent.After(s.limit.Since()) {
		s.limit, s.ended = nil, now
		changed = true
	}
	f.RetryAfter = 0 // a refusal's to say
	changed = b.note(now, id, f) || changed
	return changed, f != (carawayspread.Feedback{}) || s != nil && s.limit == nil && now.Sub(s.ended) < endTold
}

// Refused takes what an endpoint says that turned a request away. The refusal may come
// from before the part that names rates: it ends no limit. For how long the endpoint
// wants nothing holds for this process alone.
func (b *Backpressure) Refused(id carawayspread.EndpointID, f carawayspread.Feedback) (changed, tell bool) {
	if f == (carawayspread.Feedback{}) {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.note(b.clock.Now(), id, f)
	return changed, f.Limited || f.Draining
}

// Heard takes what an answer to a peer says of its endpoint, and reports whether that is
// new.
func (b *Backpressure) Heard(id carawayspread.EndpointID, f carawayspread.Feedback) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	f.RetryAfter = 0 // the peer's own
	if s := b.states[id]; s != nil && !f.Limited && s.limit != nil {
		s.limit, s.ended = nil, now
		changed = true
	}
	return b.note(now, id, f) || changed
}

// note takes what holds from now on, and reports whether it is new.
func (b *Backpressure) note(now time.Time, id carawayspread.EndpointID, f carawayspread.Feedback) (changed bool) {
	if f.Limited {
		changed = b.name(now, id, f.Rate)
	}
	if f.Draining {
		s := b.state(now, id)
		changed = !s.draining || changed
		s.draining = true
	}
	if f.RetryAfter > 0 {
		s := b.state(now, id)
		changed = !s.closed.After(now) || changed
		s.closed = later(s.closed, now.Add(f.RetryAfter))
	}
	return changed
}

// name takes a rate and reports whether it is new.
func (b *Backpressure) name(now time.Time, id carawayspread.EndpointID, rate float64) bool {
	s := b.state(now, id)
	if s.limit == nil {
		s.limit, s.partOf = ratelimit.New(now, rate), time.Time{}
		return true
	}
	before := s.limit.Rate()
	s.limit.Named(now, rate)
	if rate != before {
		s.partOf = time.Time{}
	}
	return rate != before
}

func (b *Backpressure) state(now time.Time, id carawayspread.EndpointID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{listed: now}
		b.states[id] = s
		b.active.Store(true)
	}
	return s
}

// Listed takes the endpoints of the newest list, and returns them as leaving where they
// have said so themselves: the list may be older. What is known of one that is missing
// is kept for a while, since an entry may be gone and come back.
func (b *Backpressure) Listed(endpoints []carawayspread.Endpoint) []carawayspread.Endpoint {
	if !b.active.Load() {
		return endpoints
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	listed := make([]carawayspread.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if s := b.states[endpoint.ID()]; s != nil {
			s.listed = now
			if s.draining {
				endpoint = endpoint.Drained()
			}
		}
		listed = append(listed, endpoint)
	}
	for id, s := range b.states {
		if now.Sub(s.listed) > memory || s.done(now) {
			delete(b.states, id)
		}
	}
	b.active.Store(len(b.states) > 0)
	return listed
}

// Withheld adds to the set all endpoints that take nothing from this process now. The
// set is not modified.
func (b *Backpressure) Withheld(set map[carawayspread.EndpointID]bool) map[carawayspread.EndpointID]bool {
	if !b.active.Load() {
		return set
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	with := make(map[carawayspread.EndpointID]bool, len(set)+len(b.states))
	for id := range set {
		with[id] = true
	}
	for id, s := range b.states {
		if !b.open(now, id, s) {
			with[id] = true
		}
	}
	return with
}

// open reports whether the endpoint takes a request from this process now.
func (b *Backpressure) open(now time.Time, id carawayspread.EndpointID, s *state) bool {
	return !s.draining && !s.closed.After(now) && (s.limit == nil || s.limit.Allows(now, b.part(now, id, s)))
}

// Take is called before a request is sent; false where the endpoint takes none now.
func (b *Backpressure) Take(id carawayspread.EndpointID) bool {
	if !b.active.Load() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.states[id]
	if s == nil {
		return true
	}
	return b.open(now, id, s) && (s.limit == nil || s.limit.Take(now, b.part(now, id, s)))
}

// Opens returns when the first of the endpoints that are withheld for a time takes a
// request from this process again; zero where none is.
func (b *Backpressure) Opens(endpoints []carawayspread.Endpoint) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var first time.Duration
	for _, endpoint := range endpoints {
		s := b.states[endpoint.ID()]
		if s == nil || s.draining {
			continue
		}
		wait := max(0, s.closed.Sub(now))
		if s.limit != nil {
			wait = max(wait, s.limit.Wait(now, b.part(now, endpoint.ID(), s)))
		}
		if wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// part returns this process's part of the endpoint's rate, which is drawn again as often
// as the fleet is looked at: it takes a hash for each process.
func (b *Backpressure) part(now time.Time, id carawayspread.EndpointID, s *state) float64 {
	if b.all == nil || now.Sub(b.asked) >= fleetLife {
		b.self, b.all = b.fleet()
		b.asked = now
	}
	if !s.partOf.Equal(b.asked) {
		s.part, s.partOf = ratelimit.Part(string(id), s.limit.Rate(), b.self, b.all), b.asked
	}
	return s.part
}
