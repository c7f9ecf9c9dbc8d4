package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
)

// round is one attempt to prove the configuration current.
type round struct {
	done chan struct{} // closed when the attempt has ended
}

// Run polls until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		s.refresh(ctx)
		s.awaitTurn(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// awaitTurn waits until the next poll is due or a version heard of calls for one.
func (s *Syncer) awaitTurn(ctx context.Context) {
	due := s.clock.After(jitter(s.poll))
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-s.nudge:
		}
		// Every daemon hears of a change in the same second; the spread keeps
		// their reads from arriving at the table at once.
		s.pause(ctx, time.Duration(rand.Int64N(int64(s.spread)+1)))
		if s.wanting(s.heard.Load()) {
			return
		}
	}
}

// wanting reports whether a version heard of is newer than the held one and not
// settled by a read of the log.
func (s *Syncer) wanting(version uint64) bool {
	return version > uint64(s.Held().Version()) && version > s.tried.Load()
}

// jitter spreads d by a quarter to both sides, so that daemons started together
// do not read the log together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

func (s *Syncer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// ObserveVersion tells that another daemon holds a version, and wakes Run where it is
// newer. A version that the log has not confirmed wakes it once only.
func (s *Syncer) ObserveVersion(version carawayspread.Version) {
	if !s.wanting(uint64(version)) {
		return
	}
	raise(&s.heard, uint64(version))
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

func raise(n *atomic.Uint64, v uint64) {
	for old := n.Load(); old < v; old = n.Load() {
		if n.CompareAndSwap(old, v) {
			return
		}
	}
}

// refresh joins the round in flight, or starts one, and waits for its end or
// for that of the context.
func (s *Syncer) refresh(ctx context.Context) {
	s.mu.Lock()
	current := s.round
	if current == nil {
		current = &round{done: make(chan struct{})}
		s.round = current
		go s.perform(context.WithoutCancel(ctx), current)
	}
	s.mu.Unlock()
	select {
	case <-current.done:
	case <-ctx.Done():
	}
}

// perform asks the log, and the peers where the log fails or is slow. Whichever
// answers is accepted at once; the round ends with the first proof.
func (s *Syncer) perform(ctx context.Context, r *round) {
	ctx, cancel := context.WithTimeout(ctx, s.roundTimeout)
	defer cancel()
	began := stamp{at: s.clock.Now()}
	heard := s.heard.Load()
	read := make(chan bool, 1)
	go func() { read <- s.readLog(ctx, began) }()

	if s.logAnswers(read) {
		raise(&s.tried, heard)
		s.finish(r, began)
		return
	}
	proved := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() {
		if <-read {
			cancel()
		}
	})
	asking.Go(func() { s.askPeers(ctx, began, cancel) })
	go func() {
		asking.Wait()
		close(proved)
	}()
	<-proved
	s.finish(r, began)
}

// logAnswers waits for the log as long as peers need not be asked.
func (s *Syncer) logAnswers(read chan bool) bool {
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
	s.attempted.Store(&began)
	close(r.done)
}

// readLog reports whether the log answered. The proof is dated by the moment
// before the read: a pause after it makes the proof as old as it is.
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
