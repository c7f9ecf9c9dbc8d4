package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
)

// Guards against requests that are cut at the end of a drain, since they waited for a slot when it began and ran as
// soon as one was free.
func TestDrainRefusesWhatWaitsForASlot(t *testing.T) {
	var hits atomic.Int64
	release := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		hits.Add(1)
		<-release
	}))
	t.Cleanup(endpoint.Close)
	s := New([]Worker{{ID: "records-1", Kind: carawayspread.KindPlain, Slots: 1, Address: strings.TrimPrefix(endpoint.URL, "http://")}})
	send := func() <-chan http.Header {
		answered := make(chan http.Header, 1)
		go func() {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/run/records-1/receipts", strings.NewReader("{}")))
			answered <- w.Header()
		}()
		return answered
	}
	running := send()
	for hits.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := send()
	for s.Running() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.Drain("")
	select {
	case refused := <-waiting:
		qt.Check(t, refused.Get(sidecarhttp.HeaderRefused), qt.Equals, string(carawayspread.CodeDraining))
		qt.Check(t, refused.Get(sidecarhttp.HeaderNotRun), qt.Equals, "true")
	case <-time.After(5 * time.Second):
		t.Error("the request still waits")
	}
	close(release)
	qt.Check(t, (<-running).Get(sidecarhttp.HeaderRefused), qt.Equals, "")
	qt.Check(t, hits.Load(), qt.Equals, int64(1))
}
