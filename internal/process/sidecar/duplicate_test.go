package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

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

// The body of an attempt breaks off, and its caller is told that it has not run. The same attempt is delivered again,
// late and whole: it must not run.
func TestAttemptRefusedForItsBodyDoesNotRunLater(t *testing.T) {
	runs := 0
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	t.Cleanup(endpoint.Close)
	s := New([]Worker{{ID: "engine-1", Kind: carawayspread.KindPlain, Address: strings.TrimPrefix(endpoint.URL, "http://")}},
		WithDeduplicator(attempts.New(carawayspread.SystemClock())), WithBodyLimit(4))
	t.Cleanup(s.Close)
	for _, delivery := range []struct {
		body   io.Reader
		length int64
		status int
		notRun string
	}{
		{iotest.ErrReader(io.ErrUnexpectedEOF), 4, http.StatusBadRequest, "true"},
		{strings.NewReader("body"), 4, carawayspread.CodeDuplicateAttempt.Status(), "false"},
	} {
		r := httptest.NewRequest(http.MethodPost, "/run/engine-1/x", delivery.body)
		r.ContentLength = delivery.length
		r.Header.Set(sidecarhttp.HeaderAttempt, "a-1")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		qt.Check(t, w.Code, qt.Equals, delivery.status)
		qt.Check(t, w.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, delivery.notRun)
	}
	qt.Check(t, runs, qt.Equals, 0)
}
