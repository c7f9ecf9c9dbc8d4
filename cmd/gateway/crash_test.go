package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

const (
	// contactTime is how long a process may run without knowing what its peers know.
	contactTime = 3 * time.Second
	// notificationTime is ample for the datagrams that notify the peers of a crash.
	notificationTime = 200 * time.Millisecond
)

// A process that starts after a request has crashed two endpoints sends it on, since only those that
// ran at the time of a crash are notified of it.
func TestHarmfulRequestIsRefusedByAProcessThatStartsLater(t *testing.T) {
	f := newFleet(t)
	first, second := startWorker(t, "w1", worker.Crash), startWorker(t, "w2", worker.Crash)
	f.putServer(first, "plain", "", "ready", 1)
	f.putServer(second, "plain", "", "ready", 1)
	f.start(t)
	f.waitReady(t)
	for i := range 2 {
		resp, _, err := f.send("POST", "/order/x", fmt.Sprint("id-", i), "harmful")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
	}
	resp, _, err := f.send("POST", "/order/x", "id-refused", "harmful")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)

	time.Sleep(notificationTime)
	next := startWorker(t, "w3")
	f.putServer(next, "plain", "", "ready", 1)
	later := f.secondGateway(t, f.settings.Store())
	later.start(t)
	later.waitReady(t)
	time.Sleep(contactTime)
	resp, body, err := later.send("POST", "/order/x", "id-later", "harmful")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, body, qt.Contains, `"notRun":true`)
	qt.Check(t, next.Runs(), qt.Equals, 0)
	resp, _, err = later.send("POST", "/order/x", "id-harmless", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
}

// All processes of a fleet are replaced, and a request that has crashed two endpoints is sent to a
// third one.
func TestReplacedProcessRefusesWhatCrashedEndpoints(t *testing.T) {
	f := newFleet(t)
	for _, id := range []string{"w-1", "w-2"} {
		f.putServer(startWorker(t, id, worker.Crash), "plain", "", "ready", 1)
	}
	f.start(t)
	f.waitReady(t)
	for i := range 2 {
		resp, _, err := f.send("POST", "/order/x", fmt.Sprint("id-", i), "harmful")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
	}
	waitUntil(t, func() bool { return strings.Contains(f.out.String(), "event=quarantineLog saved=1") })
	f.stop()
	f.ended <- <-f.ended // for the cleanup
	spare := startWorker(t, "w-3")
	f.putServer(spare, "plain", "", "ready", 1)

	next := f.secondGateway(t, f.settings.Store())
	next.start(t)
	next.waitReady(t)
	waitUntil(t, func() bool { return strings.Contains(next.out.String(), "event=quarantineLog restored=1") })
	resp, body, err := next.send("POST", "/order/x", "id-3", "harmful")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, body, qt.Contains, `"notRun":true`)
	qt.Check(t, spare.Runs(), qt.Equals, 0)
	resp, _, err = next.send("POST", "/order/x", "id-4", "harmless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
}
