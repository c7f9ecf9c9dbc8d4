package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/process/decisionlog"
)

const (
	// maxSends bounds the attempts of one request, whatever its route and the retry budget allow.
	maxSends = 6
	// releaseTimeout bounds the call that frees a KV cache.
	releaseTimeout = time.Second
)

// call is the state of one caller's request.
type call struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	line        *decisionlog.Line
	arrived     time.Time
	deadline    time.Time
	metadata    carawayspread.RequestMetadata
	routing     *carawayspread.Routing
	route       *carawayspread.Route
	workspace   carawayspread.Workspace // of the API key; zero where unknown
	service     carawayspread.RoutedService
	body        []byte
	fingerprint uint64
	connBroken  bool // the connection to the caller cannot be used any more

	exclude          map[carawayspread.EndpointID]bool
	sends            int                   // attempts that may have reached an endpoint; they count against the retry budget
	ran              int                   // attempts that may have run
	retry            *fleetbudget.Retry    // spent for the next attempt; nil if none was needed yet
	retryDecision    *fleetbudget.Decision // the latest; nil if no retry was wanted
	retryClaimed     bool                  // the latest retry was claimed
	singleEndpoint   bool                  // one endpoint must do both prefill and decode
	suspected        bool                  // a part of the prompt may have crashed the endpoint of the last attempt
	sharedParts      []uint64              // keys of the parts of the prompt that others may share; nil until needed
	trial            bool                  // this process has claimed the trial of a part of the prompt
	started          bool                  // the header of the answer has been sent to the caller
	status           int                   // of the answer that was relayed
	framing          carawayspread.Framing // of the answer to the caller, once started
	complete         func()                // lets the connection to the caller end in order; nil if it may do so anyway
	lastEventID      string
	build            carawayspread.BuildID   // at which the stream began; zero if it has not, or if that is unknown
	usageCounted     bool                    // the request was recorded as usage of its workspace
	handover         *carawayspread.Handover // a KV cache that no decode engine has taken yet
	endpoint         carawayspread.EndpointID
	softwareVersion  string // of that endpoint
	prefillEndpoint  carawayspread.EndpointID
	timeToFirstEvent time.Duration
	lastEventAt      time.Time               // zero before the first event
	maxEventGap      time.Duration           // the longest gap between two events
	firstPlacement   carawayspread.Placement // also set where the request was refused
	prefillDuration  time.Duration           // time of the prefill on a separate engine
	connections      []uint64                // over which the request was answered
	latest           attemptTrace
}

// attemptTrace is what the log says about how the latest attempt was sent and answered.
type attemptTrace struct {
	listAge     time.Duration // as it was sent
	listVersion uint64        // as it was sent
	sentAfter   time.Duration // since the request arrived
	reply       *carawayspread.Reply
	echoedID    string
}

// errServerError says that the endpoint answered with a server error, and that the request is
// retried at another endpoint instead of relaying that answer.
var errServerError = errors.New("the endpoint answered with a server error")

// errIncomplete says that an attempt may have run and returned no complete answer.
var errIncomplete = errors.New("the endpoint returned no complete answer")

// errUnmarkedEnd says that the endpoint closed the connection at the end of an event, and that nothing
// proves that it was the last one.
var errUnmarkedEnd = errors.New("nothing marks the end of the endpoint's answer")

// brokenOffError says that the endpoint broke off its answer after the header.
type brokenOffError struct{ cause error }

func (e brokenOffError) Error() string   { return errors.Join(e.Unwrap()...).Error() }
func (e brokenOffError) Unwrap() []error { return []error{errIncomplete, e.cause} }

func (c *call) serve() {
	c.g.budget(c.service.Name).CountRequest(c.g.waitingSince())
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.exclude = map[carawayspread.EndpointID]bool{}
	c.lastEventID = c.metadata.LastEventID
	defer c.withdrawRetry()
	err := c.run(ctx)
	c.releaseKV()
	if err == nil {
		c.markComplete()
		c.finish("served", c.status)
		return
	}
	c.fail(ctx, err)
}

// run sends the request until it is answered or must not be retried.
func (c *call) run(ctx context.Context) error {
	for n := range maxSends {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n > 0 { // earlier attempts, or copies at peers, may have crashed endpoints since
			if refusal := c.checkQuarantine(); refusal != nil {
				return refusal
			}
			if refusal := c.checkParts(); refusal != nil {
				return refusal
			}
		}
		retry, err := c.attempt(ctx)
		if err == nil || !retry {
			return err
		}
		if c.sends > 0 && !c.spendRetry(ctx) {
			return fmt.Errorf("the retry budget is exhausted: %w", err)
		}
	}
	return errIncomplete
}

