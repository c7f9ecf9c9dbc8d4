// Package retryafter reads the Retry-After header of HTTP (RFC 9110, section 10.2.3).
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Longest bounds the time that a header may name.
const Longest = 10 * time.Minute

// Parse returns the time that the header names, as seconds or as a date; false where it
// names none that can be read.
func Parse(h http.Header, now time.Time) (time.Duration, bool) {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, Longest.Seconds()) * float64(time.Second)), true
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(0, min(date.Sub(now), Longest)), true
	}
	return 0, false
}
