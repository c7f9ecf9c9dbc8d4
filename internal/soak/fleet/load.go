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
	// readyWithin is ample for programs that start on a busy machine.
	readyWithin = 10 * time.Second
	readyPoll   = 50 * time.Millisecond
	// calm is the time after the last fault in which everything may come to rest:
	// the longest timeout of a route, and some reads of the list.
	calm = 6 * time.Second
	// mischief is how much longer workers misbehave where they still have to.
	mischief = 3 * time.Second
	// refusedPause is what a caller waits that found nobody at its gateway.
	refusedPause = 50 * time.Millisecond
	// lastAsked is how often each gateway is asked for each kind at the end: more
	// often than it has workers of a service, so that each of them is met.
	lastAsked = 5
	// memoryPoll is short against the seconds in which memory would grow too far.
	memoryPoll = 500 * time.Millisecond
)

var kinds = []caller.Kind{caller.Safe, caller.Unsafe, caller.Stream}

// Run waits until all gateways serve, plays the schedule under load, and asks each
// gateway once more after all faults have ended.
func (f *Fleet) Run(ctx context.Context, s *schedule.Schedule) error {
	if err := f.ready(); err != nil {
		return err
	}
	f.store.SetUnusedRoutes(s.IdleRoutes())
	f.routes()
	f.begun = f.clock.Now()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for n, g := range f.gateways {
		callers.Go(func() { f.watch(asking, g) })
		for c := range callersEach {
			callers.Go(func() {
				f.ask(asking, g, rand.New(rand.NewPCG(s.Seed(), uint64(n*callersEach+c+1))), fmt.Sprintf("%d-%s-%d", s.Seed(), g.name, c))
			})
		}
	}
	f.inject(s)
	<-f.clock.After(mischief)
	for _, p := range f.workers {
		p.worker.ClearScript()
	}
	<-f.clock.After(calm)
	stop()
	callers.Wait()
	f.last(ctx, s.Seed())
	f.collect()
	return ctx.Err()
}

// ready waits until each gateway says that it serves.
func (f *Fleet) ready() error {
	for _, g := range f.gateways {
		end := f.clock.Now().Add(readyWithin)
		for {
			a := caller.New(g.listen).Send(context.Background(), caller.Safe, "first-"+g.name)
			if a.Status == http.StatusOK {
				break
			}
			if f.clock.Now().After(end) {
				return trace.Errorf("%s does not serve: %d, %v", g.name, a.Status, a.Err)
			}
			<-f.clock.After(readyPoll)
		}
	}
	return nil
}

// ask sends one request after the other. The one under way when ctx ends gets its answer.
func (f *Fleet) ask(ctx context.Context, g *gateway, draw *rand.Rand, name string) {
	c := caller.New(g.listen)
	for n := 0; ctx.Err() == nil; n++ {
		a := c.Send(context.WithoutCancel(ctx), kinds[draw.IntN(len(kinds))], fmt.Sprint(name, "-", n))
		f.history.Answered(g.name, a)
		pause := time.Duration(draw.ExpFloat64() * float64(thinking))
		if !a.Connected() {
			pause = refusedPause
		}
		<-f.clock.After(pause)
	}
}

// watch notes what a gateway's process occupies.
func (f *Fleet) watch(ctx context.Context, g *gateway) {
	for ctx.Err() == nil {
		f.history.Occupied(g.name, g.program.Megabytes())
		<-f.clock.After(memoryPoll)
	}
}

func (f *Fleet) last(ctx context.Context, seed uint64) {
	for _, g := range f.gateways {
		c := caller.New(g.listen)
		for n := range lastAsked {
			for _, kind := range kinds {
				f.history.Recovered(g.name, c.Send(ctx, kind, fmt.Sprintf("%d-last-%s-%s-%d", seed, g.name, kind, n)))
			}
		}
	}
}
