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

// routes publishes a newer version of the routes.
func (f *Fleet) routes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Publish(f.version, "model")
}

// come starts a worker and lists it.
func (f *Fleet) come(service, role string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	w, err := worker.New(fmt.Sprint("w-", f.seq))
	if err != nil {
		return err
	}
	by, err := relay.New(w.Address(), f.clock)
	if err != nil {
		return err
	}
	p := &listed{worker: w, by: by, service: service, role: role}
	f.workers, f.all = append(f.workers, p), append(f.all, p)
	return f.list(p, "ready")
}

// list publishes the entry of a worker.
func (f *Fleet) list(p *listed, state string) error {
	f.seq++
	return f.store.PutServer(p.worker.ID(), rows.Server{
		Service: p.service, Address: p.by.Address(), Zone: "z", Slots: 8, State: state, Stage: p.role, Seq: f.seq,
	})
}

// leave has a worker say that it leaves, and another come in its place.
func (f *Fleet) leave(which int) (err error) {
	f.mu.Lock()
	i := which % len(f.workers)
	p := f.workers[i]
	f.workers = append(f.workers[:i:i], f.workers[i+1:]...)
	f.history.Left(p.worker.ID(), f.clock.Now())
	err = f.list(p, "draining")
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return f.come(p.service, p.role)
}

// pick returns one of the workers that serve.
func (f *Fleet) pick(which int) *listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[which%len(f.workers)]
}

// leaveUnlisted has a worker say in its answers that it leaves, a while before the list
// says so.
func (f *Fleet) leaveUnlisted(which int, d time.Duration) error {
	p := f.pick(which)
	p.worker.SetHeader("Server-Leaving", "1")
	<-f.clock.After(d)
	f.mu.Lock()
	i := slices.Index(f.workers, p)
	f.mu.Unlock()
	if i < 0 {
		return nil // it has left by another step
	}
	return f.leave(i)
}

// limit has a worker name a rate in its answers for a while.
func (f *Fleet) limit(which int, rate float64, d time.Duration) {
	p := f.pick(which)
	if !p.limited.CompareAndSwap(false, true) {
		return // it names another rate already
	}
	defer p.limited.Store(false)
	from := f.clock.Now()
	p.worker.SetHeader("Server-Limit", strconv.FormatFloat(rate, 'g', -1, 64))
	<-f.clock.After(d)
	f.history.Limited(p.worker.ID(), rate, from, f.clock.Now())
	p.worker.SetHeader("Server-Limit", "")
}

const (
	// away is how long the store is away before it comes back from a copy, and rewritten
	// how long after that what was lost is written again.
	away      = 300 * time.Millisecond
	rewritten = 500 * time.Millisecond
)

// restore has the store lose what was written in a while, as it comes back from a copy.
// The operator and the workers that live write again what they had written.
func (f *Fleet) restore(lost time.Duration) error {
	from := f.clock.Now()
	older := f.store.Copy()
	<-f.clock.After(lost)
	f.store.FailWith(http.StatusServiceUnavailable)
	<-f.clock.After(away)
	f.store.Restore(older)
	f.store.FailWith(0)
	<-f.clock.After(rewritten)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Publish(f.version, "model")
	for _, p := range f.all {
		state := "draining"
		if slices.Contains(f.workers, p) {
			state = "ready"
		}
		if err := f.list(p, state); err != nil {
			return err
		}
	}
	f.history.Hurt(history.Store, from, f.clock.Now())
	return nil
}
