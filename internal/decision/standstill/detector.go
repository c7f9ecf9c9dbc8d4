// Package standstill tells since when a request that is read now may have been waiting.
//
// A process that is paused or suspended, or gets no processor, reads at once what callers sent meanwhile. If
// that counted as just sent, limits of retries for each request would allow in one window what belongs to
// several. The measure is the time between timers.
package standstill

import (
	"runtime"
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
	// signalHops is how many goroutines pass a signal on: that which receives it, that which ends a context for it, and
	// that which waits for the context.
	signalHops = 3
)

// Detector observes one process. It is safe for concurrent use.
type Detector struct {
	clock carawayspread.Clock

	mu         sync.Mutex
	fired      time.Time             // when the last timer fired
	queued     [signalHops]time.Time // when the last goroutines that have run behind all others were queued, the newest first
	stoodSince time.Time             // when the last standstill began
	caughtUp   time.Time             // until when requests are read that waited through it
}

// New returns a detector. The clock has to count time in which the machine is suspended.
func New(clock carawayspread.Clock) *Detector {
	d := &Detector{clock: clock, fired: clock.Now()}
	for n := range d.queued {
		d.queued[n] = d.fired
	}
	return d
}

// Fired records that a timer has fired. It is to be called once in Interval.
func (d *Detector) Fired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(d.clock.Now())
	d.fired = d.clock.Now()
}

// Yield lets all run that can run by now, and records that. It is to be called once in Interval.
//
// Timers do not show how long a signal waits in a process that is behind: the runtime runs their goroutines before
// others, and that of a signal behind others.
func (d *Detector) Yield() {
	queued := d.clock.Now()
	runtime.Gosched()
	d.mu.Lock()
	defer d.mu.Unlock()
	if queued.After(d.queued[0]) {
		copy(d.queued[1:], d.queued[:])
		d.queued[0] = queued
	}
}

// SignalLateness returns how long ago a signal that is noticed now may have come. While each goroutine that passes it on
// waits, no more than one runs that has called Yield since.
func (d *Detector) SignalLateness() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Now().Sub(d.queued[signalHops-1])
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
