package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/standin/caller"
)

const (
	// keptCallers is how many callers of each gateway hold a connection open while it ends.
	keptCallers = 16
	// sparseThinkTime leaves most of the load to them.
	sparseThinkTime = 400 * time.Millisecond
	// maxIdle, maxBody and maxLeft bound the time in which a kept connection is idle, in which a body is sent, and for
	// which its caller waits: each more than is left in some part of a drain.
	maxIdle = 7 * time.Second
	maxBody = 3500 * time.Millisecond
	maxLeft = 9 * time.Second
	// longStreams is the timeout of streams, longer than the grace period, and slowEventDelay makes one last seconds.
	longStreams    = 9 * time.Second
	slowEventDelay = 900 * time.Millisecond
)

// Drains has callers keep connections open until their process is gone, and send requests that come slowly, end late
// or have little time over them. It must be called before Run.
func (f *Fleet) Drains() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains, f.thinkTime = true, sparseThinkTime
	f.timeouts[caller.Stream], f.timeouts[caller.Once] = longStreams, longStreams
	f.store.SetStreamTimeout(longStreams)
	for n, p := range f.workers {
		if n%2 == 0 {
			p.worker.SetEventDelay(slowEventDelay)
		}
	}
}

// useKeptConnections sends requests over connections that were open before, until ctx ends.
func (f *Fleet) useKeptConnections(ctx context.Context, g *gateway, seed uint64) {
	var all sync.WaitGroup
	for n := range keptCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				c, name := caller.New(g.listen), fmt.Sprintf("%d-%s-kept-%d-%d", seed, g.name, n, i)
				if opened := c.Send(ctx, caller.Safe, name+"-open"); opened.Status != http.StatusOK {
					<-f.clock.After(reconnectDelay)
					continue
				}
				<-f.clock.After(time.Duration(rng.Float64() * float64(maxIdle)))
				pace := caller.Pace{}
				if rng.IntN(2) == 0 {
					pace.Body = time.Duration(rng.Float64() * float64(maxBody))
				}
				if rng.IntN(3) > 0 {
					pace.Left = time.Duration(rng.Float64() * float64(maxLeft)).Truncate(time.Millisecond)
				}
				f.history.RecordKeptAnswer(g.name, c.SendPaced(context.WithoutCancel(ctx), callerKinds[rng.IntN(len(callerKinds))], name, pace))
			}
		})
	}
	all.Wait()
}

// stopAgain sends a gateway a further order to end, whether or not it is ending.
func (f *Fleet) stopAgain(g *gateway) error {
	if !g.ending.Load() {
		return f.restartGateway(g, syscall.SIGTERM)
	}
	return g.program.Signal(syscall.SIGTERM)
}
