package fleet

import (
	"errors"
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
	// restartDelay is how long a platform takes to restart a process that has exited.
	restartDelay = 300 * time.Millisecond
	// startupTime is how long a starting process may not be ready yet: the time of its first
	// reads of the store, one of which fails.
	startupTime = 2 * time.Second
	// maxMisbehaviours is for how many requests a worker misbehaves at most: enough that
	// they include requests of each kind.
	maxMisbehaviours = 60
	// starvedRun and starvedStop are how long a starved process runs and stands still, in turn: too little
	// to keep up with the messages of its peers.
	starvedRun, starvedStop = time.Millisecond, 49 * time.Millisecond
	// leaveAfter is the part of a fault after which a worker leaves.
	leaveAfter = 3
)

// smallInstanceLink is the bandwidth of a small instance, in bits per second.
const smallInstanceLink = 10e6

// rateLimits are the rates that workers report, in requests per second.
var rateLimits = []float64{0.5, 2.2, 4}

// relayFaults are the faults that steps inject into the connections to a worker.
var relayFaults = map[schedule.Kind]relay.Fault{
	schedule.Delayed: relay.Delayed, schedule.Silent: relay.Silent,
	schedule.OneWay: relay.OneWay, schedule.Refused: relay.Refused,
}

// behaviours are the ways in which workers answer wrongly or not at all.
var behaviours = []worker.Behaviour{
	worker.Refuse, worker.Bare503, worker.CloseWithoutAnswer, worker.Truncate, worker.WrongRequestID, worker.Unsealed,
	worker.Error500, worker.ExtraAnswer, worker.Hang, worker.Misdirected, worker.LostHandle, worker.SlowEvents,
	worker.Unframed, worker.UnframedShort, worker.UnframedReset, worker.NoStatus, worker.BlankInName,
	worker.AnswerAgain, worker.RefuseAgain, worker.RefuseAgainUnnamed, worker.RejectAgainUnnamed, worker.MisdirectAgain, worker.MisdirectAgainUnnamed,
}

// inject runs a schedule and returns when its last fault has ended.
func (f *Fleet) inject(s *schedule.Schedule) {
	var all sync.WaitGroup
	for _, step := range s.Steps() {
		<-f.clock.After(f.loadStart.Add(step.At).Sub(f.clock.Now()))
		all.Go(func() {
			if err := f.runStep(step); err != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.injectionErrors = append(f.injectionErrors, fmt.Errorf("%s at %v: %w", step.Kind, step.At, err))
			}
		})
	}
	all.Wait()
}

func (f *Fleet) runStep(step schedule.Step) error {
	g := f.gateways[step.Which%len(f.gateways)]
	switch step.Kind {
	case schedule.Kill:
		return f.restartGateway(g, syscall.SIGKILL)
	case schedule.KillAll:
		return f.onAll(func(g *gateway) error { return f.restartGateway(g, syscall.SIGKILL) })
	case schedule.Replace:
		return f.restartGateway(g, syscall.SIGTERM)
	case schedule.StopAgain:
		return f.stopAgain(g)
	case schedule.Pause:
		return f.pause(g, step.Duration)
	case schedule.PauseAll:
		return f.onAll(func(g *gateway) error { return f.pause(g, step.Duration) })
	case schedule.Reload:
		return g.program.Signal(syscall.SIGHUP)
	case schedule.StoreDown:
		f.runFault(history.Store, step.Duration, func() { f.store.FailWith(http.StatusServiceUnavailable) }, func() { f.store.FailWith(0) })
	case schedule.StoreSilent:
		f.runFault(history.Store, step.Duration, func() { f.storeRelay.SetFault(relay.Silent) }, func() { f.storeRelay.SetFault(relay.None) })
	case schedule.Narrow:
		f.runFault(history.Store, step.Duration, func() { f.storeRelay.LimitBandwidth(smallInstanceLink) }, func() { f.storeRelay.LimitBandwidth(0) })
	case schedule.StoreForgot:
		f.store.Compact()
	case schedule.Misbehave:
		rng, p := rand.New(rand.NewPCG(step.Random, 0)), f.pickWorker(step.Which)
		for range 1 + rng.IntN(maxMisbehaviours) {
			p.worker.AppendScript(behaviours[rng.IntN(len(behaviours))])
		}
	case schedule.Drain:
		return f.replaceWorker(step.Which)
	case schedule.LeavePaused:
		return f.leaveDuring(step, func() error { return f.pause(g, step.Duration) })
	case schedule.LeaveStarved:
		return f.leaveDuring(step, func() error { return f.starveHalf(step) })
	case schedule.LeaveCut:
		return f.leaveDuring(step, func() error { f.cutFromStore(g, step.Duration); return nil })
	case schedule.Release:
		return f.releaseWorkers(step)
	case schedule.Strand:
		return f.strand(g, step)
	case schedule.Routes:
		f.publishRoutes()
	case schedule.Restore:
		return f.restore(step.Duration)
	case schedule.Leaving:
		return f.drainUnlisted(step.Which, step.Duration)
	case schedule.Limited:
		f.limitRate(step.Which, rateLimits[step.Random%uint64(len(rateLimits))], step.Duration)
	default:
		p := f.pickWorker(step.Which)
		f.runFault(history.Target(p.worker.ID()), step.Duration, func() { p.relay.SetFault(relayFaults[step.Kind]) }, func() { p.relay.SetFault(relay.None) })
	}
	return nil
}

