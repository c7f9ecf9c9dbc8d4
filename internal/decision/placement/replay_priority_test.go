package placement

import (
	"slices"
	"time"
)

// modelPrefill is a prefill that waits at an engine.
type modelPrefill struct {
	priority int
	work     time.Duration
	done     func()
}

// prefill runs a prefill after those that are queued and at least as urgent.
func (r *replay) prefill(e *modelEngine, p modelPrefill) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > p.priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, p)
	if !e.busy {
		r.next(e)
	}
}

func (r *replay) next(e *modelEngine) {
	e.busy = len(e.queue) > 0
	if !e.busy {
		return
	}
	p := e.queue[0]
	e.queue = e.queue[1:]
	r.after(p.work, func() {
		r.after(modelDelay, p.done)
		r.next(e)
	})
}
