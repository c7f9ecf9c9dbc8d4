package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/version/gatewaysettings"
)

// beside returns a process of the same deployment that knows another by its
// address, and whose store is its own to switch off.
func (f *fleet) beside(t testing.TB, store string) *fleet {
	t.Helper()
	const free = "127.0.0.1:0"
	next := &fleet{store: f.store, out: &lines{}, ended: make(chan error, 1)}
	text := fmt.Sprintf(`{"instance":{"id":"g2","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[%q],"grace":"8s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
		free, free, free, free, store, f.daemon.Peer())
	var err error
	next.settings, err = gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	return next
}

// Callers are served by a process that has started while the store answers
// nobody. A peer that learnt routes and endpoints before hands them on; what it
// learns later is handed on too, and nothing older is taken back when the store
// answers again.
func TestProcessThatStartsWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	w := startWorker(t, "w")
	f.list(w, "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	late := f.beside(t, "127.0.0.1:1")
	late.start(t)
	begun := time.Now()
	late.ready(t)
	qt.Check(t, time.Since(begun) < 3*time.Second, qt.IsTrue)
	resp, body, err := late.ask("POST", "/order/x", "id-1", "text")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, body, qt.Equals, "w answers id-1")

	f.routes(7, "model")
	until(t, func() bool { return strings.Contains(late.out.String(), "version=7") })
	stays := startWorker(t, "w-stays")
	f.list(stays, "plain", "", "ready", 1)
	f.list(w, "plain", "", "draining", 2)
	time.Sleep(2 * time.Second) // both have read the list, one after the other
	before := len(w.Seen())
	for i := range 8 {
		resp, _, err := late.ask("POST", "/order/x", fmt.Sprint("id-late-", i), fmt.Sprint("body ", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, len(w.Seen()), qt.Equals, before)
	qt.Check(t, stays.Ran(), qt.Equals, 8)
}

// No caller's connection closes without an answer because its process ends. The
// request arrives when the process has found none running and is about to end.
func TestRequestAsTheProcessEndsIsAnswered(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	conn, err := net.Dial("tcp", f.daemon.Listen())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	f.stop()
	until(t, func() bool { return !f.daemon.Ready() })
	time.Sleep(3100 * time.Millisecond) // it has seen that nothing runs
	_, err = conn.Write([]byte("GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nCarawayspread-Request-Id: id-1\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}
