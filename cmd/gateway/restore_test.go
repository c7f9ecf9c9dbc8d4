package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// busy writes rows that nobody follows, as other processes and workers do.
func (f *fleet) busy(n int) {
	for i := range n {
		f.store.Put("other", fmt.Sprint(i), []byte("{}"))
	}
}

// The store comes back from an older copy, and its versions begin again at a lower one:
// what is written then was passed over as old, and requests went on to a worker that had
// said that it leaves.
func TestListIsFollowedAfterARestore(t *testing.T) {
	f := newFleet(t)
	first, second := startWorker(t, "w-first"), startWorker(t, "w-second")
	f.list(first, "plain", "", "ready", 1)
	older := f.store.Copy()
	f.busy(200)
	f.start(t)
	f.ready(t)
	asked := 0
	ask := func() int {
		asked++
		resp, _, err := f.ask("POST", "/order/x", fmt.Sprint("id-", asked), "text")
		qt.Assert(t, err, qt.IsNil)
		return resp.StatusCode
	}
	qt.Check(t, ask(), qt.Equals, 200)

	f.store.Restore(older)
	f.list(first, "plain", "", "draining", 2)
	f.list(second, "plain", "", "ready", 1)
	time.Sleep(2 * time.Second) // promises.leaving of the settings
	before := len(first.Requests())
	for range 10 {
		qt.Check(t, ask(), qt.Equals, 200)
	}
	qt.Check(t, len(first.Requests())-before, qt.Equals, 0)
	qt.Check(t, len(second.Requests()) >= 10, qt.IsTrue)
}

// Rows that were written after the copy was taken are missing until their writers have
// written them again: a worker that lives was taken for gone.
func TestWorkerIsNotGoneBeforeItIsWrittenAgain(t *testing.T) {
	f := newFleet(t)
	w := startWorker(t, "w-plain")
	older := f.store.Copy() // without the worker
	f.list(w, "plain", "", "ready", 1)
	f.busy(20)
	f.start(t)
	f.ready(t)
	f.store.Restore(older)
	served := 0
	for n := range 30 {
		resp, _, err := f.ask("POST", "/order/x", fmt.Sprint("id-", n), "text")
		qt.Assert(t, err, qt.IsNil)
		if resp.StatusCode == http.StatusOK {
			served++
		}
		if n == 20 {
			f.list(w, "plain", "", "ready", 2)
		}
		time.Sleep(100 * time.Millisecond)
	}
	qt.Check(t, served, qt.Equals, 30)
}
