package room

import (
	"math"
	"time"
)

const (
	// window is the time constant of what peers place at an engine.
	window = time.Second
	// reportDelay and reportDelayPerPeer are how long a placement at a peer stays unknown: processes send
	// the less often the more of them there are.
	reportDelay        = 12 * time.Millisecond
	reportDelayPerPeer = 3 * time.Millisecond
	// deviations is how many standard deviations of what arrives in that time are kept free.
	deviations = 2
)

// Unreported estimates the tokens that peers have placed at one engine and not reported yet, from what they
// reported lately.
//
// Every process would give the last room of an engine to a request of its own, and the engine would get as
// many of them as there are processes.
type Unreported struct {
	tokens  float64 // reported, decaying over window, as of at
	squares float64 // of the tokens of each report, likewise
	at      time.Time
}

// Report records that a peer has placed so many tokens.
func (u *Unreported) Report(now time.Time, tokens int) {
	u.decay(now)
	u.tokens += float64(tokens)
	u.squares += float64(tokens) * float64(tokens)
}

func (u *Unreported) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(u.at)) / float64(window))
	u.tokens, u.squares, u.at = u.tokens*keep, u.squares*keep, now
}

// Margin returns the tokens to keep free for the placements of that many peers.
func (u *Unreported) Margin(now time.Time, peers int) int {
	return u.arriving(now, peers, 1)
}

// Fleet returns the most tokens that may arrive at all processes before they know of each other's, if what was
// recorded is what arrives at each of them.
func (u *Unreported) Fleet(now time.Time, peers int) int {
	return u.arriving(now, peers, float64(peers+1))
}

// arriving returns the most tokens that arrive in the time that a report takes, at so many times the recorded rate.
func (u *Unreported) arriving(now time.Time, peers int, times float64) int {
	if peers == 0 || u.at.IsZero() {
		return 0
	}
	u.decay(now)
	delay := times * float64(reportDelay+time.Duration(peers)*reportDelayPerPeer) / float64(window)
	return int(delay*u.tokens + deviations*math.Sqrt(delay*u.squares))
}
