// Package gateway takes callers' requests by host and path and has them run at
// endpoints that have no sidecar before them.
package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayspread"
	"carawayspread/internal/decision/authentication"
	"carawayspread/internal/decision/backpressure"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/decision/rejections"
	"carawayspread/internal/process/decisionlog"
)

const (
	// comeBack is when a caller may try again that met a process which holds
	// no routes yet, or is leaving.
	comeBack = 500 * time.Millisecond
	// lateShare tells a caller that has come back from a fresh one: it says
	// that it waits for clearly less than its route allows.
	lateShare = 0.93
	// tokenTime is how long the engine may take for a token of an answer that
	// must end before this process does: twice that of a full engine.
	tokenTime = 30 * time.Millisecond
	// firstTime is how long the first event of it may take, in targets.
	firstTime = 2
	// closing is the last part of the process's time, in which nothing more is
	// taken.
	closing = 300 * time.Millisecond
	// defaultBody bounds a body where operators state no bound.
	defaultBody = 4 << 20
	// suspicion is how long a request that broke the connections of two
	// endpoints is refused. It outlasts callers that send again.
	suspicion = 2 * time.Minute
)

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	routing    atomic.Pointer[carawayspread.Routing]
	exchange   carawayspread.EndpointTransport
	protocol   carawayspread.Protocol
	placer     carawayspread.Placer
	clock      carawayspread.Clock
	log        *decisionlog.Log
	set        *metrics.Set
	quarantine *quarantine.Quarantine
	// backpressure holds what endpoints say of themselves.
	backpressure *backpressure.Backpressure
	tellFeedback func(carawayspread.EndpointID, carawayspread.Feedback)
	terms        fleetbudget.Limits
	share        func() int
	crashed      func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool)
	answered     func(fingerprint uint64)
	leaves       atomic.Pointer[leave]
	listAge      func() time.Duration // since the list of endpoints was confirmed
	evidence     carawayspread.ConfigFreshness
	access       authentication.Policy
	rejections   *rejections.Rejections
	began        func(workspace string, ago time.Duration)
	listed       atomic.Pointer[map[string][]carawayspread.Endpoint] // by service
	running      atomic.Int64

	mu      sync.Mutex
	budgets map[string]*fleetbudget.Budget
}

// leave is the time of a process that was told to end.
type leave struct {
	picky time.Time // from here on only what is sure to end in time is taken
	end   time.Time
}

// Option sets an optional part of a Gateway.
type Option func(*Gateway)

// WithTerms sets what may be sent beyond first attempts, by how many processes.
func WithTerms(terms fleetbudget.Limits, share func() int) Option {
	return func(g *Gateway) { g.terms, g.share = terms, share }
}

// WithCrashed is told of each request whose endpoint broke off, and of each
// that is withdrawn since the endpoint lives.
func WithCrashed(f func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool)) Option {
	return func(g *Gateway) { g.crashed = f }
}

// WithAnswered is told of each request that was answered though a peer refuses it.
func WithAnswered(f func(fingerprint uint64)) Option {
	return func(g *Gateway) { g.answered = f }
}

// WithListAge sets what says how old the list of endpoints is.
func WithListAge(age func() time.Duration) Option { return func(g *Gateway) { g.listAge = age } }

