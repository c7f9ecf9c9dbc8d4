package history

import (
	"fmt"
	"net/http"
	"strings"
)

// checkOrder: the events of a stream follow one another from the last one that its caller had, also in an
// answer that broke off. What a caller had is counted over all its tries.
func checkOrder(a answer) []string {
	if !a.Kind.Streams() || a.Status != http.StatusOK {
		return nil
	}
	rest, due := withoutVersions(a.Body), a.After+1
	for {
		event, after, complete := strings.Cut(rest, "\n\n")
		if !complete {
			return nil
		}
		if event+"\n\n" != eventOf(a.ID, due) {
			return disorder(a, event, due)
		}
		rest, due = after, due+1
	}
}

// SetEvents sets how many events a complete stream has. It must be called before anything is recorded.
func (h *History) SetEvents(n int) { h.events = n }

// streamBody returns the events of a stream after the given one, up to the last one.
func streamBody(id string, after, last int) string {
	var b strings.Builder
	for n := after + 1; n <= last; n++ {
		b.WriteString(eventOf(id, n))
	}
	return b.String()
}

// eventOf returns one event of a stream.
func eventOf(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, id)
}

// disorder says what is wrong with an event in place of which another one was due.
func disorder(a answer, event string, due int) []string {
	var n int
	if _, err := fmt.Sscanf(event, "id: %d\n", &n); err != nil || event+"\n\n" != eventOf(a.ID, n) {
		return finding("ORDER: %s got, where its event %d was due, %q", a.ID, due, event)
	}
	what := "skipped"
	if n < due {
		what = "repeated"
	}
	return finding("ORDER: %s %s, event %d in place of %d (taken up: %t, from %d)", a.ID, what, n, due, a.Resumes != "", a.After)
}
