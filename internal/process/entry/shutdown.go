package entry

import (
	"time"

	"carawayspread/internal/request/call"
)

// shutdown is the time that is left to a process that ends.
type shutdown struct {
	beginUntil time.Time // from here on, only a request whose deadline is before end may begin
	end        time.Time
}

// mayBegin reports whether the request may be sent to an endpoint for the first time. A request may have waited, or
// its body may have taken, until so late in a shutdown that its answer would be aborted.
func (e *Entry) mayBegin(c *call.Call) bool {
	s := e.shutdown.Load()
	if s == nil || e.clock.Now().Before(s.beginUntil) {
		return true
	}
	return s.outlasts(c.Job().Deadline)
}

// outlasts reports whether the process still runs at the deadline of a request; zero for none.
func (s *shutdown) outlasts(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Before(s.end)
}

// waitUntil returns until when a request with that deadline may wait for a slot that it would wait for until latest.
// One that is sent in time may get its slot at the sidecar, so late that its answer is aborted.
func (s *shutdown) waitUntil(now, latest, deadline time.Time) time.Time {
	if s == nil || !now.Before(s.beginUntil) || !latest.After(s.beginUntil) || s.outlasts(deadline) {
		return latest
	}
	return s.beginUntil
}
