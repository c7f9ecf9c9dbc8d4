package sidecar

import (
	"context"
	"sort"
	"time"

	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/sidecarhttp"
)

// probeInterval is the interval between two probes of an endpoint.
const probeInterval = time.Second

// Run probes the endpoints until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	for {
		s.probeAll(ctx)
		select {
		case <-s.clock.After(probeInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Sidecar) probeAll(ctx context.Context) {
	for _, w := range s.workers {
		if ctx.Err() != nil {
			return
		}
		w.probe(ctx, s.client, s.clock.Now(), w.bootID())
	}
}

// Load returns the load of all endpoints, sorted by name.
func (s *Sidecar) Load() []*control.EndpointLoad {
	loads := make([]*control.EndpointLoad, 0, len(s.workers))
	for _, w := range s.workers {
		loads = append(loads, w.load(s.clock.Now()))
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].GetEndpoint() < loads[j].GetEndpoint() })
	return loads
}

func (w *worker) load(now time.Time) *control.EndpointLoad {
	seen := w.state.Load()
	load := &control.EndpointLoad{
		Endpoint:    string(w.spec.ID),
		Running:     uint32(max(0, w.running.Load())),
		Waiting:     uint32(max(0, w.waiting.Load())),
		Slots:       uint32(w.spec.Slots),
		Role:        string(seen.state.Role),
		PrefillRate: float32(seen.state.PrefillRate),
		DecodeRate:  float32(seen.state.DecodeRate),
		Crashed:     w.down.Load(),
		Draining:    w.isClosed(),
		Models:      seen.state.Models,
	}
	if !seen.at.IsZero() {
		load.AgeMs = uint32(now.Sub(seen.at).Milliseconds())
	}
	return load
}

// answerLoad returns the load that is sent with an answer.
func (w *worker) answerLoad() sidecarhttp.Load {
	return sidecarhttp.Load{Running: int(max(0, w.running.Load())), Waiting: int(max(0, w.waiting.Load())), Slots: w.spec.Slots}
}
