package worker

import "strings"

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
