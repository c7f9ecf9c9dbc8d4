package sidecarhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a request that runs twice, or is reported as not run and runs, since the refusal of another
// attempt on the same connection is taken for its own.
func TestRefusalOfAnotherAttemptIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		names          string // the attempt that the refusal names
		first, closing bool   // the refusal is the first answer on its connection; the attempt takes a new one
		notRun         bool
	}{
		"own":                              {names: "b", notRun: true},
		"own, first on its connection":     {names: "b", first: true, notRun: true},
		"none":                             {},
		"none, first on its connection":    {first: true, notRun: true},
		"none, at most once":               {closing: true, notRun: true},
		"another":                          {names: "a"},
		"another, first on its connection": {names: "a", first: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
				if r.Header.Get(HeaderAttempt) == "a" {
					w.Header().Set(HeaderLength, "0")
					w.Header().Set(TrailerEnd, EndWhole)
					w.WriteHeader(http.StatusNoContent)
					return
				}
				w.Header().Set(HeaderAttempt, c.names)
				w.Header().Set(HeaderRefused, string(carawayspread.CodeOverloaded))
				w.Header().Set(HeaderNotRun, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			client := NewClient(time.Minute)
			defer client.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			send := func(id string) (*Answer, error) {
				return client.Do(context.Background(), Attempt{ID: id, Endpoint: "e", Address: address, Method: http.MethodGet, Path: "/", Header: http.Header{}, AtMostOnce: c.closing})
			}
			if !c.first {
				got, err := send("a")
				qt.Assert(t, err, qt.IsNil)
				_ = got.Body.Close()
			}
			_, err := send("b")
			failure, ok := carawayspread.AsError(err)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, failure.NotRun(), qt.Equals, c.notRun)
		})
	}
}
