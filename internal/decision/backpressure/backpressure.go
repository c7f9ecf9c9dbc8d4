// Package backpressure tracks the feedback that endpoints give in their responses, and
// excludes endpoints that accept no requests at the moment.
//
// An endpoint is the first to know that it is overloaded. Processes learn it from
// responses, which arrive at any time, also while the list of endpoints cannot be read,
// and forward it to their peers. Without this, only the list and the outcomes of attempts
// are known of an endpoint, whatever feedback it gives.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/ratelimit"
)

const (
	// endRepeat is how long the end of a limit is repeated to peers, since a message may be
	// lost.
	endRepeat = 2 * time.Second
	// retention is how long the state of an endpoint is kept after it was last listed.
	retention = 10 * time.Minute
	// membershipTTL is how long a result of Membership is cached.
	membershipTTL = 500 * time.Millisecond
)

// Membership returns the identifier of this process and those of all live processes, itself
// included; none while they are not known.
type Membership func() (self uint64, members []uint64)

// state is the feedback of one endpoint.
type state struct {
	limit *ratelimit.Limit // nil if no rate limit is in force
	// share is this process's share of the rate, computed from the members as of sharedAt.
	share    float64
	sharedAt time.Time
	ended    time.Time // when the last limit ended
	// draining is set once a response reports it and stays set for the life of the endpoint.
	draining    bool
	pausedUntil time.Time // until then the endpoint accepts nothing from this process
	listed      time.Time // when the endpoint was last in the list
}

// expired reports whether none of the endpoint's feedback is in force any more.
func (s *state) expired(now time.Time) bool {
	return s.limit == nil && !s.draining && !s.pausedUntil.After(now) && now.Sub(s.ended) > endRepeat
}

// Backpressure tracks the feedback of all endpoints in one process. It is safe for
// concurrent use.
type Backpressure struct {
	clock      carawayspread.Clock
	membership Membership
	// active is set while states is not empty; requests skip the lock while no endpoint has
	// given feedback.
	active atomic.Bool

	mu      sync.Mutex
	states  map[carawayspread.EndpointID]*state
	self    uint64
	members []uint64
	readAt  time.Time // when membership was last called
}

// New returns a tracker without feedback.
func New(clock carawayspread.Clock, membership Membership) *Backpressure {
	return &Backpressure{clock: clock, membership: membership, states: map[carawayspread.EndpointID]*state{}}
}

