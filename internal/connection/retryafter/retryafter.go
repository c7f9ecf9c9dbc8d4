// Package retryafter parses the Retry-After header of HTTP (RFC 9110, section 10.2.3).
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxDelay bounds the delay that Parse returns.
const MaxDelay = 10 * time.Minute

// Parse returns the delay in the header, given as seconds or as a date; false if the header is
// missing or invalid.
func Parse(h http.Header, now time.Time) (time.Duration, bool) {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, MaxDelay.Seconds()) * float64(time.Second)), true
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(0, min(date.Sub(now), MaxDelay)), true
	}
	return 0, false
}
