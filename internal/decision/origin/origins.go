package origin

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"carawayspread"
)

const (
	// maxStreams bounds the streams that are kept, at about 150 bytes each.
	maxStreams = 16384
	// retention is how long a stream is kept. It exceeds the time for which callers try.
	retention = 2 * time.Minute
	// maxListAge is how old the list of endpoints may be for a process to rely on having seen a single
	// build, and how long a build has been listed before streams begin there that a process with such a list
	// may have to take up.
	maxListAge = 2 * time.Second
)

// began is what is kept of one stream.
type began struct {
	build carawayspread.BuildID
	own   bool      // here, not at a peer
	at    time.Time // when its first event came
}

// untold is a stream that began here and that no peer was told of.
type untold struct {
	origin   carawayspread.StreamOrigin
	route    RouteID
	service  string
	at       time.Time     // when its first event came
	lifetime time.Duration // for which it may last, with all tries of its caller
}

// Origins keeps the origins of streams and the builds of services for one process. It is safe for
// concurrent use.
type Origins struct {
	clock   carawayspread.Clock
	listAge func() time.Duration

	mu       sync.Mutex
	streams  *lru.LRU[carawayspread.StreamID, began]
	untold   []untold // at most maxStreams, the oldest first
	services map[string]*builds
	// knownSince is when endpoints were listed first. What was listed before is known from records only.
	knownSince time.Time
	// reliedOn is as of when the list was the newest when this process last relied on it, and followedSince
	// when it could do so again after a time in which builds may have come and gone; zero for never.
	reliedOn, followedSince time.Time
	// longest is the longest lifetime of a stream that began, by service. A route may be given a shorter
	// timeout meanwhile, while callers still hold streams of the longer one.
	longest  map[string]time.Duration
	moved    map[RouteID]time.Time // when a route was given other services, if less than retention ago
	changes  uint64                // of what records hold
	recorded bool                  // there are records
	restored bool                  // they were read
	first    bool                  // no stream began before this process
}

// Option sets an optional part of Origins.
type Option func(*Origins)

// WithRecords says that records are kept. Until they are read, no build counts as the only one for as long as
// callers may hold streams of other timeouts.
func WithRecords() Option { return func(o *Origins) { o.recorded = true } }

// New returns Origins without streams. listAge returns the longest time for which the list of endpoints may
// have been outdated. Both must count the time for which the machine is suspended.
func New(clock carawayspread.Clock, listAge func() time.Duration, opts ...Option) *Origins {
	streams, err := lru.NewLRU[carawayspread.StreamID, began](maxStreams, nil)
	if err != nil {
		panic(err) // the size is a constant
	}
	o := &Origins{clock: clock, listAge: listAge, streams: streams, services: map[string]*builds{}, longest: map[string]time.Duration{}, moved: map[RouteID]time.Time{}}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Began records that a stream of the route began here, at the service. It reports whether peers must be told: whether
// they might not know its build otherwise. lifetime is how long a stream may last, with all tries of its
// caller.
func (o *Origins) Began(stream carawayspread.StreamOrigin, route RouteID, service string, lifetime time.Duration) (tell bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.add(stream, began{build: stream.Build, own: true, at: now})
	if lifetime > o.longest[service] {
		o.longest[service] = lifetime
		o.changes++
	}
	if _, sole := o.sole(now, service, lifetime); !sole || o.hasMoved(now, route, lifetime) {
		return true
	}
	if len(o.untold) < maxStreams {
		o.untold = append(o.untold, untold{stream, route, service, now, lifetime})
	}
	return false
}

// Learn records streams that began at a peer.
func (o *Origins) Learn(streams []carawayspread.StreamOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, stream := range streams {
		if known, ok := o.streams.Get(stream.Stream); !ok || !known.own {
			o.add(stream, began{build: stream.Build, at: now})
		}
	}
}

// add keeps a stream, and drops those that have been kept for long enough.
func (o *Origins) add(stream carawayspread.StreamOrigin, b began) {
	for {
		_, oldest, ok := o.streams.GetOldest()
		if !ok || b.at.Sub(oldest.at) <= retention {
			break
		}
		o.streams.RemoveOldest()
	}
	o.streams.Add(stream.Stream, b)
}

// Untold returns the streams that began here, may still be taken up, and now have to be told to peers:
// another build of their service has appeared, their route leads elsewhere, or the list of endpoints has become too
// old to tell.
func (o *Origins) Untold() []carawayspread.StreamOrigin {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	var tell []carawayspread.StreamOrigin
	kept := o.untold[:0]
	for _, u := range o.untold {
		if now.Sub(u.at) > u.lifetime {
			continue
		}
		if _, sole := o.sole(now, u.service, u.lifetime); sole && !o.hasMoved(now, u.route, u.lifetime) {
			kept = append(kept, u)
		} else {
			tell = append(tell, u.origin)
		}
	}
	o.untold = kept
	return tell
}

// Build returns the build at which the stream began, if this process knows it.
func (o *Origins) Build(id carawayspread.StreamID) (carawayspread.BuildID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.streams.Get(id)
	if !ok || o.clock.Now().Sub(s.at) > retention {
		return 0, false
	}
	return s.build, true
}
