// Package standstill tells since when a request that is read now may have been waiting.
//
// A process that is paused or suspended, or gets no processor, reads at once what callers sent meanwhile. If
// that counted as just sent, limits of retries for each request would allow in one window what belongs to
// several. The measure is the time between timers.
package standstill

import (
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/connlimit"
)

const (
	// Interval is the time between two timers that are observed.
	Interval = connlimit.Interval
	// minStandstill is the shortest time between two timers that counts as a standstill. Less shifts requests by
	// no more than a few hundredths of a window.
	minStandstill = 3 * Interval
	// minCatchUp is how long after a standstill a request that is read may have waited through it, at least. It
	// grows with the standstill, as more is waiting then.
	minCatchUp = time.Second
	// delays is how many goroutines run one after the other from a signal to who waits for it, at most: that which
	// the runtime has for signals, that which ends a context, that which waits for the context.
	delays = 3
)

// Detector observes one process. It is safe for concurrent use.
type Detector struct {
	clock carawayspread.Clock

	mu         sync.Mutex
	fired      time.Time             // when the last timer fired
	earlier    [delays - 1]time.Time // when those before it fired, the newest first; zero for none
	stoodSince time.Time             // when the last standstill began
	caughtUp   time.Time             // until when requests are read that waited through it
}

// New returns a detector. The clock has to count time in which the machine is suspended.
func New(clock carawayspread.Clock) *Detector { return &Detector{clock: clock, fired: clock.Now()} }

// Fired records that a timer has fired. It is to be called once in Interval.
func (d *Detector) Fired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(d.clock.Now())
	copy(d.earlier[1:], d.earlier[:])
	d.earlier[0] = d.fired
	d.fired = d.clock.Now()
}

// SignalLateness returns how long ago a signal that is noticed now may have come: since the last timer, and for as long
// as the latest timers were late, one after the other. Each goroutine that passes the signal on waits for the
// processor as they do.
func (d *Detector) SignalLateness() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	late := now.Sub(d.fired)
	for n, fired := range d.earlier {
		if !fired.IsZero() {
			late = max(late, now.Sub(fired)-time.Duration(n+1)*Interval)
		}
	}
	return late
}

// WaitingSince returns the earliest time at which a request that is read now may have been sent: now, or the
// beginning of a standstill.
func (d *Detector) WaitingSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.observe(now)
	if now.Before(d.caughtUp) {
		return d.stoodSince
	}
	return now
}

// observe notes a standstill that the last timer and now enclose. The request that wakes a process may be read
// before its timer fires.
func (d *Detector) observe(now time.Time) {
	stood := now.Sub(d.fired)
	if stood < minStandstill {
		return
	}
	if !d.fired.Before(d.caughtUp) {
		d.stoodSince = d.fired
	}
	d.caughtUp = now.Add(max(minCatchUp, stood/2))
}
