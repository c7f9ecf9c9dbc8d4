package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
	"carawayspread/internal/version/gatewaysettings"
)

// Guards against a caller whose connection is closed without an answer: its endpoint stalls, and
// the grace of the process that ends is over before the time limit of the request.
func TestRequestThatOutlastsTheGraceIsAnswered(t *testing.T) {
	f := newFleet(t)
	text := fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[],"grace":"4s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
		"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", f.settings.Store())
	var err error
	f.settings, err = gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	script := make([]worker.Behaviour, 20)
	for i := range script {
		script[i] = worker.Hang
	}
	w := startWorker(t, "w", script...)
	f.putServer(w, "model", "decode", "ready", 1)
	f.start(t)
	f.waitReady(t)
	type answer struct {
		status int
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		resp, _, err := f.send("POST", "/stream/x", "id-1", "text", tokenCountHeader, "900,10")
		if err != nil {
			answered <- answer{err: err}
			return
		}
		answered <- answer{status: resp.StatusCode}
	}()
	waitUntil(t, func() bool { return len(w.Requests()) > 0 })
	time.Sleep(100 * time.Millisecond)
	f.stop()
	got := <-answered
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, strings.Contains("502 504", fmt.Sprint(got.status)), qt.IsTrue, qt.Commentf("%d", got.status))
}

// A caller's connection is closed without an answer at the end of the grace: other callers keep
// connecting, and what is left of the grace is spent on accepting them before the request is ended.
func TestRequestIsAnsweredAtTheEndOfTheGraceWhileCallersConnect(t *testing.T) {
	f := newFleet(t)
	text := fmt.Sprintf(`{"instance":{"id":"g","zone":"z"},"addresses":{"listen":%q,"health":%q,"peer":%q,"metrics":%q},
		"store":%q,"seeds":[],"grace":"4s","memoryMegabytes":100,"retries":{"ratio":0.2,"slack":50,"window":"10s"}}`,
		"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", f.settings.Store())
	var err error
	f.settings, err = gatewaysettings.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	w := startWorker(t, "w", worker.Hang, worker.Hang, worker.Hang)
	f.putServer(w, "model", "decode", "ready", 1)
	f.start(t)
	f.waitReady(t)
	status := make(chan int, 1)
	go func() {
		resp, _, err := f.send("POST", "/stream/x", "id-1", "text", tokenCountHeader, "900,10")
		if err != nil {
			t.Log(err)
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	waitUntil(t, func() bool { return len(w.Requests()) > 0 })
	answered := make(chan struct{})
	var connecting sync.WaitGroup
	for range 64 {
		connecting.Go(func() {
			for {
				select {
				case <-answered:
					return
				default:
				}
				if conn, err := net.Dial("tcp4", f.daemon.CallerAddress()); err == nil {
					_ = conn.Close()
				}
			}
		})
	}
	f.stop()
	got := <-status
	close(answered)
	connecting.Wait()
	qt.Check(t, got == http.StatusBadGateway || got == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%d", got))
}
