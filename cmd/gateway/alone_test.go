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

	"carawayspread/internal/standin/worker"
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
		free, free, free, free, store, f.daemon.PeerAddress())
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
	time.Sleep(4 * time.Second) // both have read the list, one after the other
	before := len(w.Requests())
	for i := range 8 {
		resp, _, err := late.ask("POST", "/order/x", fmt.Sprint("id-late-", i), fmt.Sprint("body ", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
	}
	qt.Check(t, len(w.Requests()), qt.Equals, before)
	qt.Check(t, stays.Runs(), qt.Equals, 8)
}

// No caller's connection closes without an answer because its process ends. The
// request arrives when the process has found none running and is about to end.
func TestRequestAsTheProcessEndsIsAnswered(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	conn, err := net.Dial("tcp", f.daemon.CallerAddress())
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

// Callers get their own answers only. An endpoint sends a second answer after the
// first, at once, on a connection that is kept; the next request to it goes out
// on that connection or on another, and the stray answer belongs to nobody.
func TestStrayAnswerReachesNobody(t *testing.T) {
	f := newFleet(t)
	script := make([]worker.Behaviour, 40)
	for i := range script {
		script[i] = worker.ExtraAnswer
	}
	w := startWorker(t, "w", script...)
	f.list(w, "plain", "", "ready", 1)
	f.start(t)
	f.ready(t)
	for i := range 40 {
		id := fmt.Sprint("id-", i)
		resp, body, err := f.ask("GET", fmt.Sprint("/lookup/", i), id, "")
		qt.Assert(t, err, qt.IsNil)
		if resp.StatusCode == 200 {
			qt.Check(t, body, qt.Equals, "w answers "+id)
		}
	}
	qt.Check(t, w.Runs() > 20, qt.IsTrue)
}

// A caller is served although the engine that was to read its prompt has just
// changed its role: the engine says that it has not run the request, its entry
// in the list is still the old one, and another engine reads instead.
func TestRoleChangesUnderARequest(t *testing.T) {
	f := newFleet(t)
	changed, answerer := startWorker(t, "w-changed", worker.Misdirected, worker.Misdirected), startWorker(t, "w-answerer")
	f.list(changed, "model", "prefill", "ready", 1)
	f.list(answerer, "model", "decode", "ready", 1)
	f.start(t)
	f.ready(t)
	resp, body, err := f.ask("POST", "/stream/x", "id-1", "p", prompt, "9000,100")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
	qt.Check(t, answerer.Runs(), qt.Equals, 1)
	qt.Check(t, len(changed.Requests()), qt.Equals, 1)
}

// recovered bounds the time from the start of a process, with a store that
// answers, to its first answer. Nothing lasts where it runs.
const recovered = 2 * time.Second

// Callers wait for seconds, not longer, after every process has died: one that
// starts anew reads routes and endpoints and serves, though nobody tells it what
// was known before.
func TestServesAgainFromNothing(t *testing.T) {
	f := newFleet(t)
	f.list(startWorker(t, "w"), "plain", "", "ready", 1)
	for range 3 {
		begun := time.Now()
		f.start(t)
		for {
			resp, _, err := f.ask("GET", "/lookup/x", fmt.Sprint("id-", time.Now().UnixNano()), "")
			if err == nil && resp.StatusCode == 200 {
				break
			}
			qt.Assert(t, time.Since(begun) < recovered, qt.IsTrue)
		}
		t.Logf("first answer after %v", time.Since(begun))
	}
}
