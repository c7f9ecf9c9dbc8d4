package main

import (
	"fmt"
	"strings"
	"sync"
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
	begun := time.Now()
	var callers sync.WaitGroup
	for n, gateway := range []*fleet{f, other} {
		for caller := range 3 {
			callers.Go(func() {
				for i := 0; time.Since(begun) < 9*time.Second; i++ {
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
	callers.Wait()
	qt.Check(t, changed(), qt.Equals, int64(1))
	lines := f.out.String() + other.out.String()
	qt.Check(t, strings.Count(lines, "event=role "), qt.Equals, 1)
	qt.Check(t, lines, qt.Contains, "from=decode to=prefill fence=1 outcome=ordered")
}
