package history

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/caller"
)

// Guards against streams out of order that the soak does not report since they broke off or were taken up.
func TestStreamsOutOfOrderAreReported(t *testing.T) {
	events := func(id string, numbers ...int) string {
		var b strings.Builder
		for _, n := range numbers {
			b.WriteString(eventOf(id, n))
		}
		return b.String()
	}
	for name, c := range map[string]struct {
		body     string
		after    int
		complete bool
		want     string
	}{
		"in order, broken off":          {events("id", 1, 2, 3), 0, false, ""},
		"in order, in the middle":       {events("id", 1, 2) + "id: 3\ndata: pa", 0, false, ""},
		"in order, taken up":            {events("id", 3, 4), 2, true, ""},
		"nothing came":                  {"", 2, false, ""},
		"one is missing":                {events("id", 1, 3), 0, false, "ORDER: id skipped, event 3 in place of 2"},
		"one comes twice":               {events("id", 1, 2, 2), 0, false, "ORDER: id repeated, event 2 in place of 3"},
		"one goes back":                 {events("id", 1, 2, 3, 1), 0, false, "ORDER: id repeated, event 1 in place of 4"},
		"begins with the last":          {events("id", 2, 3), 2, false, "ORDER: id repeated, event 2 in place of 3"},
		"begins after the next":         {events("id", 4), 2, false, "ORDER: id skipped, event 4 in place of 3"},
		"of another stream":             {events("id", 1) + events("other", 2), 0, false, "where its event 2 was due"},
		"complete, but out of order":    {events("id", 1, 3, 2, 4), 0, true, "ORDER: id skipped, event 3 in place of 2"},
		"complete, but begins too late": {events("id", 4), 2, true, "ORDER: id skipped, event 4 in place of 3"},
	} {
		t.Run(name, func(t *testing.T) {
			a := caller.Answer{ID: "id", Kind: caller.Stream, Status: 200, Body: c.body, After: c.after}
			if c.after > 0 {
				a.Resumes = "first"
			}
			if !c.complete {
				a.Err = errors.New("unexpected EOF")
			}
			h := New(Bounds{Timeouts: map[caller.Kind]time.Duration{}}, time.Time{})
			h.RecordAnswer("g", a)
			var found []string
			for _, breach := range h.Breaches() {
				if strings.HasPrefix(breach, "ORDER") {
					found = append(found, breach)
				}
			}
			if c.want == "" {
				qt.Check(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Check(t, found[0], qt.Contains, c.want)
		})
	}
}
