package worker

import (
	"strings"
	"time"
)

// darkTime is how long a worker that has gone dark keeps its connections: longer than callers wait.
const darkTime = 10 * time.Second

// goDark ends the worker as one that loses its power: nothing listens any more, and its connections stay open.
func (w *Worker) goDark(id string, r *run) {
	w.mu.Lock()
	delete(w.runs, id)
	w.mu.Unlock()
	byAddress.Delete(w.Address())
	_ = w.listener.Close()
	select {
	case <-r.stop:
	case <-time.After(darkTime):
	}
}

// crashFor returns the function to call as the request crashes the worker; nil if it does not.
func (w *Worker) crashFor(got Request) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if got.PrefillOnly || got.Body != HarmfulBody && !got.HasPart(w.harmfulPart) {
		return nil
	}
	return w.onCrash
}

// HasPart reports whether the prompt of the request has that part.
func (r Request) HasPart(part string) bool {
	for entry := range strings.SplitSeq(r.Header.Get("Carawayspread-Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(entry, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}
