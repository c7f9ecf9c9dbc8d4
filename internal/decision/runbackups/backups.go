// Package runbackups decides which running requests are copied to a second engine as they grow, so that they go
// on there if their engine is lost.
//
// Engines crash without notice, with up to a hundred answers each. Those that another attempt may make again are
// late; those of routes that allow one attempt are lost, with all that their callers have waited for. A copy of
// every answer would take the links that prompts are handed over on, and memory that other answers need.
//
// So a copy is kept where nobody may run the request again and the answer is long enough for a copy to exist
// while it lasts, and the copies of all processes together take no more than a share of the links, which
// operators set. Room at the second engine is found as for the answer itself.
//
// The state is the link time that this process may still use; a process that starts begins with one second's.
package runbackups

import (
	"sync"
	"time"

	"carawayspread"
)

const (
	// minEvents is the shortest expected answer that is copied, in events. Engines send a copy several times a
	// second, and about ten events come in that time.
	minEvents = 8
	// zoneFactor is how much longer a copy takes between availability zones.
	zoneFactor = 2
	// defaultGap is the tolerated gap between two events of a route that states none.
	defaultGap = 400 * time.Millisecond
	// silentGaps is for how many tolerated gaps an engine may be silent before it is checked.
	silentGaps = 2
	// burst is the time whose share of the links may be used at once.
	burst = time.Second
)

// Request is a request that is about to be sent to an engine.
type Request struct {
	OnlyAttempt  bool // nobody may run it again
	Traits       *carawayspread.EngineTraits
	PromptTokens int
	OutputTokens int // that the answer is expected to have
	Engines      int // of the service
}

// Backups bounds the copies of one process. It is safe for concurrent use.
type Backups struct {
	clock     carawayspread.Clock
	linkShare float64
	fleet     func() (processes int, known bool)

	mu   sync.Mutex
	left time.Duration // of the links
	at   time.Time     // when left was updated; zero before the first request
}

// New returns a bound on copies: all processes of the fleet together use that share of the links.
func New(clock carawayspread.Clock, linkShare float64, fleet func() (processes int, known bool)) *Backups {
	return &Backups{clock: clock, linkShare: linkShare, fleet: fleet}
}

// Take reports whether a copy of the request is kept, and counts the time that it takes at the links.
func (b *Backups) Take(r Request) bool {
	traits := r.Traits
	if !r.OnlyAttempt || traits == nil || !traits.BacksUpRuns || traits.LinkBitsPerSecond <= 0 {
		return false
	}
	if r.OutputTokens < minEvents*max(1, traits.TokensPerEvent) {
		return false
	}
	processes, known := b.fleet()
	if !known {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.linkShare * float64(r.Engines) / float64(max(1, processes)))
	cost := transferTime(r)
	if cost > b.left {
		return false
	}
	b.left -= cost
	return true
}

// Silence is the silence of one engine in the middle of an answer of which another one has a copy.
//
// The connection to an engine that has lost its power or its link does not break while nothing is sent to it, and
// its caller leaves after seconds.
type Silence struct {
	gap    time.Duration
	events int64
	silent int // intervals
}

// NewSilence returns the silence of an engine whose caller tolerates that gap between two events; zero if unknown.
func NewSilence(targetGap time.Duration) *Silence {
	if targetGap <= 0 {
		targetGap = defaultGap
	}
	return &Silence{gap: targetGap}
}

// Interval returns the time between two calls of Check.
func (s *Silence) Interval() time.Duration { return s.gap }

// Check takes the number of events so far and reports whether the engine is to be checked: after two tolerated gaps
// without an event, and then, if it was found running, after twice as many each time.
func (s *Silence) Check(events int64) bool {
	if events == 0 || events != s.events {
		s.events, s.silent = events, 0
		return false
	}
	s.silent++
	return s.silent >= silentGaps && s.silent&(s.silent-1) == 0
}

// refill adds what has become free at that share of one link.
func (b *Backups) refill(share float64) {
	now := b.clock.Now()
	most := time.Duration(share * float64(burst))
	if b.at.IsZero() {
		b.left, b.at = most, now
		return
	}
	b.left = min(most, b.left+time.Duration(share*float64(now.Sub(b.at))))
	b.at = now
}

func transferTime(r Request) time.Duration {
	bits := float64(r.PromptTokens+r.OutputTokens) * float64(r.Traits.KVBytesPerToken) * 8
	return time.Duration(zoneFactor * bits / float64(r.Traits.LinkBitsPerSecond) * float64(time.Second))
}
