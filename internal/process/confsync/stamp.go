package confsync

import "time"

// stamp is a moment kept for measuring how long ago it was.
type stamp struct {
	at time.Time // with its monotonic reading
}

func (t stamp) zero() bool { return t.at.IsZero() }

// age returns the longer of the times that the monotonic and the wall clock saw
// pass. The monotonic clock stands still while the machine is suspended, and
// the wall clock may be set back; a pause must show on one of them.
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
