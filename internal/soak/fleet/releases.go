package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"carawayspread/internal/soak/history"
	"carawayspread/internal/soak/relay"
	"carawayspread/internal/soak/schedule"
	"carawayspread/internal/standin/caller"
)

const (
	// manyEvents and quickEvents keep many events of a stream under way, and shortStreams lets one version be the
	// only one for as long as a stream lasts between two releases.
	manyEvents   = 60
	quickEvents  = 8 * time.Millisecond
	shortStreams = 1500 * time.Millisecond
	// releaseZones is the number of zones of gateways and workers.
	releaseZones = 3
	// abortShare and crashShare are the reciprocals of the share of streams whose callers break off and take them
	// up at once, and of the workers that crash in a release rather than leave.
	abortShare, crashShare = 5, 3
	// unlistAfter is how long the entry of a crashed worker stays.
	unlistAfter = time.Second
	// strandedPart is how many thirds of a release a gateway misses, and killTime is ample for killing the others.
	strandedPart = 2
	killTime     = 100 * time.Millisecond
	// ever is longer than a soak.
	ever = time.Hour
)

// WithReleases has all workers begin at one version, replaces them by ones of others, and makes streams long.
func WithReleases() Option {
	return func(f *Fleet) {
		f.releases, f.zones, f.events, f.eventDelay, f.release = true, releaseZones, manyEvents, quickEvents, 1
		f.timeouts[caller.Stream], f.timeouts[caller.Once] = shortStreams, shortStreams
		f.store.SetStreamTimeout(shortStreams)
		f.history.SetEvents(manyEvents)
	}
}

// endReleases gives streams the usual time again, so that whether a process serves does not depend on how fast the
// machine runs this one. How late an answer may be stays as it is.
func (f *Fleet) endReleases() {
	f.store.SetStreamTimeout(0)
	f.publishRoutes()
}

// pace returns how a request of that kind is sent.
func (f *Fleet) pace(rng *rand.Rand, kind caller.Kind) caller.Pace {
	if f.releases && kind == caller.Stream && rng.IntN(abortShare) == 0 {
		return caller.Pace{Events: 1 + rng.IntN(manyEvents)}
	}
	return caller.Pace{}
}

// releaseWorkers replaces all workers of models, one after the other, by ones of a newer version.
func (f *Fleet) releaseWorkers(step schedule.Step) error {
	if !f.releaseMu.TryLock() {
		return nil
	}
	defer f.releaseMu.Unlock()
	rng := rand.New(rand.NewPCG(step.Random, 0))
	f.mu.Lock()
	f.release++
	version, old := fmt.Sprint("v", f.release), slices.Clone(f.workers)
	f.mu.Unlock()
	rng.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	for _, p := range old {
		if p.service != "model" {
			continue
		}
		if err := f.succeedWorker(p, version, rng.IntN(crashShare) == 0); err != nil {
			return err
		}
		<-f.clock.After(step.Duration / (prefillWorkers + decodeWorkers))
	}
	return nil
}

// succeedWorker replaces a worker that crashes, or leaves, by one of that version. The successor of one that crashes
// has its address.
func (f *Fleet) succeedWorker(p *listedWorker, version string, crashes bool) error {
	f.mu.Lock()
	i := slices.Index(f.workers, p)
	if i < 0 {
		f.mu.Unlock()
		return nil // another step has drained it
	}
	f.workers = slices.Delete(slices.Clone(f.workers), i, i+1)
	now, id := f.clock.Now(), p.worker.ID()
	var address *relay.Relay
	var err error
	unlist := unlistAfter
	if crashes {
		address = p.relay
		p.worker.Close()
		f.history.RecordFault(history.Target(id), now, now.Add(ever))
	} else {
		unlist = drainBound + tolerance
		f.history.RecordDraining(id, now)
		err = f.publishWorker(p, "draining")
	}
	f.mu.Unlock()
	go func() {
		<-f.clock.After(unlist)
		if !crashes {
			f.history.RecordFault(history.Target(id), f.clock.Now(), now.Add(ever))
			p.worker.Close()
		}
		f.store.Remove("servers", id)
	}()
	return errors.Join(err, f.addWorkerAt(address, p.service, p.role, version))
}

// strand has one gateway stand still, with no answers of the store, while a release begins, and go on once all others
// have been killed.
func (f *Fleet) strand(g *gateway, step schedule.Step) error {
	var all sync.WaitGroup
	errs := make([]error, 3)
	all.Go(func() { errs[0] = f.releaseWorkers(step) })
	g.store.SetFault(relay.Silent)
	still := step.Duration * strandedPart / 3
	all.Go(func() {
		errs[1] = f.pause(g, still+killTime)
		f.runFault(history.Target(g.name), unlistAfter, func() {}, func() { g.store.SetFault(relay.None) })
	})
	<-f.clock.After(still)
	errs[2] = f.onAll(func(other *gateway) error {
		if other == g {
			return nil
		}
		return f.restartGateway(other, syscall.SIGKILL)
	})
	all.Wait()
	return errors.Join(errs...)
}
