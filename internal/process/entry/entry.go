// Package entry implements the process that accepts callers' requests. It parses
// and queues them, sends attempts to the sidecar of an endpoint, forwards the
// answer, and resumes or retries failed attempts.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

const (
	defaultBodyLimit = 8 << 20
	defaultStall     = 10 * time.Second
	tickInterval     = 20 * time.Millisecond
	refreshTicks     = 100 // ticks between refreshes, about the interval of the instance list
	// retryDelay is the Retry-After for callers that this entry cannot serve now, for
	// example while it drains; the platform's load balancer sends their retry to
	// another entry.
	retryDelay = time.Second
	// maxAtMostOnceTime limits an at-most-once request, which continues after its
	// caller has disconnected.
	maxAtMostOnceTime = 15 * time.Minute
)

// ConfigSource provides the configuration under which a request is served.
type ConfigSource interface {
	// Current returns the configuration. It refreshes it first if this process
	// cannot prove that the one it holds is recent.
	Current(ctx context.Context) *carawayspread.Config
	// ObserveVersion records a version that another process has reported.
	ObserveVersion(version carawayspread.Version)
}

// Entry serves callers' requests. It is an http.Handler and safe for concurrent use.
type Entry struct {
	mux         *http.ServeMux
	config      ConfigSource
	client      *sidecarhttp.Client
	clock       carawayspread.Clock
	log         log.Interface
	newID       func() string
	modules     func(service carawayspread.Service) dispatcher.Modules
	limits      call.Limits
	stall       time.Duration
	ledger      Ledger
	suspects    *quarantine.Quarantine
	parts       *suspectparts.Parts
	exchange    PartExchange
	trials      Trials
	dispatchers atomic.Pointer[map[string]*dispatcher.Dispatcher] // by service; copy on write
	draining    atomic.Bool
	shutdown    atomic.Pointer[shutdown] // nil unless the process is ending
	counters    *counters
}

// Option sets a part of an Entry.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(clock carawayspread.Clock) Option { return func(e *Entry) { e.clock = clock } }

// WithLog sets the logger.
func WithLog(l log.Interface) Option { return func(e *Entry) { e.log = l } }

// WithIDs sets the generator of request IDs, which must be unique.
func WithIDs(newID func() string) Option { return func(e *Entry) { e.newID = newID } }

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(n int64) Option { return func(e *Entry) { e.limits.Body = n } }

// WithStall sets the longest time that an attempt may receive nothing.
func WithStall(d time.Duration) Option { return func(e *Entry) { e.stall = d } }

// WithLedger sets the ledger of at-most-once requests.
func WithLedger(l Ledger) Option { return func(e *Entry) { e.ledger = l } }

// WithTrials sets the coordinator of trials of requests that may crash their endpoint.
func WithTrials(t Trials) Option { return func(e *Entry) { e.trials = t } }

// New returns an entry. modules creates the decision modules of a service.
func New(config ConfigSource, modules func(carawayspread.Service) dispatcher.Modules, opts ...Option) *Entry {
	e := &Entry{
		mux:      http.NewServeMux(),
		config:   config,
		modules:  modules,
		clock:    carawayspread.SystemClock(),
		log:      log.Log,
		newID:    uuid.NewString,
		limits:   call.Limits{Body: defaultBodyLimit},
		stall:    defaultStall,
		ledger:   noLedger{},
		trials:   noTrials{},
		exchange: noExchange{},
		counters: newCounters(),
	}
	e.dispatchers.Store(&map[string]*dispatcher.Dispatcher{})
	for _, opt := range opts {
		opt(e)
	}
	e.suspects = quarantine.New(e.clock)
	e.parts = suspectparts.New(e.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.client = sidecarhttp.NewClient(e.stall)
	e.mux.HandleFunc("/v1/models", allowMethod(http.MethodGet, e.listModels))
	e.mux.HandleFunc("/v1/chat/completions", allowMethod(http.MethodPost, e.run))
	e.mux.HandleFunc("/v1/completions", allowMethod(http.MethodPost, e.run))
	e.mux.HandleFunc("/services/{name}/", e.run)
	e.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		openai.WriteError(w, carawayspread.NewError(carawayspread.CodeNotFound, "there is no such path", carawayspread.NotRun()))
	})
	return e
}

// ServeHTTP serves one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func allowMethod(method string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			openai.WriteError(w, carawayspread.NewError(carawayspread.CodeMethod, "this path takes "+method, carawayspread.NotRun()))
			return
		}
		next(w, r)
	}
}

func (e *Entry) listModels(w http.ResponseWriter, r *http.Request) {
	cfg := e.config.Current(r.Context())
	if cfg.Version() == 0 {
		openai.WriteError(w, noConfiguration())
		return
	}
	openai.WriteModels(w, cfg.Models())
}

// noConfiguration is the retryable refusal of an entry that has not read its first
// configuration yet. An answer such as "no models" or "unknown class" would be
// taken as final by callers.
func noConfiguration() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no configuration is known yet",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}

// Drain makes the entry refuse new requests; running ones continue.
func (e *Entry) Drain() { e.draining.Store(true) }

// Shutdown makes the entry refuse new requests, and in the second half of the time until end also those that have not
// begun and may outlast it. At end, requests are aborted.
func (e *Entry) Shutdown(end time.Time) {
	now := e.clock.Now()
	e.shutdown.Store(&shutdown{beginUntil: now.Add(end.Sub(now) / 2), end: end})
	e.Drain()
}

// Draining reports whether the entry refuses new requests.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Close closes idle connections to sidecars.
func (e *Entry) Close() { e.client.Close() }

// Run ticks the dispatchers and refreshes their endpoints until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	for n := 1; ; n++ {
		select {
		case <-e.clock.After(tickInterval):
			for _, d := range *e.dispatchers.Load() {
				d.Tick()
				if n%refreshTicks == 0 {
					d.RefreshEndpoints()
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Update replaces the endpoints and the number of entries that share them. Calls
// must not be concurrent.
func (e *Entry) Update(cfg *carawayspread.Config, endpoints []carawayspread.Endpoint, entries int) {
	byService := map[string][]carawayspread.Endpoint{}
	for _, endpoint := range endpoints {
		byService[endpoint.Service()] = append(byService[endpoint.Service()], endpoint)
	}
	old := *e.dispatchers.Load()
	next := make(map[string]*dispatcher.Dispatcher, len(old))
	for _, service := range cfg.Services() {
		d, ok := old[service.Name()]
		if !ok {
			d = dispatcher.New(e.modules(service), e.clock)
		}
		d.SetEntryCount(entries)
		d.Update(byService[service.Name()])
		next[service.Name()] = d
	}
	e.dispatchers.Store(&next)
}

// Dispatcher returns the dispatcher of a service, or nil if the service is not known.
func (e *Entry) Dispatcher(service string) *dispatcher.Dispatcher {
	return (*e.dispatchers.Load())[service]
}

// Reported passes a load report to the dispatcher of the service.
func (e *Entry) Reported(service string, report carawayspread.EndpointReport) {
	if d, ok := (*e.dispatchers.Load())[service]; ok {
		d.Reported(report)
	}
}
