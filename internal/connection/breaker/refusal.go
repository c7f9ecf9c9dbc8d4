package breaker

import (
	"fmt"
	"time"

	"carawayspread"
)

// refusal is the error of a request that was not sent because the table service is known to be
// down.
//
// It is deliberately no *carawayspread.Error. That nothing was sent to the table this time does not
// prove that the caller's request has not run: an earlier request with the same key may have run
// it. An *Error marked as not run would reach the caller as a false "not run".
type refusal struct {
	wait time.Duration // positive
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%v: known to be down, next probe in %v", carawayspread.ErrUnavailable, r.wait)
}

// Is matches carawayspread.ErrUnavailable.
func (r *refusal) Is(target error) bool { return target == carawayspread.ErrUnavailable }

// RetryAfter returns the time until the next request may be sent.
func (r *refusal) RetryAfter() time.Duration { return r.wait }
