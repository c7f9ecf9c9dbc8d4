package retryafter

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for name, c := range map[string]struct {
		text string
		want time.Duration
		ok   bool
	}{
		"nothing":            {"", 0, false},
		"seconds":            {"3", 3 * time.Second, true},
		"fractional seconds": {"0.25", 250 * time.Millisecond, true},
		"none":               {"0", 0, true},
		"a date":             {"Fri, 02 Jan 2026 03:04:15 GMT", 10 * time.Second, true},
		"a past date":        {"Fri, 02 Jan 2026 03:00:00 GMT", 0, true},
		"above the maximum":  {"1e12", MaxDelay, true},
		"infinite":           {"Inf", MaxDelay, true},
		"negative":           {"-1", 0, false},
		"no number":          {"NaN", 0, false},
		"a word":             {"soon", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Parse(http.Header{"Retry-After": {c.text}}, now)
			qt.Check(t, got, qt.Equals, c.want)
			qt.Check(t, ok, qt.Equals, c.ok)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("7")
	f.Add("-1")
	f.Add("99999999999999999999")
	f.Fuzz(func(t *testing.T, header string) {
		wait, _ := Parse(http.Header{"Retry-After": {header}}, time.Unix(1, 0))
		qt.Assert(t, wait >= 0 && wait <= MaxDelay, qt.IsTrue)
	})
}
