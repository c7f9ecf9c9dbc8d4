package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carawayspread/internal/soak/history"

	"carawayspread/internal/soak/relay"
	"carawayspread/internal/standin/rows"
	"carawayspread/internal/standin/worker"
)

// publishRoutes publishes a newer version of the routes.
func (f *Fleet) publishRoutes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Publish(f.version, "model")
}

// addWorker starts a worker and lists it as ready.
func (f *Fleet) addWorker(service, role, version string) error {
	return f.addWorkerAt(nil, service, role, version)
}

// addWorkerAt is addWorker at the address of an earlier one, if workerRelay is not nil.
func (f *Fleet) addWorkerAt(workerRelay *relay.Relay, service, role, version string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	w, err := worker.New(fmt.Sprint("w-", f.seq))
	if err != nil {
		return err
	}
	if workerRelay == nil {
		if workerRelay, err = relay.New(w.Address(), f.clock); err != nil {
			return err
		}
	}
	workerRelay.SetTarget(w.Address())
	w.ListenedAt(workerRelay.Address())
	w.SetVersion(version)
	w.SetEventDelay(f.eventDelay)
	w.SetEvents(f.events)
	w.SetRefusals(f.refusals)
	p := &listedWorker{worker: w, relay: workerRelay, service: service, role: role, version: version, zone: f.zone(f.seq)}
	if f.harmful {
		f.crashOnHarmful(p)
	}
	if role == "decode" {
		f.history.RecordStreamer(w.ID(), version, f.clock.Now())
	}
	f.workers, f.allWorkers = append(f.workers, p), append(f.allWorkers, p)
	return f.publishWorker(p, "ready")
}

// publishWorker writes the list entry of a worker to the store.
func (f *Fleet) publishWorker(p *listedWorker, state string) error {
	f.seq++
	return f.store.PutServer(p.worker.ID(), rows.Server{
		Service: p.service, Address: p.relay.Address(), Zone: p.zone, Slots: 8, State: state, Stage: p.role, Seq: f.seq, Version: p.version,
	})
}

// replaceWorker lists a worker as draining and adds another one in its place.
func (f *Fleet) replaceWorker(which int) (err error) {
	f.mu.Lock()
	i := which % len(f.workers)
	p := f.workers[i]
	f.workers = append(f.workers[:i:i], f.workers[i+1:]...)
	f.history.RecordDraining(p.worker.ID(), f.clock.Now())
	err = f.publishWorker(p, "draining")
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return f.addWorker(p.service, p.role, p.version)
}

// pickWorker returns one of the workers that aren't listed as draining.
func (f *Fleet) pickWorker(which int) *listedWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[which%len(f.workers)]
}

// drainUnlisted lets a worker report in its answers that it is draining, and lists it as
// draining only after d.
func (f *Fleet) drainUnlisted(which int, d time.Duration) error {
	p := f.pickWorker(which)
	p.worker.SetHeader("Server-Leaving", "1")
	<-f.clock.After(d)
	f.mu.Lock()
	i := slices.Index(f.workers, p)
	f.mu.Unlock()
	if i < 0 {
		return nil // another step has drained it
	}
	return f.replaceWorker(i)
}

// limitRate lets a worker report a rate limit in its answers for a while.
func (f *Fleet) limitRate(which int, rate float64, d time.Duration) {
	p := f.pickWorker(which)
	if !p.rateLimited.CompareAndSwap(false, true) {
		return // it reports another rate already
	}
	defer p.rateLimited.Store(false)
	from := f.clock.Now()
	p.worker.SetHeader("Server-Limit", strconv.FormatFloat(rate, 'g', -1, 64))
	<-f.clock.After(d)
	f.history.RecordRateLimit(p.worker.ID(), rate, from, f.clock.Now())
	p.worker.SetHeader("Server-Limit", "")
}

const (
	// storeOutage is how long the store is down before it is restored from a copy, and
	// rewriteDelay how long after that the lost entries are written again.
	storeOutage  = 300 * time.Millisecond
	rewriteDelay = 500 * time.Millisecond
)

// restore restores the store from an older copy, so that it loses what was written in the
// given time. The operator and the running workers then write their entries again.
func (f *Fleet) restore(lost time.Duration) error {
	from := f.clock.Now()
	older := f.store.Copy()
	<-f.clock.After(lost)
	f.store.FailWith(http.StatusServiceUnavailable)
	<-f.clock.After(storeOutage)
	f.store.Restore(older)
	f.store.FailWith(0)
	<-f.clock.After(rewriteDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Publish(f.version, "model")
	for _, p := range f.allWorkers {
		state := "draining"
		if slices.Contains(f.workers, p) {
			state = "ready"
		}
		if err := f.publishWorker(p, state); err != nil {
			return err
		}
	}
	f.history.RecordFault(history.Store, from, f.clock.Now())
	return nil
}
