package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/standin/worker"
)

// Callers of long prompts wait before the one engine that reads, while five that
// answer have little to do: one of these is told to read, once, by one of two
// processes. No request is lost or failed for it.
func TestRolesFollowTheWork(t *testing.T) {
	f := newFleet(t)
	var workers []*worker.Worker
	for i, stage := range []string{"prefill", "decode", "decode", "decode", "decode", "decode"} {
		w := startWorker(t, fmt.Sprint("w-", i))
		w.SetRole(stage, false)
		f.list(w, "model", stage, "ready", 1)
		workers = append(workers, w)
	}
	f.start(t)
	f.ready(t)
	other := f.beside(t, f.settings.Store())
	other.start(t)
	other.ready(t)
	changed := func() (n int64) {
		for _, w := range workers {
			_, accepted := w.Orders()
			n += accepted
		}
		return n
	}
	var enough atomic.Bool
	var callers sync.WaitGroup
	for n, gateway := range []*fleet{f, other} {
		for caller := range 3 {
			callers.Go(func() {
				for i := 0; !enough.Load(); i++ {
					id := fmt.Sprint("id-", n, "-", caller, "-", i)
					resp, body, err := gateway.ask("POST", "/stream/x", id, id, prompt, "9000,20")
					qt.Check(t, err, qt.IsNil)
					if err == nil && resp.StatusCode == 200 {
						qt.Check(t, strings.Count(body, "data: part"), qt.Equals, worker.Events)
					} else if err == nil {
						qt.Check(t, resp.StatusCode, qt.Equals, 503, qt.Commentf(body))
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	begun := time.Now()
	for changed() == 0 && time.Since(begun) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // the other process sees the same work
	enough.Store(true)
	callers.Wait()
	qt.Check(t, changed(), qt.Equals, int64(1))
	lines := f.out.String() + other.out.String()
	qt.Check(t, strings.Count(lines, "event=role "), qt.Equals, 1)
	// The stand-in's era before the first epoch.
	qt.Check(t, lines, qt.Contains, "from=decode to=prefill fence=1025 outcome=ordered")
}
