package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
)

// An endpoint turns a request away and says for how long it takes none: each request
// after it was passed on all the same, and its caller got the endpoint's refusal.
func TestNothingIsPassedOnDuringAPause(t *testing.T) {
	for name, status := range map[string]int{"unavailable": http.StatusServiceUnavailable, "too many": http.StatusTooManyRequests} {
		t.Run(name, func(t *testing.T) {
			hits := 0
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				hits++
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(status)
			}))
			t.Cleanup(endpoint.Close)
			clock := clockwork.NewFakeClock()
			s := New([]Worker{{ID: "w", Kind: carawayspread.KindPlain, Address: strings.TrimPrefix(endpoint.URL, "http://")}}, WithClock(clock))
			t.Cleanup(s.Close)
			attempt := 0
			ask := func() *httptest.ResponseRecorder {
				attempt++
				r := httptest.NewRequest(http.MethodPost, "/run/w/x", strings.NewReader("{}"))
				r.Header.Set(sidecarhttp.HeaderAttempt, strconv.Itoa(attempt))
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				return w
			}
			qt.Check(t, ask().Code, qt.Equals, status)
			clock.Advance(time.Second)
			refused := ask()
			qt.Check(t, hits, qt.Equals, 1)
			qt.Check(t, refused.Header().Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeOverloaded))
			qt.Check(t, refused.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, "true")
			qt.Check(t, refused.Header().Get("Retry-After"), qt.Equals, "2")
			clock.Advance(2 * time.Second)
			_ = ask()
			qt.Check(t, hits, qt.Equals, 2)
		})
	}
}
