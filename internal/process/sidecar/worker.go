package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/engine"
	"carawayspread/internal/connection/retryafter"
)

// worker is what the sidecar holds of one endpoint.
type worker struct {
	spec     Worker
	log      log.Interface
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	draining atomic.Bool
	quiet    atomic.Int32 // changes that want the endpoint empty; not negative
	closed   atomic.Int64 // until when the endpoint takes nothing, in Unix nanoseconds
	down     atomic.Bool  // the last probe failed
	late     atomic.Int64 // probes in a row that timed out
	state    atomic.Pointer[observed]

	mu     sync.Mutex
	onIt   map[uint64]int  // running requests by fingerprint
	trials map[uint64]bool // those of them that run as trials
	blamed map[string]bool // lives of the endpoint whose crash was reported
}

// observed is an engine's state and when it was read.
type observed struct {
	state carawayspread.EngineState
	at    time.Time
}

func newWorker(spec Worker, l log.Interface) *worker {
	if spec.Slots <= 0 {
		spec.Slots = defaultSlots
	}
	w := &worker{
		spec:   spec,
		log:    l,
		slots:  make(chan struct{}, spec.Slots),
		onIt:   map[uint64]int{},
		trials: map[uint64]bool{},
		blamed: map[string]bool{},
	}
	w.state.Store(&observed{})
	return w
}

// waitingPart is the part of the slots' number that may wait. A longer queue
// before the endpoint is out of the entries' order: with an unbounded one
// goodput at twice the load fell to 26% of capacity in a trial on the fakes.
const waitingPart = 4

// enter takes a slot, waiting at most for left.
func (w *worker) enter(ctx context.Context, clock carawayspread.Clock, left time.Duration) *carawayspread.Error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if w.waiting.Add(1) > max(1, int64(cap(w.slots)/waitingPart)) {
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

// isClosed reports whether the endpoint takes no new work.
func (w *worker) isClosed() bool { return w.draining.Load() || w.quiet.Load() > 0 }

// paused returns for how long the endpoint takes nothing, as it has asked.
func (w *worker) paused(now time.Time) time.Duration {
	return max(0, time.Duration(w.closed.Load()-now.UnixNano()))
}

// pause takes how long the endpoint wants nothing where its answer turns a request away.
func (w *worker) pause(now time.Time, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	d, ok := retryafter.Parse(resp.Header, now)
	if !ok || d <= w.paused(now) {
		return
	}
	w.closed.Store(now.Add(d).UnixNano())
	w.log.WithField("endpoint", w.spec.ID).WithField("ms", d.Milliseconds()).Info("endpoint asks for a pause")
}

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

func (w *worker) began(fingerprint uint64, trial bool) {
	w.running.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onIt[fingerprint]++
	if trial {
		w.trials[fingerprint] = true
	}
}

func (w *worker) ended(fingerprint uint64) {
	w.running.Add(-1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onIt[fingerprint]--; w.onIt[fingerprint] <= 0 {
		delete(w.onIt, fingerprint)
		delete(w.trials, fingerprint)
	}
}

// suspects returns the requests that were running when that life of the
// endpoint ended, and the one of them that ran as a trial; nil when they were
// reported already.
func (w *worker) suspects(life string) (running []uint64, trial *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blamed[life] {
		return nil, nil
	}
	clear(w.blamed)
	w.blamed[life] = true
	for fingerprint := range w.onIt {
		if fingerprint != 0 {
			running = append(running, fingerprint)
		}
	}
	for fingerprint := range w.trials {
		trial = &fingerprint
	}
	return running, trial
}

// probe asks the endpoint for its state and reports whether it still lives the
// life that it lived before.
//
// Failure: a busy endpoint answers its probe late. Symptom: it is taken for
// crashed, and with few endpoints none is left. A probe that is only late
// counts after the third in a row; one that is refused or cut counts at once.
func (w *worker) probe(ctx context.Context, client http.RoundTripper, now time.Time, life string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := engine.New(w.spec.Address, &http.Client{Transport: client}).State(ctx)
	if err != nil {
		late := errors.Is(ctx.Err(), context.DeadlineExceeded) && w.late.Add(1) < lateProbes
		if !late {
			w.setDown(true, err)
		}
		return late
	}
	w.late.Store(0)
	w.setDown(false, nil)
	w.state.Store(&observed{state: state, at: now})
	return state.Boot == life || life == ""
}

func (w *worker) setDown(down bool, err error) {
	if w.down.Swap(down) != down {
		w.log.WithField("endpoint", w.spec.ID).WithField("down", down).WithField("error", err).Warn("endpoint changed")
	}
}

// lateProbes is how many probes in a row may time out before the endpoint
// counts as down.
const lateProbes = 3

func (w *worker) life() string { return w.state.Load().state.Boot }
