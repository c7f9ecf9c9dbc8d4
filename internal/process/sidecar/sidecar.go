// Package sidecar implements the process that runs beside the endpoints of one
// instance and is the only way to them. It admits and forwards requests, reports
// whether answers are complete, detects crashes, and drains endpoints.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
)

const (
	endpointDialTimeout = 500 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond
	maxIdlePerEndpoint  = 64
	defaultSlots        = 16
	defaultBodyLimit    = 8 << 20
	// refusalRetry is the Retry-After of a request that found the endpoint full, about
	// the duration of a short answer.
	refusalRetry = time.Second
)

// Worker describes one endpoint beside the sidecar.
type Worker struct {
	ID      carawayspread.EndpointID
	Service string
	Kind    carawayspread.Kind
	Address string // IP address and port
	Slots   int    // maximum concurrent requests; zero for the default
}

// CrashRecorder records for the whole fleet which requests were running when an
// endpoint crashed.
type CrashRecorder interface {
	Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error
}

// Deduplicator remembers which attempts were accepted.
type Deduplicator interface {
	// Accept records the attempt. It returns false if the attempt must be refused, for
	// example because it was accepted before.
	Accept(id string) bool
}

// Sidecar serves the requests that entries send to its endpoints. It is an
// http.Handler and safe for concurrent use.
type Sidecar struct {
	workers         map[carawayspread.EndpointID]*worker // fixed after New
	client          *framed.Transport
	once            *framed.Transport // closes each connection after one answer
	set             *metrics.Set
	clock           carawayspread.Clock
	log             log.Interface
	suspects        *quarantine.Quarantine
	crashes         CrashRecorder
	attempts        Deduplicator
	versionObserver func(carawayspread.Version) // receives the configuration versions of requests
	bodyLimit       int64                       // bytes
	draining        atomic.Bool
}

// Option sets a part of a Sidecar.
type Option func(*Sidecar)

// WithClock sets the clock.
func WithClock(clock carawayspread.Clock) Option { return func(s *Sidecar) { s.clock = clock } }

// WithLog sets the logger.
func WithLog(l log.Interface) Option { return func(s *Sidecar) { s.log = l } }

// WithCrashRecorder sets the recorder of crashes for the fleet.
func WithCrashRecorder(r CrashRecorder) Option { return func(s *Sidecar) { s.crashes = r } }

// WithDeduplicator sets the detector of repeated attempts.
func WithDeduplicator(a Deduplicator) Option { return func(s *Sidecar) { s.attempts = a } }

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(n int64) Option { return func(s *Sidecar) { s.bodyLimit = n } }

// WithVersionObserver sets the function that receives the configuration versions of
// requests.
func WithVersionObserver(observe func(carawayspread.Version)) Option {
	return func(s *Sidecar) { s.versionObserver = observe }
}

// New returns a sidecar for the endpoints.
func New(workers []Worker, opts ...Option) *Sidecar {
	client := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: endpointDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		DisableCompression:  true,
		// An entry takes no longer one.
		MaxResponseHeaderBytes: sidecarhttp.MaxHeaderBytes,
	}
	// An at-most-once request gets its own connection, since net/http retries requests
	// on reused connections that turn out to be closed.
	once := client.Clone()
	once.DisableKeepAlives = true
	s := &Sidecar{
		workers:         map[carawayspread.EndpointID]*worker{},
		client:          framed.New(client, framed.AllowUnmarked()),
		once:            framed.New(once, framed.AllowUnmarked()),
		set:             metrics.NewSet(),
		clock:           carawayspread.SystemClock(),
		log:             log.Log,
		crashes:         noCrashRecorder{},
		attempts:        acceptAllAttempts{},
		versionObserver: func(carawayspread.Version) {},
		bodyLimit:       defaultBodyLimit,
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

// Metrics returns the sidecar's metrics.
func (s *Sidecar) Metrics() *metrics.Set { return s.set }

// Drain makes one endpoint, or all of them if id is empty, refuse new requests. It
// returns the number of requests that still run there.
func (s *Sidecar) Drain(id carawayspread.EndpointID) int {
	running := 0
	if id == "" {
		s.draining.Store(true)
	}
	for _, w := range s.workers {
		if id == "" || w.spec.ID == id {
			w.drain()
			running += int(w.running.Load())
		}
	}
	return running
}

// Quiesce makes an endpoint refuse new requests and returns when none runs there. Calling
// resume admits requests again.
func (s *Sidecar) Quiesce(ctx context.Context, id carawayspread.EndpointID) (resume func(), err error) {
	w, ok := s.workers[id]
	if !ok {
		return nil, trace.NotFound("there is no endpoint %v", id)
	}
	return w.quiesce(ctx)
}

// Draining reports whether the whole sidecar drains.
func (s *Sidecar) Draining() bool { return s.draining.Load() }

// Running returns the number of requests that run or wait at all endpoints.
func (s *Sidecar) Running() int {
	running := 0
	for _, w := range s.workers {
		running += int(w.running.Load()) + int(w.waiting.Load())
	}
	return running
}

// Wait blocks until no request runs or waits, or until ctx ends.
func (s *Sidecar) Wait(ctx context.Context) error {
	for s.Running() > 0 {
		select {
		case <-s.clock.After(drainPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const drainPollInterval = 20 * time.Millisecond

// Close closes the idle connections to the endpoints.
func (s *Sidecar) Close() {
	s.client.CloseIdleConnections()
	s.once.CloseIdleConnections()
}

type noCrashRecorder struct{}

func (noCrashRecorder) Crashed(context.Context, carawayspread.EndpointID, ...uint64) error {
	return nil
}

type acceptAllAttempts struct{}

func (acceptAllAttempts) Accept(string) bool { return true }

func fingerprintOf(r *http.Request) uint64 {
	return sidecarhttp.ParseFingerprint(r.Header.Get(sidecarhttp.HeaderFingerprint))
}