func (c *call) placementRequest() carawayspread.PlacementRequest {
	p := carawayspread.PlacementRequest{
		Route: c.route, Service: c.service, Arrived: c.arrived, Deadline: c.deadline,
		Exclude: c.g.backpressure.AddUnavailable(c.exclude), Bytes: len(c.body), Fingerprint: c.fingerprint, SingleEndpoint: c.singleEndpoint, Build: c.build,
		Admitted:     c.singleEndpoint || c.ran > 0 || c.metadata.LastEventID != "", // a stream that its caller takes up was admitted before
		TargetMissed: c.metadata.TimeLeft > 0 && c.metadata.TimeLeft < time.Duration(targetMissedShare*float64(c.route.Timeout)),
	}
	if c.service.Engine != nil {
		p.Prompt = c.metadata.Prompt
	}
	if c.handover != nil {
		p.PrefilledBy = c.handover.From.ID()
	}
	return p
}

// attempt sends the request once. It reports whether the request may be retried.
func (c *call) attempt(ctx context.Context) (retry bool, err error) {
	p, at, err := c.place()
	if err != nil {
		if c.handover != nil {
			c.singleEndpoint = true
			c.releaseKV()
			return true, err
		}
		return false, err
	}
	phase := carawayspread.PhaseWhole
	switch {
	case at.PrefillOnly:
		return c.prefill(ctx, p, at)
	case c.handover != nil:
		phase = carawayspread.PhaseDecode
	}
	c.endpoint, c.softwareVersion = at.Endpoint.ID(), at.Endpoint.Version()
	tracker := c.g.placer.Sent(p, at)
	outcome := carawayspread.OutcomeFailed
	defer func() { tracker.End(outcome) }()
	attemptCtx, stop := c.watchStall(ctx, at, tracker, c.route.Retry == carawayspread.RetryIdempotent && c.ran+1 < c.route.MaxAttempts)
	defer stop()
	sentAt := c.g.clock.Now()
	reply, err := c.send(attemptCtx, at, phase)
	switch {
	case errors.Is(err, carawayspread.ErrUnsent):
		outcome = c.recordUnsent(ctx, at)
		c.countNotRun(phase, notRunUnsent)
		c.logAttempt(at, phase, err.Error())
		return ctx.Err() == nil, err
	case isEndless(err):
		c.sends++
		c.ran++
		c.exclude[at.Endpoint.ID()] = true
		_, err = c.rejectEndless(at.Endpoint, err)
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), err
	case err != nil:
		c.sends++
		c.ran++
		outcome = c.recordFailure(ctx, attemptCtx, at, sentAt)
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), errors.Join(errIncomplete, err)
	}
	c.sends++
	kind := c.classify(reply, phase)
	c.recordFeedback(at, reply, kind, sentAt)
	if kind == carawayspread.ReplyAnswer || kind == carawayspread.ReplyNotRun {
		c.g.endpointAnsweredOver(at.Endpoint.ID(), sentAt, reply.ConnectedAt)
	}
	if phase == carawayspread.PhaseDecode {
		c.handover, c.singleEndpoint = nil, true // a handle is valid for one attempt, also a failed one
	}
	switch kind {
	case carawayspread.ReplyNotRun, carawayspread.ReplyWrongEndpoint:
		discard(reply)
		outcome = carawayspread.OutcomeRefused
		c.countNotRun(phase, strconv.Itoa(reply.Status))
		c.logAttempt(at, phase, "not run, status "+strconv.Itoa(reply.Status))
		if kind == carawayspread.ReplyWrongEndpoint {
			c.g.placer.MarkStale(at.Endpoint.ID())
		}
		if kind == carawayspread.ReplyWrongEndpoint || phase != carawayspread.PhaseDecode {
			c.exclude[at.Endpoint.ID()] = true
		}
		return true, overloaded()
	case carawayspread.ReplyInconclusive:
		discard(reply) // the next request on its connection would receive the answer to this one
		c.ran++
		c.g.set.GetOrCreateCounter(`gateway_unmatched_answers_total{phase="` + phase.String() + `"}`).Inc()
		c.logAttempt(at, phase, "no answer to this request, status "+strconv.Itoa(reply.Status))
		c.exclude[at.Endpoint.ID()] = true
		return c.mayRetry(), errIncomplete
	}
	c.ran++
	if c.route.Stream && reply.Status == http.StatusOK {
		outcome, err = c.relayStream(ctx, reply, at.Endpoint, tracker)
	} else {
		outcome, err = c.relayBuffered(ctx, reply, at.Endpoint, tracker, sentAt)
	}
	if err != nil {
		if ctx.Err() != nil {
			c.g.checkAbandoned(at.Endpoint, c.broken())
			outcome = carawayspread.OutcomeCancelled
			return false, ctx.Err()
		}
		c.exclude[at.Endpoint.ID()] = true
		if errors.As(err, &brokenOffError{}) {
			outcome = c.recordFailure(ctx, attemptCtx, at, sentAt)
		}
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), err
	}
	// While a request that many callers send is running, connections may break, minutes apart, for
	// other reasons; without this the request would be quarantined for all of them. A request that
	// crashes endpoints never succeeds, so each success removes it from quarantine, in every process. An
	// error says nothing: the endpoint may have returned it before it began to run the request.
	if carawayspread.Succeeded(reply.Status) && c.g.quarantine.Served(c.fingerprint) {
		c.g.reportAnswer(c.fingerprint)
	}
	if carawayspread.Succeeded(reply.Status) {
		c.clearParts()
	}
	return false, nil
}

