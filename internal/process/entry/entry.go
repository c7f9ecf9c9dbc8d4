// Package entry is the process that takes callers' requests: it reads them,
// waits for their turn, sends them to an endpoint's sidecar, follows the
// answer, and resumes or retries what failed.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/process/lane"
	"carawayspread/internal/request/call"
)

const (
	defaultBodyLimit = 8 << 20
	defaultStall     = 10 * time.Second
	tick             = 20 * time.Millisecond
	relistTicks      = 100 // about the interval of the instance list
	// leavingRetry is when a caller may come back who met a leaving entry; the
	// balancer sends it elsewhere.
	leavingRetry = time.Second
	// longestOnce bounds the run of a request that must not run twice, which
	// goes on when its caller has gone.
	longestOnce = 15 * time.Minute
)

// ConfigSource gives the configuration under which a request is served.
type ConfigSource interface {
	// Current returns the configuration, refreshed first when this process
	// cannot show that the one it holds is recent.
	Current(ctx context.Context) *carawayspread.Config
	// ObserveVersion takes a version that another process names.
	ObserveVersion(version carawayspread.Version)
}

// Entry serves callers. It is an http.Handler and safe for concurrent use.
type Entry struct {
	mux      *http.ServeMux
	config   ConfigSource
	client   *sidecarhttp.Client
	clock    carawayspread.Clock
	log      log.Interface
	newID    func() string
	modules  func(service carawayspread.Service) lane.Modules
	limits   call.Limits
	stall    time.Duration
	ledger   Ledger
	suspects *quarantine.Quarantine
	trials   Trials
	lanes    atomic.Pointer[map[string]*lane.Lane] // by service, replaced as a whole
	leaving  atomic.Bool
	counters *counters
}

// Option sets a part of an Entry.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(clock carawayspread.Clock) Option { return func(e *Entry) { e.clock = clock } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(e *Entry) { e.log = l } }

// WithIDs sets what names requests; the names must be unique.
func WithIDs(newID func() string) Option { return func(e *Entry) { e.newID = newID } }

// WithBodyLimit sets the most bytes that are read of a request's body.
func WithBodyLimit(n int64) Option { return func(e *Entry) { e.limits.Body = n } }

// WithStall sets how long an attempt may be silent.
func WithStall(d time.Duration) Option { return func(e *Entry) { e.stall = d } }

// WithLedger sets what agrees on work that runs at most once.
func WithLedger(l Ledger) Option { return func(e *Entry) { e.ledger = l } }

// WithTrials sets what agrees on requests that may crash their endpoint.
func WithTrials(t Trials) Option { return func(e *Entry) { e.trials = t } }

// New returns an entry. modules gives the decision modules of a service.
func New(config ConfigSource, modules func(carawayspread.Service) lane.Modules, opts ...Option) *Entry {
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
		counters: newCounters(),
	}
	e.lanes.Store(&map[string]*lane.Lane{})
	for _, opt := range opts {
		opt(e)
	}
	e.suspects = quarantine.New(e.clock)
	e.client = sidecarhttp.NewClient(e.stall)
	e.mux.HandleFunc("/v1/models", only(http.MethodGet, e.listModels))
	e.mux.HandleFunc("/v1/chat/completions", only(http.MethodPost, e.run))
	e.mux.HandleFunc("/v1/completions", only(http.MethodPost, e.run))
	e.mux.HandleFunc("/services/{name}/", e.run)
	e.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		openai.WriteError(w, carawayspread.NewError(carawayspread.CodeNotFound, "there is no such path", carawayspread.NotRun()))
	})
	return e
}

// ServeHTTP serves one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func only(method string, next http.HandlerFunc) http.HandlerFunc {
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

// noConfiguration refuses callers of an entry that holds none yet.
//
// Failure: an entry takes callers before it has read the first configuration.
// Symptom: it says that there are no models or no such class, which callers
// take for final. It does not know, and says when to come back.
func noConfiguration() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no configuration is known yet",
		carawayspread.NotRun(), carawayspread.RetryAfter(leavingRetry))
}

// Leave makes the entry refuse new requests; running ones go on.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Leaving reports whether the entry refuses new requests.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Close drops idle connections.
func (e *Entry) Close() { e.client.Close() }

// Run keeps the lanes going until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	for n := 1; ; n++ {
		select {
		case <-e.clock.After(tick):
			for _, l := range *e.lanes.Load() {
				l.Tick()
				if n%relistTicks == 0 {
					l.Relist()
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Update replaces what is known of the endpoints and of the number of entries
// before them. Its calls must not overlap.
func (e *Entry) Update(cfg *carawayspread.Config, endpoints []carawayspread.Endpoint, entries int) {
	byService := map[string][]carawayspread.Endpoint{}
	for _, endpoint := range endpoints {
		byService[endpoint.Service()] = append(byService[endpoint.Service()], endpoint)
	}
	old := *e.lanes.Load()
	next := make(map[string]*lane.Lane, len(old))
	for _, service := range cfg.Services() {
		l, ok := old[service.Name()]
		if !ok {
			l = lane.New(e.modules(service), e.clock)
		}
		l.Share(entries)
		l.Update(byService[service.Name()])
		next[service.Name()] = l
	}
	e.lanes.Store(&next)
}

// Lane returns the lane of a service; nil where the service is not known.
func (e *Entry) Lane(service string) *lane.Lane { return (*e.lanes.Load())[service] }

// Reported passes a load report to the lane of the service.
func (e *Entry) Reported(service string, report carawayspread.EndpointReport) {
	if l, ok := (*e.lanes.Load())[service]; ok {
		l.Reported(report)
	}
}
