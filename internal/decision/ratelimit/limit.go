// Package ratelimit keeps the requests of all processes to one endpoint under the rate
// that the endpoint names.
//
// Load pattern: an endpoint in need names in its answers how many requests a second it
// takes, and many processes use it. Without this each of them goes on as before, and an
// endpoint that answers fast because it has little to do looks the best of all. If each
// process kept to the whole rate, the sum would grow with the fleet; if each had an equal
// part, a rate below one request a second for each process would let all of them send
// their first request at once.
//
// As many processes use the endpoint as it takes requests in a second, one at least. All
// processes draw the same ones without asking each other. Each has an equal part of the
// rate and may save up one request, so that in any time no more arrive than the rate
// allows in it and one second more.
package ratelimit

import "time"

const (
	// burst is how many requests a process may save up.
	burst = 1
	// lapse is when a rate that no answer has named again is tried: one request of
	// each process in that time finds out whether it still holds.
	//
	// Failure: the processes that use an endpoint have no callers for it, or all that
	// told of its end was lost. Symptom: the endpoint gets nothing for ever.
	lapse = 15 * time.Second
)

// Limit is what one process may send to one endpoint. Its callers serialise their calls.
type Limit struct {
	rate   float64   // requests a second of all processes; not negative
	named  time.Time // when an answer, here or at a peer, last named the rate
	tried  time.Time // when the last request without a token was sent
	tokens float64   // requests that may be sent now; 0 to burst
	filled time.Time // up to which tokens are counted
}

// New returns a limit that an answer has just named. Nothing is saved up yet: what the
// endpoint got before counts as well.
func New(now time.Time, rate float64) *Limit {
	return &Limit{rate: rate, named: now, tried: now, filled: now}
}

// Named takes the rate that an answer names.
func (l *Limit) Named(now time.Time, rate float64) { l.rate, l.named = rate, now }

// Since returns when an answer last named the rate.
func (l *Limit) Since() time.Time { return l.named }

// Rate returns the requests a second that the endpoint takes from all processes.
func (l *Limit) Rate() float64 { return l.rate }

// Allows reports whether a request may be sent now by a process that has that part of
// the rate, from 0 to 1.
func (l *Limit) Allows(now time.Time, part float64) bool {
	l.fill(now, part)
	return l.tokens >= 1 || l.lapsed(now)
}

// Take sends a request; false where none may be sent now.
func (l *Limit) Take(now time.Time, part float64) bool {
	l.fill(now, part)
	switch {
	case l.tokens >= 1:
		l.tokens--
	case l.lapsed(now):
		l.tried = now
	default:
		return false
	}
	return true
}

// Wait returns how long it takes until a request may be sent by a process that has that
// part of the rate, or by another one where it has none.
func (l *Limit) Wait(now time.Time, part float64) time.Duration {
	l.fill(now, part)
	if part == 0 {
		part = 1
	}
	if l.rate*part*lapse.Seconds() < 1 {
		return lapse
	}
	return time.Duration(max(0, 1-l.tokens) / (l.rate * part) * float64(time.Second))
}

func (l *Limit) lapsed(now time.Time) bool {
	return now.Sub(l.named) >= lapse && now.Sub(l.tried) >= lapse
}

func (l *Limit) fill(now time.Time, part float64) {
	if d := now.Sub(l.filled); d > 0 {
		l.tokens = min(burst, l.tokens+l.rate*part*d.Seconds())
		l.filled = now
	}
}
