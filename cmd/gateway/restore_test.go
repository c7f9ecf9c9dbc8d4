package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// putUnrelatedRows writes rows that no gateway follows, as other processes and workers do.
func (f *fleet) putUnrelatedRows(n int) {
	for i := range n {
		f.store.Put("other", fmt.Sprint(i), []byte("{}"))
	}
}

// Guards against requests to a worker that has reported that it drains. The store is restored from
// an older copy, so its versions continue from a lower number, and a gateway that compares versions
// alone ignores what is written then as old.
func TestListIsFollowedAfterARestore(t *testing.T) {
	f := newFleet(t)
	first, second := startWorker(t, "w-first"), startWorker(t, "w-second")
	f.putServer(first, "plain", "", "ready", 1)
	backup := f.store.Copy()
	f.putUnrelatedRows(200)
	f.start(t)
	f.waitReady(t)
	sent := 0
	send := func() int {
		sent++
		resp, _, err := f.send("POST", "/order/x", fmt.Sprint("id-", sent), "text")
		qt.Assert(t, err, qt.IsNil)
		return resp.StatusCode
	}
	qt.Check(t, send(), qt.Equals, 200)

	f.store.Restore(backup)
	f.putServer(first, "plain", "", "draining", 2)
	f.putServer(second, "plain", "", "ready", 1)
	time.Sleep(2 * time.Second) // promises.leaving of the settings
	before := len(first.Requests())
	for range 10 {
		qt.Check(t, send(), qt.Equals, 200)
	}
	qt.Check(t, len(first.Requests())-before, qt.Equals, 0)
	qt.Check(t, len(second.Requests()) >= 10, qt.IsTrue)
}

// Guards against a running worker that is dropped after a restore of the store: rows written after
// the copy was taken are missing until their writers write them again.
func TestWorkerIsKeptUntilItsRowIsRewritten(t *testing.T) {
	f := newFleet(t)
	w := startWorker(t, "w-plain")
	backup := f.store.Copy() // without the worker
	f.putServer(w, "plain", "", "ready", 1)
	f.putUnrelatedRows(20)
	f.start(t)
	f.waitReady(t)
	f.store.Restore(backup)
	served := 0
	for n := range 30 {
		resp, _, err := f.send("POST", "/order/x", fmt.Sprint("id-", n), "text")
		qt.Assert(t, err, qt.IsNil)
		if resp.StatusCode == http.StatusOK {
			served++
		}
		if n == 20 {
			f.putServer(w, "plain", "", "ready", 2)
		}
		time.Sleep(100 * time.Millisecond)
	}
	qt.Check(t, served, qt.Equals, 30)
}
