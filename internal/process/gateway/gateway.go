// Package gateway routes callers' requests by host and path, and runs them at endpoints that have
// no sidecar in front of them.
package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/decision/authentication"
	"carawayspread/internal/decision/backpressure"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/origin"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/decision/rejections"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/internal/process/decisionlog"
)

const (
	// retryDelay is the Retry-After of most refusals, such as those of a process that has no
	// routes yet or is draining.
	retryDelay = 500 * time.Millisecond
	// targetMissedShare distinguishes a caller's retry after a refusal from a first request: the
	// remaining time of a retry is below this share of the route's timeout.
	targetMissedShare = 0.93
	// maxTokenTime is the time per token assumed for an answer that must end before this process
	// does: twice that of a fully loaded engine.
	maxTokenTime = 30 * time.Millisecond
	// maxFirstEventTargets is the time to its first event assumed for such an answer, as a
	// multiple of the route's target latency.
	maxFirstEventTargets = 2
	// drainMargin is the time by which an answer must end before the process does.
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
	running             atomic.Int64
	held                atomic.Int64                 // bytes of answers that are held in memory
	prober              carawayspread.EndpointProber // nil if endpoints are not checked
	origins             *origin.Origins
	peerOrigins         carawayspread.PeerOrigins

	mu      sync.Mutex
	budgets map[string]*fleetbudget.Budget
	checks  map[carawayspread.EndpointID]*endpointCheck
	// observed are the requests whose crashes this process observed, until they can no longer be
	// withdrawn.
	observed map[uint64]struct{}
}

// drainWindow is the remaining time of a process that has been told to shut down.
type drainWindow struct {
	restrictFrom time.Time // from here on, only requests that surely end in time are accepted
	end          time.Time
}

// Option sets an optional part of a Gateway.
type Option func(*Gateway)

// WithRetryBudget sets how many attempts may be sent beyond the first ones, and the fleet that shares the
// budget.
func WithRetryBudget(budget fleetbudget.Limits, fleet fleetbudget.Fleet) Option {
	return func(g *Gateway) { g.retryBudget, g.fleet = budget, fleet }
}

// WithRetryClaims sets the function that claims a retry which the share of this process does not allow.
func WithRetryClaims(claim func(ctx context.Context, service string) bool) Option {
	return func(g *Gateway) { g.claimRetry = claim }
}

// WithRetryClock sets the clock of the retry budget, which has to count time in which the machine is suspended,
// and the function that returns the earliest time at which a request that is read now may have been sent.
func WithRetryClock(clock carawayspread.Clock, waitingSince func() time.Time) Option {
	return func(g *Gateway) { g.retryClock, g.waitingSince, g.start = clock, waitingSince, clock.Now() }
}

// WithListAge sets the function that returns the age of the list of endpoints.
func WithListAge(age func() time.Duration) Option { return func(g *Gateway) { g.listAge = age } }

// WithListVersion sets the function that returns the version of the list of endpoints.
func WithListVersion(version func() uint64) Option {
	return func(g *Gateway) { g.listVersion = version }
}

// WithReconnect sets the function that reports whether an answer asks its caller to use another connection.
func WithReconnect(f func() bool) Option { return func(g *Gateway) { g.reconnect = f } }

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
		claimTrial:  func(context.Context, uint64) bool { return false },
		reconnect:   func() bool { return false },
		freshness:   alwaysCurrent{},
		rejections:  rejections.New(),
		recordUsage: func(string, time.Duration) {},
		budgets:     map[string]*fleetbudget.Budget{},
		checks:      map[carawayspread.EndpointID]*endpointCheck{},
		observed:    map[uint64]struct{}{},
		peerOrigins: aloneOrigins{},
	}
	g.origins = origin.New(clock, func() time.Duration { return g.listAge() })
	g.endpoints.Store(&map[string][]carawayspread.Endpoint{})
	for _, opt := range opts {
		opt(g)
	}
	g.set.NewGauge("gateway_running", func() float64 { return float64(g.running.Load()) })
	g.set.NewGauge("gateway_routes_version", func() float64 {
		if routing := g.routing.Load(); routing != nil {
			return float64(routing.Version())
		}
		return 0
	})
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
	old := g.routing.Swap(routing)
	line := decisionlog.Start("routes").Int("version", int64(routing.Version())).Int("routes", int64(routing.Len()))
	if old != nil {
		line.Int("replaces", int64(old.Version()))
	}
	g.log.Write(line)
}

// Routing returns the routes in force; nil if none are known.
func (g *Gateway) Routing() *carawayspread.Routing { return g.routing.Load() }

