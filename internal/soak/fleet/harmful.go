package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawayspread/internal/soak/history"
	"carawayspread/internal/standin/caller"
	"carawayspread/internal/standin/worker"
)

const (
	// harmfulInterval is the mean time between two copies of a harmful request.
	harmfulInterval = 300 * time.Millisecond
	// workerRestart is how long a crashed worker takes to come back, under another identifier. Its own is gone
	// for good, which is longer than any soak.
	workerRestart = 1500 * time.Millisecond
	forGood       = time.Hour
)

// harmfulPartEvery is one of how many copies of the harmful requests is followed by a request of its own that
// shares a harmful part with others.
const harmfulPartEvery = 2

// harmfulKinds are the routes to which the harmful request is sent.
var harmfulKinds = []caller.Kind{caller.Unsafe, caller.Stream}

// Harmful makes a caller send requests that crash each worker which runs them, through all gateways
// in turn. It must be called before Run.
func (f *Fleet) Harmful() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.harmful = true
	for _, p := range f.workers {
		f.crashOnHarmful(p)
	}
}

// sendHarmful sends copies of the harmful requests until ctx ends.
func (f *Fleet) sendHarmful(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		g := f.gateways[rng.IntN(len(f.gateways))]
		if n%harmfulPartEvery == 0 {
			f.history.RecordAnswer(g.name, caller.New(g.listen).SendPart(context.WithoutCancel(ctx), fmt.Sprint("part-", n), worker.HarmfulPart))
		}
		kind := harmfulKinds[rng.IntN(len(harmfulKinds))]
		f.history.RecordAnswer(g.name, caller.New(g.listen).SendBody(context.WithoutCancel(ctx), kind, fmt.Sprint("harmful-", n), worker.HarmfulBody))
		<-f.clock.After(time.Duration(rng.ExpFloat64() * float64(harmfulInterval)))
	}
}

// crashOnHarmful makes harmful requests crash the worker, which comes back under another identifier.
// Its address refuses connections before any of its connections breaks.
func (f *Fleet) crashOnHarmful(p *listedWorker) {
	p.worker.CrashOnPart(worker.HarmfulPart, func() {
		f.history.RecordFault(history.Target(p.worker.ID()), f.clock.Now(), f.clock.Now().Add(forGood))
		p.relay.Close()
		go func() {
			<-f.clock.After(workerRestart)
			f.mu.Lock()
			i := slices.Index(f.workers, p)
			if i >= 0 {
				f.workers = slices.Delete(f.workers, i, i+1)
			}
			f.store.Remove("servers", p.worker.ID())
			f.mu.Unlock()
			if i < 0 {
				return // it was leaving
			}
			if err := f.addWorker(p.service, p.role, p.version); err != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.injectionErrors = append(f.injectionErrors, err)
			}
		}()
	})
}
