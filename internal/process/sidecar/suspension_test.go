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

// An endpoint refuses a request and sends a Retry-After header. Until that time has
// passed, the sidecar must refuse requests itself, instead of forwarding each to the
// endpoint and returning the endpoint's refusal to the caller.
func TestSuspendedEndpointGetsNoRequests(t *testing.T) {
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
			send := func() *httptest.ResponseRecorder {
				attempt++
				r := httptest.NewRequest(http.MethodPost, "/run/w/x", strings.NewReader("{}"))
				r.Header.Set(sidecarhttp.HeaderAttempt, strconv.Itoa(attempt))
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				return w
			}
			qt.Check(t, send().Code, qt.Equals, status)
			clock.Advance(time.Second)
			refused := send()
			qt.Check(t, hits, qt.Equals, 1)
			qt.Check(t, refused.Header().Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeOverloaded))
			qt.Check(t, refused.Header().Get(sidecarhttp.HeaderNotRun), qt.Equals, "true")
			qt.Check(t, refused.Header().Get("Retry-After"), qt.Equals, "2")
			clock.Advance(2 * time.Second)
			_ = send()
			qt.Check(t, hits, qt.Equals, 2)
		})
	}
}
