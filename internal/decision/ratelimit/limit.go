// Package ratelimit keeps the requests of all processes to one endpoint within the rate
// that the endpoint reports.
//
// An overloaded endpoint reports in its responses how many requests per second it accepts,
// and many processes use it. Without the limit each of them would continue as before, and
// an endpoint that responds fast because it has little load would look best of all. If each
// process applied the whole rate, the sum would grow with the fleet; with equal shares for
// all, at a rate below one request per second and process all of them would send their
// first request at once.
//
// The endpoint is used by as many processes as it accepts requests per second, at least
// one. All processes select the same ones without coordination. Each has an equal share of
// the rate and a burst of one request, so that in any time span no more requests arrive
// than the rate allows in that span plus one second.
package ratelimit

import "time"

const (
	// burst is the maximum number of tokens of a process.
	burst = 1
	// probeInterval is the time after which a rate that no response has reported again is
	// probed: each process may send one request per interval to find out whether the rate
	// still holds. Without probes an endpoint would never get a request again if the
	// processes that have a share of it have no callers for it, or if every message about
	// the end of the limit was lost.
	probeInterval = 15 * time.Second
)

// Limit is the token bucket of one process for one endpoint. It is not safe for concurrent
// use.
type Limit struct {
	rate     float64   // requests per second of all processes; not negative
	reported time.Time // when a response, here or at a peer, last reported the rate
	probed   time.Time // when the last request without a token was sent
	tokens   float64   // requests that may be sent now; 0 to burst
	filled   time.Time // when tokens was last refilled
}

// New returns a limit that a response has just reported. It starts without a token, since
// the requests that the endpoint got before count as well.
func New(now time.Time, rate float64) *Limit {
	return &Limit{rate: rate, reported: now, probed: now, filled: now}
}

// SetRate sets the rate that a response has just reported.
func (l *Limit) SetRate(now time.Time, rate float64) { l.rate, l.reported = rate, now }

// ReportedAt returns when a response last reported the rate.
func (l *Limit) ReportedAt() time.Time { return l.reported }

// Rate returns the requests per second that the endpoint accepts from all processes.
func (l *Limit) Rate() float64 { return l.rate }

// Allows reports whether a process with that share of the rate, from 0 to 1, may send a
// request now.
func (l *Limit) Allows(now time.Time, share float64) bool {
	l.refill(now, share)
	return l.tokens >= 1 || l.probeDue(now)
}

// Take consumes the token or the probe for one request; false if none may be sent now.
func (l *Limit) Take(now time.Time, share float64) bool {
	l.refill(now, share)
	switch {
	case l.tokens >= 1:
		l.tokens--
	case l.probeDue(now):
		l.probed = now
	default:
		return false
	}
	return true
}

// Wait returns the time until a process with that share of the rate may send a request, or,
// if the share is zero, until another process may.
func (l *Limit) Wait(now time.Time, share float64) time.Duration {
	l.refill(now, share)
	if share == 0 {
		share = 1
	}
	if l.rate*share*probeInterval.Seconds() < 1 {
		return probeInterval
	}
	return time.Duration(max(0, 1-l.tokens) / (l.rate * share) * float64(time.Second))
}

func (l *Limit) probeDue(now time.Time) bool {
	return now.Sub(l.reported) >= probeInterval && now.Sub(l.probed) >= probeInterval
}

func (l *Limit) refill(now time.Time, share float64) {
	if d := now.Sub(l.filled); d > 0 {
		l.tokens = min(burst, l.tokens+l.rate*share*d.Seconds())
		l.filled = now
	}
}
