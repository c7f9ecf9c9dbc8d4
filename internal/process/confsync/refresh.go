package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

// round is one attempt to confirm that the held configuration is current.
type round struct {
	done chan struct{} // closed when the attempt has ended
}

// Run polls until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		s.refresh(ctx)
		s.awaitPoll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// awaitPoll waits until the next poll is due or an announced version requires one.
func (s *Syncer) awaitPoll(ctx context.Context) {
	due := s.clock.After(jitter(s.poll))
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-s.wake:
		}
		// All daemons learn of a change in the same second; the jitter keeps their reads from
		// arriving at the table at once.
		s.sleep(ctx, time.Duration(rand.Int64N(int64(s.readJitter)+1)))
		if s.needsRead(s.announced.Load()) {
			return
		}
	}
}

// needsRead reports whether an announced version is newer than the held one and not covered by a
// read of the log.
func (s *Syncer) needsRead(version uint64) bool {
	return version > uint64(s.Held().Version()) && version > s.coveredVersion.Load()
}

// jitter randomizes d by up to a quarter in both directions, so that daemons started together do
// not read the log together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// ObserveVersion records that another daemon holds a version, and wakes Run if it is newer than the
// held one. A version that a read of the log does not confirm wakes it only once.
func (s *Syncer) ObserveVersion(version carawayspread.Version) {
	if !s.needsRead(uint64(version)) {
		return
	}
	storeMax(&s.announced, uint64(version))
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func storeMax(n *atomic.Uint64, v uint64) {
	for old := n.Load(); old < v; old = n.Load() {
		if n.CompareAndSwap(old, v) {
			return
		}
	}
}

// refresh joins the running round, or starts one, and waits until it or the context ends.
func (s *Syncer) refresh(ctx context.Context) {
	s.mu.Lock()
	current := s.round
	if current == nil {
		current = &round{done: make(chan struct{})}
		s.round = current
		go s.runRound(context.WithoutCancel(ctx), current)
	}
	s.mu.Unlock()
	select {
	case <-current.done:
	case <-ctx.Done():
	}
}

// runRound reads the log, and queries the peers if the log fails or is slow. Each response is
// accepted as it arrives; the round ends with the first confirmation.
func (s *Syncer) runRound(ctx context.Context, r *round) {
	ctx, cancel := context.WithTimeout(ctx, s.roundTimeout)
	defer cancel()
	began := stamp{at: s.clock.Now()}
	announced := s.announced.Load()
	read := make(chan bool, 1)
	go func() { read <- s.readLog(ctx, began) }()

	if s.awaitLog(read) {
		storeMax(&s.coveredVersion, announced)
		s.finish(r, began)
		return
	}
	finished := make(chan struct{})
	var queries sync.WaitGroup
	queries.Go(func() {
		if <-read {
			cancel()
		}
	})
	queries.Go(func() { s.queryPeers(ctx, began, cancel) })
	go func() {
		queries.Wait()
		close(finished)
	}()
	<-finished
	s.finish(r, began)
}

// awaitLog waits for the read of the log for at most the hedge delay, and reports whether it
// succeeded. A failed read is put back into the channel.
func (s *Syncer) awaitLog(read chan bool) bool {
	select {
	case ok := <-read:
		if !ok {
			read <- false
		}
		return ok
	case <-s.clock.After(s.hedge):
		return false
	}
}

func (s *Syncer) finish(r *round, began stamp) {
	s.mu.Lock()
	s.round = nil
	s.mu.Unlock()
	s.lastAttempt.Store(&began)
	close(r.done)
}

// readLog reports whether the log could be read. The confirmation is dated by the moment before the
// read, so that a pause after it counts towards its age.
func (s *Syncer) readLog(ctx context.Context, began stamp) bool {
	cfg, records, err := s.source.CatchUp(ctx, s.Held())
	if err != nil {
		s.accept(cfg, records, stamp{})
		s.logger.WithError(err).Warn("config.logUnread")
		return false
	}
	s.accept(cfg, records, began)
	return true
}
