package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/soak/history"
	"carawayspread/internal/soak/relay"
	"carawayspread/internal/soak/schedule"
	"carawayspread/internal/standin/worker"
)

const (
	// restart is how long a platform takes to start a process that has ended.
	restart = 300 * time.Millisecond
	// started is how long a process that starts may not be ready yet: its first
	// reads of the store, with one that fails.
	started = 2 * time.Second
	// mostMisbehaved is for how many requests a worker misbehaves at most: enough
	// that some of them are of each kind.
	mostMisbehaved = 60
)

// narrow is the link of a small instance, in bits a second.
const narrow = 10e6

// rates are those that workers name, in requests a second.
var rates = []float64{0.5, 2.2, 4}

// faults are what the steps do to the way to a worker.
var faults = map[schedule.Kind]relay.Fault{
	schedule.Delayed: relay.Delayed, schedule.Silent: relay.Silent,
	schedule.OneWay: relay.OneWay, schedule.Refused: relay.Refused,
}

// behaviours are those in which workers do not answer as they should.
var behaviours = []worker.Behaviour{
	worker.Refuse, worker.Bare503, worker.CloseWithoutAnswer, worker.Truncate, worker.WrongRequestID, worker.Unsealed,
	worker.Error500, worker.ExtraAnswer, worker.Hang, worker.Misdirected, worker.LostHandle, worker.SlowEvents,
}

// inject carries out a schedule and returns when its last fault has ended.
func (f *Fleet) inject(s *schedule.Schedule) {
	var all sync.WaitGroup
	for _, step := range s.Steps() {
		<-f.clock.After(f.begun.Add(step.At).Sub(f.clock.Now()))
		all.Go(func() {
			if err := f.step(step); err != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.failed = append(f.failed, fmt.Errorf("%s at %v: %w", step.Kind, step.At, err))
			}
		})
	}
	all.Wait()
}

func (f *Fleet) step(step schedule.Step) error {
	g := f.gateways[step.Which%len(f.gateways)]
	switch step.Kind {
	case schedule.Kill:
		return f.end(g, syscall.SIGKILL)
	case schedule.KillAll:
		return f.endAll()
	case schedule.Replace:
		return f.end(g, syscall.SIGTERM)
	case schedule.Pause:
		return f.pause(g, step.For)
	case schedule.Reload:
		return g.program.Signal(syscall.SIGHUP)
	case schedule.StoreDown:
		f.hurt(history.Store, step.For, func() { f.store.FailWith(http.StatusServiceUnavailable) }, func() { f.store.FailWith(0) })
	case schedule.StoreSilent:
		f.hurt(history.Store, step.For, func() { f.storeBy.Set(relay.Silent) }, func() { f.storeBy.Set(relay.None) })
	case schedule.Narrow:
		f.hurt(history.Store, step.For, func() { f.storeBy.Narrow(narrow) }, func() { f.storeBy.Narrow(0) })
	case schedule.StoreForgot:
		f.store.Compact()
	case schedule.Misbehave:
		draw, p := rand.New(rand.NewPCG(step.Draw, 0)), f.pick(step.Which)
		for range 1 + draw.IntN(mostMisbehaved) {
			p.worker.AppendScript(behaviours[draw.IntN(len(behaviours))])
		}
	case schedule.Drain:
		return f.leave(step.Which)
	case schedule.Routes:
		f.routes()
	case schedule.Restore:
		return f.restore(step.For)
	case schedule.Leaving:
		return f.leaveUnlisted(step.Which, step.For)
	case schedule.Limited:
		f.limit(step.Which, rates[step.Draw%uint64(len(rates))], step.For)
	default:
		p := f.pick(step.Which)
		f.hurt(history.Hurt(p.worker.ID()), step.For, func() { p.by.Set(faults[step.Kind]) }, func() { p.by.Set(relay.None) })
	}
	return nil
}

// hurt lets a fault last and records it.
func (f *Fleet) hurt(what history.Hurt, d time.Duration, begin, end func()) {
	from := f.clock.Now()
	begin()
	<-f.clock.After(d)
	end()
	f.history.Hurt(what, from, f.clock.Now())
}

// end ends a process by a signal and starts the next one. What an order to end
// leaves without an answer is a finding; what a kill does is not.
func (f *Fleet) end(g *gateway, s syscall.Signal) error {
	g.busy.Lock()
	defer g.busy.Unlock()
	from := f.clock.Now()
	if err := g.program.Signal(s); err != nil {
		return err
	}
	select {
	case <-g.program.Ended():
	case <-f.clock.After(grace):
		_ = g.program.Signal(syscall.SIGKILL)
		<-g.program.Ended()
		return fmt.Errorf("%s had not ended after %v", g.name, grace)
	}
	ended := f.clock.Now()
	<-f.clock.After(restart)
	if err := g.program.Start(); err != nil {
		return err
	}
	<-f.clock.After(started)
	if s == syscall.SIGKILL {
		f.history.Hurt(history.Hurt(g.name), from, f.clock.Now())
	} else {
		f.history.Ended(g.name, ended, f.clock.Now())
	}
	return nil
}

func (f *Fleet) endAll() error {
	var all sync.WaitGroup
	failed := make([]error, len(f.gateways))
	for n, g := range f.gateways {
		all.Go(func() { failed[n] = f.end(g, syscall.SIGKILL) })
	}
	all.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) pause(g *gateway, d time.Duration) error {
	g.busy.Lock()
	defer g.busy.Unlock()
	from := f.clock.Now()
	if err := g.program.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	<-f.clock.After(d)
	err := g.program.Signal(syscall.SIGCONT)
	f.history.Hurt(history.Hurt(g.name), from, f.clock.Now())
	return err
}