// New returns a gateway that holds no routes.
func New(exchange carawayspread.EndpointTransport, protocol carawayspread.Protocol, placer carawayspread.Placer,
	clock carawayspread.Clock, log *decisionlog.Log, opts ...Option,
) *Gateway {
	g := &Gateway{
		exchange: exchange, protocol: protocol, placer: placer, clock: clock, log: log, set: metrics.NewSet(),
		quarantine:   quarantine.New(clock, quarantine.Duration(suspicion)),
		backpressure: backpressure.New(clock, alone),
		tellFeedback: func(carawayspread.EndpointID, carawayspread.Feedback) {},
		terms:        fleetbudget.Limits{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		share:        func() int { return 1 },
		listAge:      func() time.Duration { return 0 },
		crashed:      func(uint64, carawayspread.EndpointID, bool) {},
		answered:     func(uint64) {},
		evidence:     alwaysCurrent{},
		rejections:   rejections.New(),
		began:        func(string, time.Duration) {},
		budgets:      map[string]*fleetbudget.Budget{},
	}
	g.listed.Store(&map[string][]carawayspread.Endpoint{})
	for _, opt := range opts {
		opt(g)
	}
	g.set.NewGauge("gateway_running", func() float64 { return float64(g.running.Load()) })
	g.set.NewGauge("gateway_routes_version", func() float64 {
		if t := g.routing.Load(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	g.set.NewGauge("gateway_log_lines_dropped", func() float64 { return float64(log.Dropped()) })
	return g
}

// Metrics returns the counters of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.set }

// Running returns the number of requests without a final answer.
func (g *Gateway) Running() int64 { return g.running.Load() }

// Adopt takes a newer set of routes.
func (g *Gateway) Adopt(t *carawayspread.Routing) {
	old := g.routing.Swap(t)
	line := decisionlog.Start("routes").Int("version", int64(t.Version())).Int("routes", int64(t.Len()))
	if old != nil {
		line.Int("replaces", int64(old.Version()))
	}
	g.log.Write(line)
}

// Routing returns the routes in force; nil where none are known.
func (g *Gateway) Routing() *carawayspread.Routing { return g.routing.Load() }

// Listed takes all endpoints.
func (g *Gateway) Listed(endpoints []carawayspread.Endpoint) {
	endpoints = g.backpressure.ApplyList(endpoints)
	byService := map[string][]carawayspread.Endpoint{}
	if t := g.routing.Load(); t != nil {
		for name := range t.Services() {
			byService[name] = nil
		}
	}
	for _, endpoint := range endpoints {
		byService[endpoint.Service()] = append(byService[endpoint.Service()], endpoint)
	}
	g.listed.Store(&byService)
	for service, of := range byService {
		g.placer.SetEndpoints(service, of)
	}
}

// Crashed takes what a peer saw.
func (g *Gateway) Crashed(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
	if withdrawn {
		g.quarantine.WithdrawCrash(fingerprint, id)
		return
	}
	g.quarantine.Crashed(quarantine.Crash{Endpoint: id, At: g.clock.Now()}, []uint64{fingerprint}, nil)
}

// Doubts returns the requests that are refused here, of which peers may know an answer.
func (g *Gateway) Doubts() []uint64 { return g.quarantine.Refused() }

// Doubted takes what a peer refuses.
func (g *Gateway) Doubted(refused []uint64) { g.quarantine.RefusedByPeer(refused) }

// Cleared takes note that a peer answered a request.
func (g *Gateway) Cleared(fingerprint uint64) { g.quarantine.AnsweredByPeer(fingerprint) }

// Leave makes the gateway take, from the first moment on, only what is sure to
// have its answer before the second.
func (g *Gateway) Leave(picky, end time.Time) { g.leaves.Store(&leave{picky, end}) }

// ends reports whether the request can be taken in spite of the order to end.
func (c *call) ends() bool {
	l := c.g.leaves.Load()
	if l == nil || c.arrived.Before(l.picky) {
		return true
	}
	takes := c.deadline.Sub(c.arrived)
	if p := c.ask.Prompt; p != nil {
		takes = min(takes, firstTime*c.route.TargetLatency+time.Duration(p.MaxOutputTokens)*tokenTime)
	}
	return c.arrived.Add(takes + closing).Before(l.end)
}

func (g *Gateway) budget(service string) *fleetbudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = fleetbudget.New(g.clock, g.terms, g.share)
		g.budgets[service] = b
	}
	return b
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: g.clock.Now(), line: decisionlog.Start("request")}
	if err := c.accept(); err != nil {
		c.refuse(err)
		return
	}
	c.serve()
}

// path returns the path as the caller sent it.
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

// findRoute finds the route of the request.
func (c *call) findRoute() *carawayspread.Error {
	c.routing = c.g.routing.Load()
	if c.routing == nil {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no routes are known yet",
			carawayspread.NotRun(), carawayspread.RetryAfter(comeBack))
	}
	route, ok := c.routing.Find(host(c.r), path(c.r))
	if !ok {
		return carawayspread.NewError(carawayspread.CodeNotFound, "no route takes this host and path", carawayspread.NotRun())
	}
	c.route = route
	return nil
}

// applyPriority gives the request the priority of its workspace.
func (c *call) applyPriority() {
	if priority := c.workspace.Priority(c.route.Priority); priority != c.route.Priority {
		route := *c.route
		route.Priority = priority
		c.route = &route
	}
}

// accept reads the request and finds what answers it.
func (c *call) accept() *carawayspread.Error {
	g := c.g
	c.ask = g.protocol.ParseRequest(c.r.Header)
	c.line.Text("id", c.ask.ID)
	if err := c.admit(); err != nil {
		return err
	}
	c.applyPriority()
	routing, route := c.routing, c.route
	c.line.Int("version", int64(routing.Version())).Text("route", route.Name).Text("workspace", c.workspace.Name())
	if err := c.read(routing.Limits().BodyBytes); err != nil {
		return err
	}
	c.service, _ = routing.Service(pick(route.Shares))
	if c.service.Name == "" {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the service of the route is not known",
			carawayspread.NotRun(), carawayspread.RetryAfter(comeBack))
	}
	left := route.Timeout
	if c.ask.TimeLeft > 0 {
		left = min(left, c.ask.TimeLeft)
	}
	c.deadline = c.arrived.Add(left)
	if !c.ends() {
		return c.leaving()
	}
	c.fingerprint = fingerprint(path(c.r), c.body)
	if verdict, _ := g.quarantine.Decide(quarantine.Attempt{Fingerprint: c.fingerprint}); verdict == quarantine.VerdictRefuse {
		return carawayspread.NewError(carawayspread.CodeSuspect, "the request broke the endpoints that ran it",
			carawayspread.NotRun(), carawayspread.RetryAfter(suspicion))
	}
	return nil
}

func (c *call) read(limit int64) *carawayspread.Error {
	if limit <= 0 {
		limit = defaultBody
	}
	// The end of a request's context does not interrupt a read of its body.
	defer context.AfterFunc(c.r.Context(), func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.g.clock.Now())
	})()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case err != nil && c.isEnding():
		return c.leaving()
	case errors.As(err, &large):
		return carawayspread.NewError(carawayspread.CodeTooLarge, "the body is larger than the limit", carawayspread.NotRun())
	case err != nil:
		c.gone = true
		return carawayspread.NewError(carawayspread.CodeMalformed, "the body cannot be read", carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	c.body = body
	return nil
}

// pick draws a service by weight.
func pick(shares []carawayspread.Share) string {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	if total <= 0 {
		return shares[0].Service
	}
	n := rand.IntN(total)
	for _, share := range shares {
		if n -= share.Weight; n < 0 {
			return share.Service
		}
	}
	return shares[0].Service
}

func fingerprint(path string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return h.Sum64()
}