// ObserveResponse applies the feedback of a response whose request was sent at the given
// time. It reports whether the state changed, and whether the feedback is to be forwarded to
// peers.
//
// Responses on different connections are reordered: one without a rate ends a limit only
// if its request was sent after the limit was last reported.
func (b *Backpressure) ObserveResponse(id carawayspread.EndpointID, sent time.Time, f carawayspread.Feedback) (changed, forward bool) {
	if f == (carawayspread.Feedback{}) && !b.active.Load() {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.states[id]
	if s != nil && !f.Limited && s.limit != nil && sent.After(s.limit.ReportedAt()) {
		s.limit, s.ended = nil, now
		changed = true
	}
	f.RetryAfter = 0 // counts only in a refusal
	changed = b.apply(now, id, f) || changed
	return changed, f != (carawayspread.Feedback{}) || s != nil && s.limit == nil && now.Sub(s.ended) < endRepeat
}

// ObserveRefusal applies the feedback of an endpoint that refused a request. It ends no
// limit, since the refusal may come from a component in front of the one that reports rates.
// The retry-after time applies to this process only.
func (b *Backpressure) ObserveRefusal(id carawayspread.EndpointID, f carawayspread.Feedback) (changed, forward bool) {
	if f == (carawayspread.Feedback{}) {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.apply(b.clock.Now(), id, f)
	return changed, f.Limited || f.Draining
}

// ObservePeerFeedback applies the feedback that a peer got in a response, and reports whether
// the state changed.
func (b *Backpressure) ObservePeerFeedback(id carawayspread.EndpointID, f carawayspread.Feedback) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	f.RetryAfter = 0 // applies to the peer only
	if s := b.states[id]; s != nil && !f.Limited && s.limit != nil {
		s.limit, s.ended = nil, now
		changed = true
	}
	return b.apply(now, id, f) || changed
}

// apply stores feedback that holds from now on, and reports whether the state changed.
func (b *Backpressure) apply(now time.Time, id carawayspread.EndpointID, f carawayspread.Feedback) (changed bool) {
	if f.Limited {
		changed = b.setRate(now, id, f.Rate)
	}
	if f.Draining {
		s := b.state(now, id)
		changed = !s.draining || changed
		s.draining = true
	}
	if f.RetryAfter > 0 {
		s := b.state(now, id)
		changed = !s.pausedUntil.After(now) || changed
		s.pausedUntil = later(s.pausedUntil, now.Add(f.RetryAfter))
	}
	return changed
}

// setRate stores the rate limit of an endpoint and reports whether it changed.
func (b *Backpressure) setRate(now time.Time, id carawayspread.EndpointID, rate float64) bool {
	s := b.state(now, id)
	if s.limit == nil {
		s.limit, s.sharedAt = ratelimit.New(now, rate), time.Time{}
		return true
	}
	before := s.limit.Rate()
	s.limit.SetRate(now, rate)
	if rate != before {
		s.sharedAt = time.Time{}
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

// ApplyList returns the endpoints of the newest list, with those marked as leaving that have
// reported it themselves: the list may be older than their responses. It drops state that is
// no longer in force. The state of an endpoint that is missing from the list is kept for the
// retention time, since its entry may disappear and reappear.
func (b *Backpressure) ApplyList(endpoints []carawayspread.Endpoint) []carawayspread.Endpoint {
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
		if now.Sub(s.listed) > retention || s.expired(now) {
			delete(b.states, id)
		}
	}
	b.active.Store(len(b.states) > 0)
	return listed
}

// AddUnavailable returns the set with all endpoints added that accept nothing from this
// process now. The given set is not modified.
func (b *Backpressure) AddUnavailable(set map[carawayspread.EndpointID]bool) map[carawayspread.EndpointID]bool {
	if !b.active.Load() {
		return set
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	extended := make(map[carawayspread.EndpointID]bool, len(set)+len(b.states))
	for id := range set {
		extended[id] = true
	}
	for id, s := range b.states {
		if !b.accepts(now, id, s) {
			extended[id] = true
		}
	}
	return extended
}

// accepts reports whether the endpoint accepts a request from this process now.
func (b *Backpressure) accepts(now time.Time, id carawayspread.EndpointID, s *state) bool {
	return !s.draining && !s.pausedUntil.After(now) && (s.limit == nil || s.limit.Allows(now, b.share(now, id, s)))
}

// Draining reports whether the endpoint has said in an answer that it leaves.
func (b *Backpressure) Draining(id carawayspread.EndpointID) bool {
	if !b.active.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	return s != nil && s.draining
}

// Take consumes the permission to send one request; false if the endpoint accepts none now.
// It is to be called before each request.
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
	return b.accepts(now, id, s) && (s.limit == nil || s.limit.Take(now, b.share(now, id, s)))
}

// TimeToAvailable returns the time until the first of the temporarily unavailable endpoints
// accepts a request from this process again; zero if none is temporarily unavailable.
func (b *Backpressure) TimeToAvailable(endpoints []carawayspread.Endpoint) time.Duration {
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
		wait := max(0, s.pausedUntil.Sub(now))
		if s.limit != nil {
			wait = max(wait, s.limit.Wait(now, b.share(now, endpoint.ID(), s)))
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

// share returns this process's share of the endpoint's rate. It is recomputed only when the
// members are read again, since it costs one hash for each process.
func (b *Backpressure) share(now time.Time, id carawayspread.EndpointID, s *state) float64 {
	if b.members == nil || now.Sub(b.readAt) >= membershipTTL {
		b.self, b.members = b.membership()
		b.readAt = now
	}
	if !s.sharedAt.Equal(b.readAt) {
		s.share, s.sharedAt = ratelimit.Share(string(id), s.limit.Rate(), b.self, b.members), b.readAt
	}
	return s.share
}
