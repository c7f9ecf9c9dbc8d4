package confsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/version/record"
	"carawayspread/internal/version/snapshot"
)

// askedPeers are asked at once: the nearest and two others at random. The
// nearest ones may all be cut off, or have started a moment ago, and know
// nothing; without the random ones a daemon would ask the same in every round.
const askedPeers = 3

func (s *Syncer) chosenPeers() []string {
	peers := slices.Clone(s.peers())
	if len(peers) <= askedPeers {
		return peers
	}
	others := peers[1:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return peers[:askedPeers]
}

// Bounds of a peer's answer, which may be a snapshot of any size.
const (
	connectTime = 500 * time.Millisecond
	silence     = time.Second
	wholeTime   = 15 * time.Second
	answerLimit = 64 << 20 // bytes, also unpacked
	// askAgain is the time between two questions while the peer prepares its answer.
	askAgain = 50 * time.Millisecond
)

// askPeers asks peers and ends the round with the first proof that is fresh. An answer
// that is still arriving when the round ends without one goes on: begun anew in each
// round, a large one would never be there.
func (s *Syncer) askPeers(ctx context.Context, began stamp, enough context.CancelFunc) {
	var asking sync.WaitGroup
	for _, address := range s.chosenPeers() {
		if _, asked := s.asking.LoadOrStore(address, nil); asked {
			continue
		}
		asking.Go(func() {
			defer s.asking.Delete(address)
			arriving, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			defer context.AfterFunc(ctx, func() {
				if errors.Is(ctx.Err(), context.Canceled) { // the round has its proof
					stop()
				}
			})()
			if err := s.askPeer(arriving, address, began); err != nil {
				s.logger.WithField("peer", address).WithError(err).Warn("config.peerUnread")
				return
			}
			if s.state.Load().proved.within(s.clock.Now(), s.freshFor) {
				enough()
			}
		})
	}
	answered := make(chan struct{})
	go func() {
		asking.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			<-answered // they end at once, and the next round may ask them again
		}
	}
}

// askPeer asks one peer, again while the peer prepares its answer.
func (s *Syncer) askPeer(ctx context.Context, address string, began stamp) error {
	ctx, cancel := context.WithTimeout(ctx, wholeTime)
	defer cancel()
	peer := s.dial(address)
	for {
		held := s.Held()
		request := &control.ChangesRequest{After: uint64(held.Version()), Instance: s.instance, Packs: true}
		answer, err := peer.Changes(ctx, request)
		if err != nil {
			return trace.Wrap(err)
		}
		if !answer.GetPreparing() {
			return s.take(held, answer, began)
		}
		s.pause(ctx, askAgain)
	}
}

// take accepts a peer's answer. The evidence is the peer's, as old as the peer
// says by the moment before it was asked. It speaks of the peer's version: an
// answer that does not lead there, through a gap, proves nothing.
func (s *Syncer) take(cfg *carawayspread.Config, answer *control.ChangesResponse, began stamp) error {
	whole, err := wholeOf(answer)
	if err != nil {
		return err
	}
	if whole != nil && whole.Version() > cfg.Version() {
		cfg = whole
	}
	var records []record.Record
	for _, change := range answer.GetChanges() {
		r, err := record.Decode(change.GetBody())
		if err != nil {
			return err
		}
		if r.Version <= cfg.Version() {
			continue
		}
		if cfg, err = r.Apply(cfg); err != nil {
			return err
		}
		records = append(records, r)
	}
	if cfg.Version() < carawayspread.Version(answer.GetVersion()) {
		return trace.CompareFailed("peer holds version %d, its answer leads to %d", answer.GetVersion(), cfg.Version())
	}
	age := time.Duration(answer.GetEvidenceAgeMs()) * time.Millisecond
	s.accept(cfg, records, stamp{at: began.at.Add(-age)})
	return nil
}

// wholeOf returns the whole configuration that an answer holds; nil for none.
func wholeOf(answer *control.ChangesResponse) (*carawayspread.Config, error) {
	switch {
	case len(answer.GetPackedSnapshot()) > 0:
		return unpackWhole(answer.GetPackedSnapshot())
	case len(answer.GetSnapshot()) > 0:
		return snapshot.Decode(answer.GetSnapshot())
	}
	return nil, nil
}

// Changes answers a peer: the records after its version, or a snapshot where
// they are no longer held. It implements that method of control.Control.
func (s *Syncer) Changes(ctx context.Context, request *control.ChangesRequest) (*control.ChangesResponse, error) {
	s.ObserveVersion(carawayspread.Version(request.GetAfter()))
	held, records, known := s.since(carawayspread.Version(request.GetAfter()))
	if held.proved.zero() {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration is known here")
	}
	switch {
	case known:
		return s.answer(held, records)
	case request.GetPacks():
		return s.answerPacked(ctx)
	}
	answer, err := s.answer(held, nil)
	if err == nil {
		answer.Snapshot, err = snapshot.Encode(held.cfg)
	}
	return answer, trace.Wrap(err)
}

// answer returns what is held, with the records that lead to it.
func (s *Syncer) answer(held *state, records []record.Record) (*control.ChangesResponse, error) {
	answer := &control.ChangesResponse{
		Version:       uint64(held.cfg.Version()),
		EvidenceAgeMs: uint64(held.proved.age(s.clock.Now()).Milliseconds()) + 1, // rounded up
	}
	for _, r := range records {
		body, err := r.Encode()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		answer.Changes = append(answer.Changes, &control.Change{Version: uint64(r.Version), Body: body})
	}
	return answer, nil
}

// since returns the state with the records after a version; known is false
// where some of them are no longer held.
func (s *Syncer) since(after carawayspread.Version) (held *state, records []record.Record, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = s.state.Load()
	records, known = s.recordsAfter(after, held.cfg.Version())
	return held, records, known
}

// recordsAfter returns the records that lead from one version to the held one. Its
// caller holds mu.
func (s *Syncer) recordsAfter(after, held carawayspread.Version) (records []record.Record, known bool) {
	if after >= held {
		return nil, true
	}
	n := len(s.history)
	if n == 0 || s.history[0].Version > after+1 || s.history[n-1].Version != held {
		return nil, false
	}
	return s.history[after+1-s.history[0].Version:], true
}
