package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/process/attempts"
)

// An attempt is refused as not run, and its caller is told so. The network then
// delivers it a second time, when the reason for the refusal no longer holds. The
// endpoint must not receive it, and the second refusal must not say "not run".
func TestRefusedAttemptDoesNotRunLater(t *testing.T) {
	hits := 0
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits++ }))
	t.Cleanup(endpoint.Close)
	worker := Worker{ID: "records-1", Kind: carawayspread.KindPlain, Address: strings.TrimPrefix(endpoint.URL, "http://")}
	s := New([]Worker{worker}, WithDeduplicator(attempts.New(carawayspread.SystemClock())))
	const fingerprint = 7
	s.suspects.Suspected(fingerprint, "")
	deliver := func() http.Header {
		r := httptest.NewRequest(http.MethodPost, "/run/records-1/receipts", strings.NewReader("{}"))
		r.Header.Set(sidecarhttp.HeaderAttempt, "1")
		r.Header.Set(sidecarhttp.HeaderFingerprint, sidecarhttp.FormatFingerprint(fingerprint))
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w.Header()
	}
	first := deliver()
	s.suspects.Served(fingerprint)
	second := deliver()
	qt.Check(t, first.Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeSuspect))
	qt.Check(t, first.Get(sidecarhttp.HeaderNotRun), qt.Equals, "true")
	qt.Check(t, second.Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeDuplicateAttempt))
	qt.Check(t, second.Get(sidecarhttp.HeaderNotRun), qt.Not(qt.Equals), "true")
	qt.Check(t, hits, qt.Equals, 0)
}
