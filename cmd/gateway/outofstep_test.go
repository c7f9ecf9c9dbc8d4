package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// cutOff returns a gateway that has no peers, and a switch that keeps the answers of the store from it.
func (f *fleet) cutOff(t *testing.T, fields string) (alone *fleet, cut *atomic.Bool) {
	t.Helper()
	cut = &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			<-r.Context().Done()
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	alone = &fleet{store: f.store, settings: parseSettings(t, strings.TrimPrefix(server.URL, "http://"), fields), out: &logBuffer{}, ended: make(chan error, 1)}
	return alone, cut
}

// During a release a gateway is cut off from the others and from the store for a moment. Streams that have begun
// elsewhere, at an engine of the new version which that gateway does not list, are taken up there, and go on at
// an engine of the old one.
func TestStreamsAtAGatewayThatIsOutOfStep(t *testing.T) {
	const firstStart = `,"firstStart":true`
	f := newFleetWith(t, firstStart)
	older, newer, plain := startWorker(t, "w-older"), startWorker(t, "w-newer"), startWorker(t, "w-plain")
	f.listBuild(t, older, "v1", 1)
	f.start(t)
	f.waitReady(t)
	alone, cut := f.cutOff(t, firstStart)
	alone.start(t)
	alone.waitReady(t)
	waitUntil(t, func() bool { // it relies on its list
		status, _, err := alone.stream("id-warm", "unheard-of", "1")
		return err == nil && status == http.StatusOK
	})
	cut.Store(true)
	f.listBuild(t, newer, "v2", 1)
	f.putServer(plain, "plain", "", "ready", 1)
	waitUntil(t, func() bool { // the other one has a list with both
		resp, _, err := f.send("POST", "/lookup/x", "id-lookup", "")
		return err == nil && resp.StatusCode == http.StatusOK
	})
	var callers sync.WaitGroup
	var began atomic.Int32
	for n := range 8 {
		callers.Go(func() {
			first, then := fmt.Sprint("id-", n), fmt.Sprint("id-then-", n)
			if _, body, _ := f.stream(first, "", ""); strings.Contains(body, "data: part") {
				began.Add(1)
			}
			_, _, _ = alone.stream(then, first, "1") // it may be refused
			qt.Check(t, ran(first, newer) && ran(then, older), qt.IsFalse, qt.Commentf("%s began at v2 and went on at v1", first))
		})
	}
	callers.Wait()
	qt.Check(t, began.Load() > 0, qt.IsTrue)
}
