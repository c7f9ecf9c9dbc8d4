package confsync

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/control"
)

// prepareTurn is how long a peer waits for a snapshot before it is told to ask again. It
// is well below the silence that a peer bears.
const prepareTurn = 300 * time.Millisecond

// preparation is the packed snapshot of one version, made once for all who ask.
type preparation struct {
	version carawayspread.Version
	done    chan struct{} // closed when what follows is set
	packed  []byte
	err     error
}

// prepare returns the preparation under way or done, or begins one of what is held where
// the records do not lead on from that.
//
// It does not end with the peer that asked: preparing a large configuration takes
// longer than a peer bears silence, and begun anew for each question it would never be
// done.
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
		p.packed, p.err = packWhole(cfg)
	}()
	return p
}

// answerPacked answers with the prepared snapshot and the records that follow it.
func (s *Syncer) answerPacked(ctx context.Context) (*control.ChangesResponse, error) {
	p := s.prepare()
	select {
	case <-p.done:
	case <-s.clock.After(prepareTurn):
		return &control.ChangesResponse{Preparing: true}, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	if p.err != nil {
		return nil, trace.Wrap(p.err)
	}
	held, records, known := s.since(p.version)
	if !known { // so much has changed meanwhile that another one is prepared
		return &control.ChangesResponse{Preparing: true}, nil
	}
	answer, err := s.answer(held, records)
	if err == nil {
		answer.PackedSnapshot = p.packed
	}
	return answer, err
}
