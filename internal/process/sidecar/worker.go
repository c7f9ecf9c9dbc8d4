package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/engine"
	"carawayspread/internal/connection/listening"
	"carawayspread/internal/connection/retryafter"
)

// worker is the state of one endpoint.
type worker struct {
	spec           Worker
	log            log.Interface
	slots          chan struct{}
	running        atomic.Int64
	waiting        atomic.Int64
	draining       atomic.Bool
	drained        chan struct{} // closed when draining is set
	quiescing      atomic.Int32  // running calls that need the endpoint idle; not negative
	suspendedUntil atomic.Int64  // end of the endpoint's Retry-After, in Unix nanoseconds
	down           atomic.Bool   // the last probe failed
	timedOutProbes atomic.Int64  // consecutive probes that timed out
	state          atomic.Pointer[observed]

	mu              sync.Mutex
	runningRequests map[uint64]int  // number of running requests by fingerprint
	trials          map[uint64]bool // fingerprints of those that run as trials
	reportedBoots   map[string]bool // boot IDs whose crash was reported
}

// observed is an engine's state and the time at which it was read.
type observed struct {
	state carawayspread.EngineState
	at    time.Time
}

func newWorker(spec Worker, l log.Interface) *worker {
	if spec.Slots <= 0 {
		spec.Slots = defaultSlots
	}
	w := &worker{
		spec:            spec,
		log:             l,
		slots:           make(chan struct{}, spec.Slots),
		drained:         make(chan struct{}),
		runningRequests: map[uint64]int{},
		trials:          map[uint64]bool{},
		reportedBoots:   map[string]bool{},
	}
	w.state.Store(&observed{})
	return w
}

// slotsPerWaiter is the number of slots per waiting request. A longer queue at the
// endpoint is outside the scheduling of the entries: with an unbounded queue, goodput
// at twice the load fell to 26% of capacity in a run with stand-in engines.
const slotsPerWaiter = 4

// acquireSlot acquires a slot and waits at most for left. A request that waits when the endpoint begins to drain is
// refused, as it could run until after the end of this process; another endpoint may take it.
func (w *worker) acquireSlot(ctx context.Context, clock carawayspread.Clock, left time.Duration) *carawayspread.Error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if w.waiting.Add(1) > max(1, int64(cap(w.slots)/slotsPerWaiter)) {
		w.waiting.Add(-1)
		return full()
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		if w.draining.Load() {
			w.releaseSlot()
			return leaving()
		}
		return nil
	case <-w.drained:
		return leaving()
	case <-clock.After(left):
		return full()
	case <-ctx.Done():
		return full()
	}
}

// drain makes the endpoint refuse requests that have not begun.
func (w *worker) drain() {
	if !w.draining.Swap(true) {
		close(w.drained)
	}
}

func leaving() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeDraining, "the endpoint is leaving", carawayspread.NotRun())
}

func full() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoint is full",
		carawayspread.NotRun(), carawayspread.RetryAfter(refusalRetry))
}

func (w *worker) releaseSlot() { <-w.slots }

// isClosed reports whether the endpoint admits no new requests.
func (w *worker) isClosed() bool { return w.draining.Load() || w.quiescing.Load() > 0 }

// suspension returns how long the endpoint must still get no requests because of its
// Retry-After.
func (w *worker) suspension(now time.Time) time.Duration {
	return max(0, time.Duration(w.suspendedUntil.Load()-now.UnixNano()))
}

// suspend applies the Retry-After header of an answer that refuses a request (503 or 429).
func (w *worker) suspend(now time.Time, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	d, ok := retryafter.Parse(resp.Header, now)
	if !ok || d <= w.suspension(now) {
		return
	}
	w.suspendedUntil.Store(now.Add(d).UnixNano())
	w.log.WithField("endpoint", w.spec.ID).WithField("ms", d.Milliseconds()).Info("endpoint suspended by its Retry-After header")
}

// quiesce refuses new requests and acquires every slot as it becomes free. When all are
// acquired, no request runs and none can start.
func (w *worker) quiesce(ctx context.Context) (resume func(), err error) {
	w.quiescing.Add(1)
	taken := 0
	resume = func() {
		for range taken {
			w.releaseSlot()
		}
		w.quiescing.Add(-1)
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

func (w *worker) recordStart(fingerprint uint64, trial bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runningRequests[fingerprint]++
	if trial {
		w.trials[fingerprint] = true
	}
}

func (w *worker) recordEnd(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runningRequests[fingerprint]--; w.runningRequests[fingerprint] <= 0 {
		delete(w.runningRequests, fingerprint)
		delete(w.trials, fingerprint)
	}
}

// takeSuspects returns the requests that were running when the endpoint with that boot
// ID crashed, and the one of them that ran as a trial. It returns nil if they were
// reported already.
func (w *worker) takeSuspects(boot string) (running []uint64, trial *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportedBoots[boot] {
		return nil, nil
	}
	clear(w.reportedBoots)
	w.reportedBoots[boot] = true
	for fingerprint := range w.runningRequests {
		if fingerprint != 0 {
			running = append(running, fingerprint)
		}
	}
	for fingerprint := range w.trials {
		trial = &fingerprint
	}
	return running, trial
}

// probe reads the state of the endpoint and reports whether it still runs with that
// boot ID.
//
// A busy endpoint may answer its probe late. It must not be taken for crashed, as a
// service with few endpoints would have none left. A timed-out probe therefore counts
// only from the third in a row; one that is refused or cut counts at once.
func (w *worker) probe(ctx context.Context, client http.RoundTripper, now time.Time, boot string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := engine.New(w.spec.Address, &http.Client{Transport: client}).State(ctx)
	if err != nil {
		late := errors.Is(ctx.Err(), context.DeadlineExceeded) && w.timedOutProbes.Add(1) < maxTimedOutProbes
		if !late {
			w.setDown(true, err)
		}
		return late
	}
	w.timedOutProbes.Store(0)
	w.setDown(false, nil)
	w.state.Store(&observed{state: state, at: now})
	return state.Boot == boot || boot == ""
}

// isGone reports whether the endpoint provably no longer runs with that boot ID. Unlike probe, it
// does not change whether the endpoint counts as down.
func (w *worker) isGone(ctx context.Context, client http.RoundTripper, boot string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := engine.New(w.spec.Address, &http.Client{Transport: client}).State(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return boot != "" && state.Boot != boot
}

// accepts returns nil if the endpoint accepts a connection.
func (w *worker) accepts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return listening.Probe(ctx, w.spec.Address)
}

func (w *worker) setDown(down bool, err error) {
	if w.down.Swap(down) != down {
		w.log.WithField("endpoint", w.spec.ID).WithField("down", down).WithField("error", err).Warn("endpoint availability changed")
	}
}

// maxTimedOutProbes is how many consecutive probes must time out until the endpoint counts
// as down.
const maxTimedOutProbes = 3

func (w *worker) bootID() string { return w.state.Load().state.Boot }
