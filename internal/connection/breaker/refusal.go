package breaker

import (
	"fmt"
	"time"

	"carawayspread"
)

// refusal is a request that was not sent to a table service known to be down.
//
// It is no *carawayspread.Error on purpose. That nothing was sent to the table
// just now proves nothing of the caller's request, which may have run under an
// earlier sending; as an *Error marked not run it would reach the caller as a
// false "not run".
type refusal struct {
	wait time.Duration // positive
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%v: known to be down, next trial in %v", carawayspread.ErrUnavailable, r.wait)
}

// Is matches carawayspread.ErrUnavailable.
func (r *refusal) Is(target error) bool { return target == carawayspread.ErrUnavailable }

// RetryAfter returns when the next request may be sent.
func (r *refusal) RetryAfter() time.Duration { return r.wait }
