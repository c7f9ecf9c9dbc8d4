package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
)

// An engine crashes with a request whose caller has left, or whose time is up: its connection is
// closed by then, so that nothing shows the crash, and the request is sent to the next engine. A
// request that is merely abandoned must not become a suspect.
func TestCrashAfterTheRequestWasAbandonedIsRecorded(t *testing.T) {
	for name, crashes := range map[string]bool{"the engine restarts": true, "the engine keeps running": false} {
		t.Run(name, func(t *testing.T) {
			var boot atomic.Value
			boot.Store("first")
			started := make(chan struct{})
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/state" {
					_, _ = w.Write([]byte(`{"boot":"` + boot.Load().(string) + `"}`))
					return
				}
				close(started)
				<-r.Context().Done()
			}))
			t.Cleanup(endpoint.Close)
			s := New([]Worker{{ID: "engine-1", Kind: carawayspread.KindModel, Address: strings.TrimPrefix(endpoint.URL, "http://")}})
			t.Cleanup(s.Close)
			s.probeAll(context.Background())
			const fingerprint = 7
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			r := httptest.NewRequest(http.MethodGet, "/run/engine-1/v1/x", nil).WithContext(ctx)
			r.Header.Set(sidecarhttp.HeaderAttempt, "1")
			r.Header.Set(sidecarhttp.HeaderFingerprint, sidecarhttp.FormatFingerprint(fingerprint))
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.ServeHTTP(httptest.NewRecorder(), r)
			}()
			<-started
			if crashes {
				boot.Store("second")
			}
			leave()
			<-ended
			suspect := func() bool {
				verdict, _ := s.suspects.Decide(quarantine.Attempt{Fingerprint: fingerprint})
				return verdict == quarantine.VerdictTrial
			}
			for deadline := time.Now().Add(time.Second); !suspect() && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			qt.Check(t, suspect(), qt.Equals, crashes)
			qt.Check(t, s.Running(), qt.Equals, 0)
		})
	}
}
