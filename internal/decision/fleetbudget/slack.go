package fleetbudget

import "time"

// slack is one process's share of the slack, as a token bucket.
//
// A process that starts does not know what the one before it has spent, which counts for the rest of the
// window. So a start has no tokens: what it gets later would have come to its predecessor as well. The tokens
// that can be saved and those that come within a window add up to the share, so that no series of starts
// spends more than the share in any window.
type slack struct {
	tokens   float64
	credited time.Time // up to when tokens have been credited
}

// refill credits the tokens since the last call, of a share per window, and returns how many there are.
func (s *slack) refill(now time.Time, share float64, window time.Duration) float64 {
	saved := min(share, max(1, share/2))
	if elapsed := now.Sub(s.credited); elapsed > 0 {
		s.tokens += (share - saved) * elapsed.Seconds() / window.Seconds()
		s.credited = now
	}
	s.tokens = min(s.tokens, saved)
	return s.tokens
}

// take spends a token; false if there is none.
func (s *slack) take() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
