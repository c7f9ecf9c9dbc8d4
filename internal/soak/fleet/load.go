package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"carawayspread/internal/soak/schedule"
	"carawayspread/internal/standin/caller"
)

const (
	// readyTimeout is ample for programs that start on a busy machine.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// settleTime is how long the system may take to recover after the last fault: the
	// longest timeout of a route, and some reads of the list.
	settleTime = 6 * time.Second
	// misbehaviourTime is how much longer, after the schedule, workers carry out the
	// misbehaviour that is still pending.
	misbehaviourTime = 3 * time.Second
	// reconnectDelay is how long a caller waits that couldn't connect to its gateway.
	reconnectDelay = 50 * time.Millisecond
	// finalRequestsPerKind is how many requests of each kind each gateway gets at the end: more
	// than there are workers of a service, so that each worker gets one.
	finalRequestsPerKind = 7
	// maxResumptions bounds how often a caller takes up one stream.
	maxResumptions = 2
	// memoryPollInterval is short compared with the seconds in which memory would grow too far.
	memoryPollInterval = 500 * time.Millisecond
)

var callerKinds = []caller.Kind{caller.Safe, caller.Unsafe, caller.Stream, caller.Once}

// Run waits until all gateways serve, runs the schedule under load, and sends each gateway
// final requests after all faults have ended.
func (f *Fleet) Run(ctx context.Context, s *schedule.Schedule) error {
	if err := f.waitReady(); err != nil {
		return err
	}
	f.store.SetUnusedRoutes(s.IdleRoutes())
	f.publishRoutes()
	f.loadStart = f.clock.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for n, g := range f.gateways {
		callers.Go(func() { f.watchMemory(loadCtx, g) })
		if f.drains {
			callers.Go(func() { f.useKeptConnections(loadCtx, g, s.Seed()<<16+uint64(n)) })
		}
		if f.crowds {
			callers.Go(func() { f.sendCrowds(loadCtx, g, rand.New(rand.NewPCG(s.Seed(), uint64(n)<<32))) })
		}
		for c := range callersPerGateway {
			callers.Go(func() {
				f.sendRequests(loadCtx, g, rand.New(rand.NewPCG(s.Seed(), uint64(n*callersPerGateway+c+1))), fmt.Sprintf("%d-%s-%d", s.Seed(), g.name, c))
			})
		}
	}
	if f.harmful {
		callers.Go(func() { f.sendHarmful(loadCtx, rand.New(rand.NewPCG(s.Seed(), 0))) })
	}
	f.inject(s)
	<-f.clock.After(misbehaviourTime)
	for _, p := range f.workers {
		p.worker.ClearScript()
		p.worker.SetRefusals(0)
		p.worker.SetEventDelay(f.eventDelay)
	}
	if f.releases {
		f.endReleases()
	}
	<-f.clock.After(settleTime)
	stop()
	callers.Wait()
	f.sendFinalRequests(ctx, s.Seed())
	f.collectRequests()
	return ctx.Err()
}

// waitReady waits until each gateway serves a request.
func (f *Fleet) waitReady() error {
	for _, g := range f.gateways {
		deadline := f.clock.Now().Add(readyTimeout)
		for {
			a := caller.New(g.listen).Send(context.Background(), caller.Safe, "first-"+g.name)
			if a.Status == http.StatusOK {
				break
			}
			if f.clock.Now().After(deadline) {
				return trace.Errorf("%s does not serve: %d, %v", g.name, a.Status, a.Err)
			}
			<-f.clock.After(readyPollInterval)
		}
	}
	return nil
}

// sendRequests sends one request after the other until ctx ends. A request in flight at that
// time still gets its answer.
func (f *Fleet) sendRequests(ctx context.Context, g *gateway, rng *rand.Rand, name string) {
	c := caller.New(g.listen)
	for n := 0; ctx.Err() == nil; n++ {
		kind := callerKinds[rng.IntN(len(callerKinds))]
		a := c.SendPaced(context.WithoutCancel(ctx), kind, fmt.Sprint(name, "-", n), f.pace(rng, kind))
		f.history.RecordAnswer(g.name, a)
		if a.Kind == caller.Stream {
			f.resume(ctx, rng, a)
		}
		pause := time.Duration(rng.ExpFloat64() * float64(f.thinkTime))
		if !a.Connected() {
			pause = reconnectDelay
		}
		<-f.clock.After(pause)
	}
}

// resume takes up a stream that broke after an event, at any gateway that accepts its connection.
func (f *Fleet) resume(ctx context.Context, rng *rand.Rand, began caller.Answer) {
	tries := []caller.Answer{began}
	for n := range maxResumptions {
		last := tries[len(tries)-1]
		if last.Err == nil && last.Status == http.StatusOK || began.LastEvent() == 0 {
			return
		}
		for _, i := range rng.Perm(len(f.gateways)) {
			g := f.gateways[i]
			a := caller.New(g.listen).Resume(context.WithoutCancel(ctx), fmt.Sprint(began.ID, "-again-", n), tries)
			f.history.RecordAnswer(g.name, a)
			tries = append(tries, a)
			if a.Connected() {
				break
			}
		}
	}
}

// watchMemory records the resident memory of a gateway's process until ctx ends.
func (f *Fleet) watchMemory(ctx context.Context, g *gateway) {
	for ctx.Err() == nil {
		f.history.RecordMemory(g.name, g.program.MemoryMegabytes())
		<-f.clock.After(memoryPollInterval)
	}
}

func (f *Fleet) sendFinalRequests(ctx context.Context, seed uint64) {
	for _, g := range f.gateways {
		c := caller.New(g.listen)
		for n := range finalRequestsPerKind {
			for _, kind := range callerKinds {
				f.history.RecordFinalAnswer(g.name, c.Send(ctx, kind, fmt.Sprintf("%d-last-%s-%s-%d", seed, g.name, kind, n)))
			}
		}
	}
}