// SetEndpoints replaces the endpoints of all services.
func (g *Gateway) SetEndpoints(endpoints []carawayspread.Endpoint) {
	endpoints = g.backpressure.ApplyList(endpoints)
	byService := map[string][]carawayspread.Endpoint{}
	if routing := g.routing.Load(); routing != nil {
		for name := range routing.Services() {
			byService[name] = nil
		}
	}
	for _, endpoint := range endpoints {
		byService[endpoint.Service()] = append(byService[endpoint.Service()], endpoint)
	}
	g.endpoints.Store(&byService)
	// Before the first request goes to an endpoint of another build.
	g.origins.SetEndpoints(endpoints)
	g.TellUntold()
	for service, list := range byService {
		g.placer.SetEndpoints(service, list)
	}
}

// takesRequests reports whether the endpoint is still listed, and has not said that it leaves.
//
// A request may wait for its connection for nearly a second, and this process may be suspended meanwhile.
func (g *Gateway) takesRequests(to carawayspread.Endpoint) bool {
	listed := slices.ContainsFunc((*g.endpoints.Load())[to.Service()], func(e carawayspread.Endpoint) bool {
		return e.ID() == to.ID() && e.Address() == to.Address() && !e.Leaving()
	})
	return listed && !g.backpressure.Draining(to.ID())
}

// Drain makes the gateway accept, from restrictFrom on, only requests whose answers surely end
// before end.
func (g *Gateway) Drain(restrictFrom, end time.Time) { g.drain.Store(&drainWindow{restrictFrom, end}) }

// finishesInTime reports whether the request can be accepted in spite of a drain.
func (c *call) finishesInTime() bool {
	window := c.g.drain.Load()
	if window == nil || c.arrived.Before(window.restrictFrom) {
		return true
	}
	needed := c.deadline.Sub(c.arrived)
	if p := c.metadata.Prompt; p != nil {
		needed = min(needed, maxFirstEventTargets*c.route.TargetLatency+time.Duration(p.MaxOutputTokens)*maxTokenTime)
	}
	return c.arrived.Add(needed + drainMargin).Before(window.end)
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

// path returns the escaped path as the caller sent it.
func path(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	return target
}

func host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// findRoute finds the route of the request in the routes in force.
func (c *call) findRoute() *carawayspread.Error {
	c.routing = c.g.routing.Load()
	if c.routing == nil {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no routes are known yet",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	route, ok := c.routing.Find(host(c.r), path(c.r))
	if !ok {
		return carawayspread.NewError(carawayspread.CodeNotFound, "no route takes this host and path", carawayspread.NotRun())
	}
	c.route = route
	return nil
}

// applyPriority gives the request the priority of its workspace, where that has one.
func (c *call) applyPriority() {
	if priority := c.workspace.Priority(c.route.Priority); priority != c.route.Priority {
		route := *c.route
		route.Priority = priority
		c.route = &route
	}
}

// accept reads the request, and finds its route, workspace, service and deadline.
func (c *call) accept() *carawayspread.Error {
	g := c.g
	c.metadata = g.protocol.ParseRequest(c.r.Header)
	c.line.Text("id", c.metadata.ID)
	if err := c.routeAndAuthenticate(); err != nil {
		return err
	}
	c.applyPriority()
	routing, route := c.routing, c.route
	c.line.Int("version", int64(routing.Version())).Text("route", route.Name).Text("workspace", c.workspace.Name())
	if err := c.readBody(routing.Limits().BodyBytes); err != nil {
		return err
	}
	c.service, _ = routing.Service(pickService(route.Shares))
	if c.service.Name == "" {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the service of the route is not known",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	timeLeft := route.Timeout
	if c.metadata.TimeLeft > 0 {
		timeLeft = min(timeLeft, c.metadata.TimeLeft)
	}
	c.deadline = c.arrived.Add(timeLeft)
	if !c.finishesInTime() {
		return c.drainingError()
	}
	c.fingerprint = fingerprint(path(c.r), c.body)
	if refusal := c.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := c.checkParts(); refusal != nil {
		return refusal
	}
	return c.findBuild()
}

func (c *call) readBody(limit int64) *carawayspread.Error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	// The end of a request's context does not interrupt a read of its body; a read deadline does.
	defer context.AfterFunc(c.r.Context(), func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.g.clock.Now())
	})()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && c.shuttingDown():
		return c.drainingError()
	case errors.As(err, &tooLarge):
		return carawayspread.NewError(carawayspread.CodeTooLarge, "the body is larger than the limit", carawayspread.NotRun())
	case err != nil:
		c.connBroken = true
		return carawayspread.NewError(carawayspread.CodeMalformed, "the body cannot be read", carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	c.body = body
	return nil
}

func fingerprint(path string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return h.Sum64()
}
