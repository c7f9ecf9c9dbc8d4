package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/engine"
)

// worker is what the sidecar holds of one endpoint.
type worker struct {
	spec     Worker
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	draining atomic.Bool
	quiet    atomic.Int32 // changes that want the endpoint empty; not negative
	down     atomic.Bool  // the last probe failed
	state    atomic.Pointer[observed]

	mu     sync.Mutex
	onIt   map[uint64]int  // running requests by fingerprint
	blamed map[string]bool // lives of the endpoint whose crash was reported
}

// observed is an engine's state and when it was read.
type observed struct {
	state carawayspread.EngineState
	at    time.Time
}

func newWorker(spec Worker) *worker {
	if spec.Slots <= 0 {
		spec.Slots = defaultSlots
	}
	w := &worker{
		spec:   spec,
		slots:  make(chan struct{}, spec.Slots),
		onIt:   map[uint64]int{},
		blamed: map[string]bool{},
	}
	w.state.Store(&observed{})
	return w
}

// enter takes a slot, waiting at most for left. Only as many requests wait as
// there are slots: more would be late anyway.
func (w *worker) enter(ctx context.Context, clock carawayspread.Clock, left time.Duration) *carawayspread.Error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if w.waiting.Add(1) > int64(cap(w.slots)) {
		w.waiting.Add(-1)
		return full()
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-clock.After(left):
		return full()
	case <-ctx.Done():
		return full()
	}
}

func full() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoint is full",
		carawayspread.NotRun(), carawayspread.RetryAfter(refusalRetry))
}

func (w *worker) leave() { <-w.slots }

// closed reports whether the endpoint takes no new work.
func (w *worker) closed() bool { return w.draining.Load() || w.quiet.Load() > 0 }

// empty refuses new work and takes every slot as it becomes free: whoever has
// all of them knows that no request runs and that none can begin.
func (w *worker) empty(ctx context.Context) (resume func(), err error) {
	w.quiet.Add(1)
	taken := 0
	resume = func() {
		for range taken {
			w.leave()
		}
		w.quiet.Add(-1)
	}
	for taken < cap(w.slots) {
		select {
		case w.slots <- struct{}{}:
			taken++
		case <-ctx.Done():
			resume()
			return nil, ctx.Err()
		}
	}
	return resume, nil
}

func (w *worker) began(fingerprint uint64) {
	w.running.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onIt[fingerprint]++
}

func (w *worker) ended(fingerprint uint64) {
	w.running.Add(-1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onIt[fingerprint]--; w.onIt[fingerprint] <= 0 {
		delete(w.onIt, fingerprint)
	}
}

// suspects returns the requests that were running when that life of the
// endpoint ended; nil when they were reported already.
func (w *worker) suspects(life string) []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blamed[life] {
		return nil
	}
	clear(w.blamed)
	w.blamed[life] = true
	fingerprints := make([]uint64, 0, len(w.onIt))
	for fingerprint := range w.onIt {
		if fingerprint != 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// probe asks the endpoint for its state and reports whether it still lives the
// life that it lived before.
func (w *worker) probe(ctx context.Context, client http.RoundTripper, now time.Time, life string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := engine.New(w.spec.Address, &http.Client{Transport: client}).State(ctx)
	if err != nil {
		w.down.Store(true)
		return false
	}
	w.down.Store(false)
	w.state.Store(&observed{state: state, at: now})
	return state.Boot == life || life == ""
}

func (w *worker) life() string { return w.state.Load().state.Boot }
