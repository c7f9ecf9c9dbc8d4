// Package unlimited never limits attempts. It is the baseline that other limiters are compared
// with.
package unlimited

import (
	"math"
	"time"

	"carawayspread"
)

// Limiter is a carawayspread.Limiter without a limit.
type Limiter struct{}

var _ = carawayspread.Limiters.Register("unlimited", func(carawayspread.Environment) carawayspread.Limiter {
	return Limiter{}
})

// Acquire always succeeds.
func (Limiter) Acquire() bool { return true }

// Release does nothing.
func (Limiter) Release(time.Duration, carawayspread.Outcome) {}

// Limit returns the largest number.
func (Limiter) Limit() int { return math.MaxInt32 }
