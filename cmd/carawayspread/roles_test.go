package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/standin/engine"
)

// Guards against answers that are interrupted by planned role changes. Long prompts with short
// answers arrive through the entry that plans. Sidecars read its plan from the table, and each drains
// its engine before it orders the change, once, under its lease.
func TestPlannedRoleChange(t *testing.T) {
	f := newFleet(t)
	engines := []*engine.Engine{}
	for i := range 3 {
		e := engine.New(engine.TokenEvery(gap), engine.ChecksFence(), engine.RoleChange(200*time.Millisecond), engine.PrefillRate(20_000))
		id := fmt.Sprint(i)
		f.sidecar("sidecar-"+id, model("engine-"+id, e))
		engines = append(engines, e)
	}
	entry := f.entry("entry-1")
	var running sync.WaitGroup
	var done atomic.Bool
	var interrupted atomic.Pointer[answer]
	for caller := range 6 {
		running.Go(func() {
			for i := 0; !done.Load(); i++ {
				if got := stream(entry, fmt.Sprintf("register %d %d %4000d", caller, i, 0), 10, nil); !got.complete() {
					interrupted.Store(&got)
				}
			}
		})
	}
	f.eventually(func() bool {
		return slices.ContainsFunc(engines, func(e *engine.Engine) bool { return len(roleOrders(e)) > 0 })
	})
	done.Store(true)
	running.Wait()
	if got := interrupted.Load(); got != nil {
		t.Errorf("%v %s\n%s", got.err, got.body, entry.logged())
	}
	for _, e := range engines {
		for _, order := range roleOrders(e) {
			qt.Check(t, order.Fence > 0, qt.IsTrue)
		}
	}
}

func roleOrders(e *engine.Engine) []carawayspread.Order {
	return slices.DeleteFunc(e.Orders(), func(o carawayspread.Order) bool { return o.Kind != carawayspread.OrderSetRole })
}
