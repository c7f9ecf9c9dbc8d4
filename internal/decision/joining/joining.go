// Package joining decides when a process tells a peer of itself without waiting for the next heartbeat.
//
// All processes start at once after a loss of power, and all callers come back in the same moment. Heartbeats are
// half a second apart and name some peers each, so that for a second nobody knows the others: each process places
// the requests of that second as if it were alone, on the engines that look best to all of them. A process that
// has just started therefore greets at once whom it hears of, and is answered with further names.
//
// In a large fleet the greetings are bounded, and heartbeats do the rest.
package joining

import (
	"time"

	"carawayspread"
)

const (
	// joinTime is how long after its start a process greets those whom it hears of.
	joinTime = 2 * time.Second
	// MaxGreetings bounds the greetings of a process after its start, and its answers to greetings within a
	// second: with some 300 bytes each, 20 KB after a start of 300 processes.
	MaxGreetings = 32
	// aloneInterval is the time between two heartbeats to the seeds while nobody was heard: processes that start
	// at once do so within some tenths of a second, and a seed may be the last.
	aloneInterval = 50 * time.Millisecond
)

// Joining is the state of one process. It is not safe for concurrent use.
type Joining struct {
	clock    carawayspread.Clock
	start    time.Time
	greeted  map[string]bool // by address
	answers  int             // since answered
	answered time.Time
}

// New returns the state of a process that starts now.
func New(clock carawayspread.Clock) *Joining {
	return &Joining{clock: clock, start: clock.Now(), greeted: map[string]bool{}}
}

// joins reports whether the process has just started.
func (j *Joining) joins() bool { return j.clock.Now().Sub(j.start) < joinTime }

// Named reports whether to greet a process that a peer named and that has not been heard.
func (j *Joining) Named(address string) bool {
	if !j.joins() || j.greeted[address] || len(j.greeted) >= MaxGreetings {
		return false
	}
	j.greeted[address] = true
	return true
}

// Heard reports whether to answer a process that is heard for the first time. One that was greeted has answered
// and knows of this one.
func (j *Joining) Heard(address string) bool {
	if j.greeted[address] {
		return false
	}
	if now := j.clock.Now(); now.Sub(j.answered) >= time.Second {
		j.answers, j.answered = 0, now
	}
	j.answers++
	return j.answers <= MaxGreetings
}

// Interval returns the time until the next heartbeat, which is usual if other processes were heard.
func (j *Joining) Interval(usual time.Duration, heard bool) time.Duration {
	if heard || !j.joins() {
		return usual
	}
	return min(usual, aloneInterval)
}
