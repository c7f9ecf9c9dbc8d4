// Package gateway routes callers' requests by host and path, and runs them at endpoints that have
// no sidecar in front of them.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/decision/authentication"
	"carawayspread/internal/decision/backpressure"
	"carawayspread/internal/decision/eventorder"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/hedging"
	"carawayspread/internal/decision/origin"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/decision/rejections"
	"carawayspread/internal/decision/runbackups"
	"carawayspread/internal/decision/runmoves"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/request/readahead"
)

const (
	// retryDelay is the Retry-After of most refusals, such as those of a process that has no
	// routes yet or is draining.
	retryDelay = 500 * time.Millisecond
	// elsewhereRetryDelay is the Retry-After of a request that another process can take at once.
	elsewhereRetryDelay = 10 * time.Millisecond
	// targetMissedShare distinguishes a caller's retry after a refusal from a first request: the
	// remaining time of a retry is below this share of the route's timeout.
	targetMissedShare = 0.93
	// drainMargin is the time by which the deadline of a request must be before the end of the process.
	drainMargin = 300 * time.Millisecond
	// defaultBodyLimit bounds a body in bytes where operators set no limit.
	defaultBodyLimit = 4 << 20
)

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	routing    atomic.Pointer[carawayspread.Routing]
	transport  carawayspread.EndpointTransport
	protocol   carawayspread.Protocol
	placer     carawayspread.Placer
	clock      carawayspread.Clock
	log        *decisionlog.Log
	set        *metrics.Set
	quarantine *quarantine.Quarantine
	parts      *suspectparts.Parts
	// backpressure holds the feedback of endpoints.
	backpressure    *backpressure.Backpressure
	forwardFeedback func(carawayspread.EndpointID, carawayspread.Feedback)
	retryBudget     fleetbudget.Limits
	fleet           fleetbudget.Fleet
	retryClock      carawayspread.Clock // of retryBudget
	claimRetry      func(ctx context.Context, service string) bool
	waitingSince    func() time.Time // the earliest time, by retryClock, at which a request that is read now may have been sent
	start           time.Time        // of the process, by retryClock
	reportCrash     func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool)
	reportProof     func(fingerprint uint64, id carawayspread.EndpointID)
	reportAnswer    func(fingerprint uint64)
	// reportParts and reportPartsAnswered tell peers of crashes under parts of prompts, and of answers.
	reportParts         func([]carawayspread.PartCrash)
	reportPartsAnswered func(parts []uint64)
	claimTrial          func(ctx context.Context, part uint64) bool
	reconnect           func() bool // reports whether an answer asks its caller to use another connection
	drain               atomic.Pointer[drainWindow]
	listAge             func() time.Duration // since the list of endpoints was confirmed
	listVersion         func() uint64
	freshness           carawayspread.ConfigFreshness
	keyPolicy           authentication.Policy
	rejections          *rejections.Rejections
	recordUsage         func(workspace string, ago time.Duration)
	endpoints           atomic.Pointer[map[string][]carawayspread.Endpoint] // by service
	maxWaiting          int                                                 // requests of each service that may wait for room
	running             atomic.Int64
	held                atomic.Int64                 // bytes of answers that are held in memory
	maxAllHeld          int64                        // bound of held
	readAhead           *readahead.Budget            // of streams whose callers read slowly
	prober              carawayspread.EndpointProber // nil if endpoints are not checked
	hedging             *hedging.Hedging             // nil if no request gets a second attempt while the first one runs
	origins             *origin.Origins
	steps               *eventorder.Steps
	peerOrigins         carawayspread.PeerOrigins
	moves               *runmoves.Moves // nil if no runs move
	mover               carawayspread.RunMover
	backups             *runbackups.Backups // nil if no copies of runs are kept

	mu      sync.Mutex
	budgets map[string]*fleetbudget.Budget
	// waitingRooms hold the requests that wait for room, by service.
	waitingRooms map[string]*waitingRoom
	checks       map[carawayspread.EndpointID]*endpointCheck
	// observed are the requests whose crashes this process observed, until they can no longer be
	// withdrawn.
	observed map[uint64]struct{}
	movable  map[*runmoves.Run]*runMove // runs whose streams are relayed
}

// drainWindow is the remaining time of a process that has been told to shut down.
type drainWindow struct {
	restrictFrom time.Time // from here on, only requests whose deadline is before end are accepted
	end          time.Time
}

