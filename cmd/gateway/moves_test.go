package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

// An engine's entry says that it leaves while a long answer runs on it that nobody may make again. The caller gets
// half of it, or all of it twice, though the engine hands over what it runs.
func TestAnswerOutlastsItsEngine(t *testing.T) {
	f := newFleet(t)
	f.store.SetEngineFields(`,"moves":true`)
	f.publishRoutes(2, "model")
	leaving, other := startWorker(t, "w-leaving"), startWorker(t, "w-other")
	leaving.SetEventDelay(time.Second)
	f.putServer(leaving, "model", "decode", "ready", 1)
	f.start(t)
	f.waitReady(t)
	answered := make(chan string, 1)
	go func() {
		_, body, err := f.send("POST", "/once/stream/x", "id-1", "p", tokenCountHeader, "900,50")
		if err != nil {
			body = err.Error()
		}
		answered <- body
	}()
	waitUntil(t, func() bool { return len(leaving.Requests()) > 0 })
	f.putServer(other, "model", "decode", "ready", 1)
	f.putServer(leaving, "model", "decode", "draining", 2)
	qt.Check(t, <-answered, qt.Equals, "id: 1\ndata: part 1 of id-1\n\nid: 2\ndata: part 2 of id-1\n\nid: 3\ndata: part 3 of id-1\n\nid: 4\ndata: part 4 of id-1\n\n")
	qt.Check(t, other.Runs(), qt.Equals, 1)
	for _, w := range []*worker.Worker{leaving, other} {
		qt.Check(t, w.Violations(), qt.HasLen, 0)
	}
}
