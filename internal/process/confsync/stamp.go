package confsync

import "time"

// stamp is a moment kept to measure how long ago it was.
type stamp struct {
	at time.Time // with its monotonic reading
}

func (t stamp) zero() bool { return t.at.IsZero() }

// age returns the time since the stamp by the monotonic or the wall clock, whichever is longer. The
// monotonic clock does not advance while the instance is suspended, and the wall clock may be set
// back; a pause shows on at least one of them.
func (t stamp) age(now time.Time) time.Duration {
	return max(now.Sub(t.at), now.Round(0).Sub(t.at.Round(0)))
}

// within reports whether the moment is known and at most d ago.
func (t stamp) within(now time.Time, d time.Duration) bool {
	return !t.zero() && t.age(now) <= d
}

func (t stamp) later(other stamp) stamp {
	if other.at.After(t.at) {
		return other
	}
	return t
}
