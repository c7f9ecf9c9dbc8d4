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

// peersPerRound is the number of peers queried at once: the nearest one and random others. The
// nearest ones may all be cut off, or have just started, and hold nothing; without the random ones
// a daemon would query the same peers in every round.
const peersPerRound = 3

func (s *Syncer) choosePeers() []string {
	peers := slices.Clone(s.peers())
	if len(peers) <= peersPerRound {
		return peers
	}
	others := peers[1:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return peers[:peersPerRound]
}

// Limits of a peer's response, which may contain a snapshot of any size.
const (
	connectTimeout = 500 * time.Millisecond
	idleTimeout    = time.Second
	totalTimeout   = 15 * time.Second
	responseLimit  = 64 << 20 // bytes, both packed and unpacked
	// preparingRetryDelay is the time between two queries while the peer prepares its snapshot.
	preparingRetryDelay = 50 * time.Millisecond
)

// queryPeers queries peers and ends the round with the first confirmation that is fresh. If the
// round ends without one, a response that is still arriving is received further: restarted in each
// round, a large one would never be complete.
func (s *Syncer) queryPeers(ctx context.Context, began stamp, endRound context.CancelFunc) {
	var queries sync.WaitGroup
	for _, address := range s.choosePeers() {
		if _, pending := s.inFlight.LoadOrStore(address, nil); pending {
			continue
		}
		queries.Go(func() {
			defer s.inFlight.Delete(address)
			transferCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			defer context.AfterFunc(ctx, func() {
				if errors.Is(ctx.Err(), context.Canceled) { // the round has its confirmation
					stop()
				}
			})()
			if err := s.queryPeer(transferCtx, address, began); err != nil {
				s.logger.WithField("peer", address).WithError(err).Warn("config.peerUnread")
				return
			}
			if s.state.Load().confirmed.within(s.clock.Now(), s.freshFor) {
				endRound()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		queries.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			<-done // the queries end at once, and the next round may query the same peers
		}
	}
}

// queryPeer queries one peer, and repeats the query while the peer prepares its snapshot.
func (s *Syncer) queryPeer(ctx context.Context, address string, began stamp) error {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	peer := s.dial(address)
	for {
		held := s.Held()
		request := &control.ChangesRequest{After: uint64(held.Version()), Instance: s.instance, Packs: true}
		response, err := peer.Changes(ctx, request)
		if err != nil {
			return trace.Wrap(err)
		}
		if !response.GetPreparing() {
			return s.applyResponse(held, response, began)
		}
		s.sleep(ctx, preparingRetryDelay)
	}
}

// applyResponse applies a peer's response to cfg and accepts the result. The confirmation is the
// peer's: it is dated by the age that the peer reports, counted back from the moment before the
// query. It applies to the peer's version: a response that does not lead to that version, because
// of a gap, confirms nothing.
func (s *Syncer) applyResponse(cfg *carawayspread.Config, response *control.ChangesResponse, began stamp) error {
	full, err := snapshotOf(response)
	if err != nil {
		return err
	}
	if full != nil && full.Version() > cfg.Version() {
		cfg = full
	}
	var records []record.Record
	for _, change := range response.GetChanges() {
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
	if cfg.Version() < carawayspread.Version(response.GetVersion()) {
		return trace.CompareFailed("peer holds version %d, its response leads to %d", response.GetVersion(), cfg.Version())
	}
	age := time.Duration(response.GetEvidenceAgeMs()) * time.Millisecond
	s.accept(cfg, records, stamp{at: began.at.Add(-age)})
	return nil
}

// snapshotOf returns the full configuration that a response contains; nil if there is none.
func snapshotOf(response *control.ChangesResponse) (*carawayspread.Config, error) {
	switch {
	case len(response.GetPackedSnapshot()) > 0:
		return unpackSnapshot(response.GetPackedSnapshot())
	case len(response.GetSnapshot()) > 0:
		return snapshot.Decode(response.GetSnapshot())
	}
	return nil, nil
}

// Changes returns to a peer the records after its version, or a snapshot if they are no longer
// held. It implements that method of control.Control.
func (s *Syncer) Changes(ctx context.Context, request *control.ChangesRequest) (*control.ChangesResponse, error) {
	s.ObserveVersion(carawayspread.Version(request.GetAfter()))
	held, records, known := s.recordsSince(carawayspread.Version(request.GetAfter()))
	if held.confirmed.zero() {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration is known here")
	}
	switch {
	case known:
		return s.newResponse(held, records)
	case request.GetPacks():
		return s.packedResponse(ctx)
	}
	response, err := s.newResponse(held, nil)
	if err == nil {
		response.Snapshot, err = snapshot.Encode(held.cfg)
	}
	return response, trace.Wrap(err)
}

// newResponse returns the held version and its staleness, with the records that lead to the
// version.
func (s *Syncer) newResponse(held *state, records []record.Record) (*control.ChangesResponse, error) {
	response := &control.ChangesResponse{
		Version:       uint64(held.cfg.Version()),
		EvidenceAgeMs: uint64(held.confirmed.age(s.clock.Now()).Milliseconds()) + 1, // rounded up
	}
	for _, r := range records {
		body, err := r.Encode()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		response.Changes = append(response.Changes, &control.Change{Version: uint64(r.Version), Body: body})
	}
	return response, nil
}

// recordsSince returns the state with the records after a version; known is false if some of them
// are no longer held.
func (s *Syncer) recordsSince(after carawayspread.Version) (held *state, records []record.Record, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = s.state.Load()
	records, known = s.recordsAfter(after, held.cfg.Version())
	return held, records, known
}

// recordsAfter returns the records that lead from one version to the held one; known is false if
// some of them are no longer held. Its caller holds mu.
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
