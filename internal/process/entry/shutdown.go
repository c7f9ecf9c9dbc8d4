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
	deadline := c.Job().Deadline
	return !deadline.IsZero() && deadline.Before(s.end)
}