// classify returns what the reply proves about the attempt.
//
// An endpoint may repeat an answer where that to the next request is due. Behind other answers of its
// connection, only one that names this request is certain to be an answer to it.
func (c *call) classify(reply *carawayspread.Reply, phase carawayspread.Phase) carawayspread.ReplyKind {
	if reply.EarlierAnswers > 0 && (c.metadata.ID == "" || c.g.protocol.EchoedID(reply) != c.metadata.ID) {
		return carawayspread.ReplyInconclusive
	}
	kind := c.g.protocol.ClassifyReply(reply, c.metadata.ID, phase)
	sentBefore := slices.Contains(c.connections, reply.Connection)
	if reply.Connection != 0 {
		c.connections = append(c.connections, reply.Connection)
	}
	if sentBefore && (kind == carawayspread.ReplyNotRun || kind == carawayspread.ReplyWrongEndpoint) {
		return carawayspread.ReplyInconclusive // it may answer that earlier attempt, which has the same identifier
	}
	return kind
}

// discard closes the body of a reply that is not relayed, and ends its connection.
//
// An endpoint may repeat an answer where that to the next request is due. Those that are discarded are few,
// so the connections cost less than the requests that would get the repeated answers.
func discard(reply *carawayspread.Reply) {
	_ = reply.Body.Close()
	reply.Retire()
}

// mayRetry reports whether the request can be retried after an attempt that may have run.
func (c *call) mayRetry() bool {
	if c.ran >= c.route.MaxAttempts || c.suspected {
		return false
	}
	switch c.route.Retry {
	case carawayspread.RetryIdempotent:
		return !c.started
	case carawayspread.RetryResume:
		return !c.started || c.build != 0
	}
	return false
}

// recordUnsent excludes an endpoint that could not be reached, and returns the attempt's outcome.
func (c *call) recordUnsent(ctx context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	if ctx.Err() != nil {
		return carawayspread.OutcomeCancelled
	}
	return carawayspread.OutcomeUnreachable
}

// send sends one attempt to its endpoint.
func (c *call) send(ctx context.Context, at carawayspread.Placement, phase carawayspread.Phase) (*carawayspread.Reply, error) {
	h := endToEnd(c.r.Header)
	if c.routing.Keyring() != nil {
		bearer.Strip(h)
	}
	attempt := carawayspread.Attempt{
		To: at.Endpoint, TimeLeft: c.deadline.Sub(c.g.clock.Now()), Phase: phase, LastEventID: c.lastEventID,
		Priority: c.route.Priority, FetchFrom: at.FetchFrom,
		Workspace: c.workspace.Name(),
	}
	if phase == carawayspread.PhaseDecode {
		attempt.Handover = *c.handover
	}
	c.g.protocol.SetAttemptHeaders(h, attempt)
	c.latest = attemptTrace{listAge: c.g.listAge(), listVersion: c.g.listVersion(), sentAfter: c.g.clock.Now().Sub(c.arrived)}
	c.beginRetry()
	reply, err := c.g.transport.Send(ctx, at.Endpoint, carawayspread.Outbound{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		Proceed: func() bool { return c.g.takesRequests(at.Endpoint) },
	})
	c.endRetry(err)
	if err == nil {
		c.latest.reply, c.latest.echoedID = reply, c.g.protocol.EchoedID(reply)
	}
	return reply, err
}

// countUsage records the request once as usage; it started running that long ago.
func (c *call) countUsage(ago time.Duration) {
	if c.usageCounted || c.workspace.Name() == "" {
		return
	}
	c.usageCounted = true
	c.g.recordUsage(c.workspace.Name(), ago)
}

// copyHeader copies the endpoint's end-to-end headers to the caller's answer.
func (c *call) copyHeader(reply *carawayspread.Reply) {
	h := c.w.Header()
	for name, values := range endToEnd(reply.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding its own
		}
	}
	h.Del("Content-Length")
	c.closeIfDraining()
}

// closeBody reads a short rest of the body, so that the connection can be reused, and closes it.
func closeBody(reply *carawayspread.Reply) {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, 4<<10))
	_ = reply.Body.Close()
}

// overloaded returns the refusal of a request that no endpoint has room for.
func overloaded() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoints have no room now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}