// New returns a gateway without routes.
func New(transport carawayspread.EndpointTransport, protocol carawayspread.Protocol, placer carawayspread.Placer,
	clock carawayspread.Clock, log *decisionlog.Log, opts ...Option,
) *Gateway {
	g := &Gateway{
		transport: transport, protocol: protocol, placer: placer, clock: clock, log: log, set: metrics.NewSet(),
		quarantine:      quarantine.New(clock, quarantine.Duration(quarantineDuration)),
		backpressure:    backpressure.New(clock, noPeers),
		forwardFeedback: func(carawayspread.EndpointID, carawayspread.Feedback) {},
		retryBudget:     fleetbudget.Limits{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		fleet:           func() (int, bool) { return 1, true },
		retryClock:      clock,
		claimRetry:      func(context.Context, string) bool { return false },
		waitingSince:    clock.Now,
		start:           clock.Now(),
		listAge:         func() time.Duration { return 0 },
		listVersion:     func() uint64 { return 0 },
		reportCrash:     func(uint64, carawayspread.EndpointID, bool) {},
		reportProof:     func(uint64, carawayspread.EndpointID) {},
		reportAnswer:    func(uint64) {},

		parts:       suspectparts.New(clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		reportParts: func([]carawayspread.PartCrash) {}, reportPartsAnswered: func([]uint64) {},
		claimTrial:   func(context.Context, uint64) bool { return false },
		reconnect:    func() bool { return false },
		freshness:    alwaysCurrent{},
		rejections:   rejections.New(),
		recordUsage:  func(string, time.Duration) {},
		budgets:      map[string]*fleetbudget.Budget{},
		checks:       map[carawayspread.EndpointID]*endpointCheck{},
		observed:     map[uint64]struct{}{},
		movable:      map[*runmoves.Run]*runMove{},
		peerOrigins:  aloneOrigins{},
		maxAllHeld:   defaultHeldBytes,
		readAhead:    readahead.NewBudget(defaultReadAheadBytes),
		waitingRooms: map[string]*waitingRoom{},
		steps:        eventorder.NewSteps(),
	}
	g.origins = origin.New(clock, func() time.Duration { return g.listAge() })
	g.endpoints.Store(&map[string][]carawayspread.Endpoint{})
	for _, opt := range opts {
		opt(g)
	}
	g.set.NewGauge("gateway_running", func() float64 { return float64(g.running.Load()) })
	g.set.NewGauge("gateway_waiting", g.waitingRequests)
	g.set.NewGauge("gateway_routes_version", func() float64 {
		if routing := g.routing.Load(); routing != nil {
			return float64(routing.Version())
		}
		return 0
	})
	g.set.NewGauge(`gateway_held_bytes{of="answers"}`, func() float64 { return float64(g.held.Load()) })
	g.set.NewGauge(`gateway_held_bytes{of="slowReaders"}`, func() float64 { return float64(g.readAhead.Used()) })
	g.set.NewGauge("gateway_refused_parts", func() float64 { return float64(g.parts.Len()) })
	g.set.NewGauge("gateway_log_lines_dropped", func() float64 { return float64(log.Dropped()) })
	return g
}

// Metrics returns the metrics of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.set }

// Running returns the number of requests without a final answer.
func (g *Gateway) Running() int64 { return g.running.Load() }

// Adopt replaces the routes by a newer set.
func (g *Gateway) Adopt(routing *carawayspread.Routing) {
	old := g.routing.Load()
	g.origins.SetRoutes(old, routing) // before the first request goes to another service
	g.routing.Store(routing)
	g.TellUntold()
	line := decisionlog.Start("routes").Int("version", int64(routing.Version())).Int("routes", int64(routing.Len()))
	if old != nil {
		line.Int("replaces", int64(old.Version()))
	}
	g.log.Write(line)
}

// Routing returns the routes in force; nil if none are known.
func (g *Gateway) Routing() *carawayspread.Routing { return g.routing.Load() }

// Drain makes the gateway accept, from restrictFrom on, only requests whose deadline is before end.
func (g *Gateway) Drain(restrictFrom, end time.Time) { g.drain.Store(&drainWindow{restrictFrom, end}) }

// endsWithin reports whether a drain ends before d has passed.
func (g *Gateway) endsWithin(d time.Duration) bool {
	window := g.drain.Load()
	return window != nil && !g.clock.Now().Add(d).Before(window.end)
}

// drainRetryDelay returns when the caller of a request should return that a drain leaves no time for: at once if there
// are other processes, and otherwise when this one has ended.
func (g *Gateway) drainRetryDelay() time.Duration {
	size, known := g.fleet()
	window := g.drain.Load()
	switch {
	case known && size > 1:
		return elsewhereRetryDelay
	case known && window != nil:
		return max(retryDelay, window.end.Sub(g.clock.Now()))
	}
	return retryDelay
}

// noRoomRetryDelay returns when the caller of a request should return that this process has no memory for: at once if
// another process may have some.
func (g *Gateway) noRoomRetryDelay() time.Duration {
	if size, known := g.fleet(); known && size > 1 {
		return elsewhereRetryDelay
	}
	return retryDelay
}

// ServeHTTP routes and answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: g.clock.Now(), line: decisionlog.Start("request")}
	if err := c.accept(); err != nil {
		c.writeError(err)
		return
	}
	c.serve()
}
