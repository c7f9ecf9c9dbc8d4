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

// Guards against roles that do not follow the load, and against a second role order from the other
// gateway. Long prompts queue at the only prefill engine while five decode engines are nearly idle:
// one of the two gateways orders one of these to prefill, once, and no request fails.
func TestRolesFollowTheLoad(t *testing.T) {
	f := newFleet(t)
	var workers []*worker.Worker
	for i, stage := range []string{"prefill", "decode", "decode", "decode", "decode", "decode"} {
		w := startWorker(t, fmt.Sprint("w-", i))
		w.SetRole(stage, false)
		f.putServer(w, "model", stage, "ready", 1)
		workers = append(workers, w)
	}
	f.start(t)
	f.waitReady(t)
	other := f.secondGateway(t, f.settings.Store())
	other.start(t)
	other.waitReady(t)
	acceptedOrders := func() (n int64) {
		for _, w := range workers {
			_, accepted := w.Orders()
			n += accepted
		}
		return n
	}
	var done atomic.Bool
	var callers sync.WaitGroup
	for n, gateway := range []*fleet{f, other} {
		for caller := range 3 {
			callers.Go(func() {
				for i := 0; !done.Load(); i++ {
					id := fmt.Sprint("id-", n, "-", caller, "-", i)
					resp, body, err := gateway.send("POST", "/stream/x", id, id, tokenCountHeader, "9000,20")
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
	for acceptedOrders() == 0 && time.Since(begun) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // the other gateway observes the same load
	done.Store(true)
	callers.Wait()
	qt.Check(t, acceptedOrders(), qt.Equals, int64(1))
	lines := f.out.String() + other.out.String()
	qt.Check(t, strings.Count(lines, "event=role "), qt.Equals, 1)
	// The fencing token combines the era of the stand-in, 1, and the first epoch: 1*1024 + 1.
	qt.Check(t, lines, qt.Contains, "from=decode to=prefill fence=1025 outcome=ordered")
}