// runFault begins a fault, ends it after d and records it.
func (f *Fleet) runFault(target history.Target, d time.Duration, begin, end func()) {
	from := f.clock.Now()
	begin()
	<-f.clock.After(d)
	end()
	f.history.RecordFault(target, from, f.clock.Now())
}

// restartGateway stops a process by a signal and starts the next one. A request that gets no
// answer because of a SIGTERM is a finding; one lost to a SIGKILL is not.
func (f *Fleet) restartGateway(g *gateway, s syscall.Signal) error {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	from := f.clock.Now()
	if s == syscall.SIGTERM {
		f.history.RecordSignal(g.name, from)
		g.ending.Store(true)
		defer g.ending.Store(false)
	}
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
	g.ending.Store(false)
	<-f.clock.After(restartDelay)
	if err := g.program.Start(); err != nil {
		return err
	}
	<-f.clock.After(startupTime)
	if s == syscall.SIGKILL {
		f.history.RecordFault(history.Target(g.name), from, f.clock.Now())
	} else {
		f.history.RecordShutdown(g.name, ended, f.clock.Now())
	}
	return nil
}

// onAll injects a fault into all gateways at once.
func (f *Fleet) onAll(inject func(*gateway) error) error {
	var all sync.WaitGroup
	errs := make([]error, len(f.gateways))
	for n, g := range f.gateways {
		all.Go(func() { errs[n] = inject(g) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// leaveDuring replaces a worker in the middle of a fault.
func (f *Fleet) leaveDuring(step schedule.Step, fault func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- fault() }()
	<-f.clock.After(step.Duration / leaveAfter)
	err := f.replaceWorker(step.Which)
	return errors.Join(err, <-ended)
}

// starveHalf starves half of the gateways.
func (f *Fleet) starveHalf(step schedule.Step) error {
	var all sync.WaitGroup
	errs := make([]error, len(f.gateways)/2)
	for n := range errs {
		g := f.gateways[(step.Which+n)%len(f.gateways)]
		all.Go(func() { errs[n] = f.starve(g, step.Duration) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// starve gives a process a small share of the processor.
func (f *Fleet) starve(g *gateway, d time.Duration) error {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	from := f.clock.Now()
	var err error
	for end := from.Add(d); err == nil && f.clock.Now().Before(end); {
		err = g.program.Signal(syscall.SIGSTOP)
		<-f.clock.After(starvedStop)
		err = errors.Join(err, g.program.Signal(syscall.SIGCONT))
		<-f.clock.After(starvedRun)
	}
	f.history.RecordFault(history.Target(g.name), from, f.clock.Now())
	return err
}

// cutFromStore keeps what the store answers from one process.
func (f *Fleet) cutFromStore(g *gateway, d time.Duration) {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	f.runFault(history.Target(g.name), d, func() { g.store.SetFault(relay.Silent) }, func() { g.store.SetFault(relay.None) })
}

func (f *Fleet) pause(g *gateway, d time.Duration) error {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	from := f.clock.Now()
	if err := g.program.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	<-f.clock.After(d)
	err := g.program.Signal(syscall.SIGCONT)
	f.history.RecordFault(history.Target(g.name), from, f.clock.Now())
	return err
}
