// Package sidecar is the process beside the endpoints of one instance, and the
// only way to them: it admits requests, passes them on, says whether an answer
// is whole, notices crashes, and drains.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
)

const (
	endpointDialTimeout = 500 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond
	idlePerEndpoint     = 64
	defaultSlots        = 16
	// refusalRetry is when a caller may come back whose request found the
	// endpoint full: about the time in which one short answer ends.
	refusalRetry = time.Second
)

// Worker describes one endpoint beside the sidecar.
type Worker struct {
	ID      carawayspread.EndpointID
	Service string
	Kind    carawayspread.Kind
	Address string // IP number and port
	Slots   int    // requests that the endpoint runs at once; zero for the default
}

// CrashRecorder tells the whole fleet which requests were running when an endpoint
// crashed.
type CrashRecorder interface {
	Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error
}

// Deduplicator remembers which attempts were accepted.
type Deduplicator interface {
	// Accept records the attempt; false when it was accepted before.
	Accept(id string) bool
}

// Sidecar serves the requests that entries send to its endpoints. It is an
// http.Handler and safe for concurrent use.
type Sidecar struct {
	workers  map[carawayspread.EndpointID]*worker // fixed after New
	client   *http.Transport
	once     *http.Transport
	clock    carawayspread.Clock
	log      log.Interface
	suspects *quarantine.Quarantine
	victims  CrashRecorder
	attempts Deduplicator
	heard    func(carawayspread.Version) // takes versions named by requests
	draining atomic.Bool
}

// Option sets a part of a Sidecar.
type Option func(*Sidecar)

// WithClock sets the clock.
func WithClock(clock carawayspread.Clock) Option { return func(s *Sidecar) { s.clock = clock } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(s *Sidecar) { s.log = l } }

// WithCrashRecorder sets what tells the fleet of crashes.
func WithCrashRecorder(v CrashRecorder) Option { return func(s *Sidecar) { s.victims = v } }

// WithDeduplicator sets what remembers accepted attempts.
func WithDeduplicator(a Deduplicator) Option { return func(s *Sidecar) { s.attempts = a } }

// WithVersionObserver sets what takes the configuration versions that requests name.
func WithVersionObserver(heard func(carawayspread.Version)) Option {
	return func(s *Sidecar) { s.heard = heard }
}

// New returns the sidecar of those endpoints.
func New(workers []Worker, opts ...Option) *Sidecar {
	client := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: endpointDialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEndpoint,
		DisableCompression:  true,
	}
	// A request that must not run twice gets its own connection: net/http
	// repeats requests on kept connections that turn out to be closed.
	once := client.Clone()
	once.DisableKeepAlives = true
	s := &Sidecar{
		workers:  map[carawayspread.EndpointID]*worker{},
		client:   client,
		once:     once,
		clock:    carawayspread.SystemClock(),
		log:      log.Log,
		victims:  silent{},
		attempts: openAttempts{},
		heard:    func(carawayspread.Version) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	for _, w := range workers {
		s.workers[w.ID] = newWorker(w, s.log)
	}
	s.suspects = quarantine.New(s.clock)
	return s
}

// Drain refuses new work at one endpoint, or at all when id is empty, and
// returns how many requests still run there.
func (s *Sidecar) Drain(id carawayspread.EndpointID) int {
	running := 0
	if id == "" {
		s.draining.Store(true)
	}
	for _, w := range s.workers {
		if id == "" || w.spec.ID == id {
			w.draining.Store(true)
			running += int(w.running.Load())
		}
	}
	return running
}

// Quiesce stops new work at an endpoint and returns when none runs there. Work
// is admitted again by resume.
func (s *Sidecar) Quiesce(ctx context.Context, id carawayspread.EndpointID) (resume func(), err error) {
	w, ok := s.workers[id]
	if !ok {
		return nil, trace.NotFound("there is no endpoint %v", id)
	}
	return w.empty(ctx)
}

// Draining reports whether the whole sidecar is leaving.
func (s *Sidecar) Draining() bool { return s.draining.Load() }

// Running returns the requests that run or wait at all endpoints.
func (s *Sidecar) Running() int {
	running := 0
	for _, w := range s.workers {
		running += int(w.running.Load()) + int(w.waiting.Load())
	}
	return running
}

// Wait returns when no request runs, or when ctx ends.
func (s *Sidecar) Wait(ctx context.Context) error {
	for s.Running() > 0 {
		select {
		case <-s.clock.After(drainPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const drainPoll = 20 * time.Millisecond

// Close drops the idle connections to the endpoints.
func (s *Sidecar) Close() {
	s.client.CloseIdleConnections()
	s.once.CloseIdleConnections()
}

type silent struct{}

func (silent) Crashed(context.Context, carawayspread.EndpointID, ...uint64) error { return nil }

type openAttempts struct{}

func (openAttempts) Accept(string) bool { return true }

func fingerprintOf(r *http.Request) uint64 {
	return sidecarhttp.ParseFingerprint(r.Header.Get(sidecarhttp.HeaderFingerprint))
}
