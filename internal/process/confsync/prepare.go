package confsync

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/control"
)

// prepareWait is how long a peer's query waits for a snapshot before the peer is told to repeat the
// query. It is well below the peer's idle timeout.
const prepareWait = 300 * time.Millisecond

// preparation is the packed snapshot of one version, made once for all peers that query it.
type preparation struct {
	version carawayspread.Version
	done    chan struct{} // closed when the fields below are set
	packed  []byte
	err     error
}

// prepare returns the running or finished preparation. If there is none, or the records no longer
// lead on from its version, it starts one of the held configuration.
//
// The preparation is not cancelled with the query that started it: preparing a large configuration
// takes longer than a peer's idle timeout, and restarted for each query it would never finish.
func (s *Syncer) prepare() *preparation {
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := s.state.Load().cfg
	if p := s.prepared; p != nil {
		if _, known := s.recordsAfter(p.version, cfg.Version()); known {
			return p
		}
	}
	p := &preparation{version: cfg.Version(), done: make(chan struct{})}
	s.prepared = p
	go func() {
		defer close(p.done)
		p.packed, p.err = packSnapshot(cfg)
	}()
	return p
}

// packedResponse returns the prepared snapshot and the records that follow it, or that the snapshot
// is still being prepared.
func (s *Syncer) packedResponse(ctx context.Context) (*control.ChangesResponse, error) {
	p := s.prepare()
	select {
	case <-p.done:
	case <-s.clock.After(prepareWait):
		return &control.ChangesResponse{Preparing: true}, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	if p.err != nil {
		return nil, trace.Wrap(p.err)
	}
	held, records, known := s.recordsSince(p.version)
	if !known { // the history no longer reaches back to it; the next query prepares another one
		return &control.ChangesResponse{Preparing: true}, nil
	}
	response, err := s.newResponse(held, records)
	if err == nil {
		response.PackedSnapshot = p.packed
	}
	return response, err
}
