package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/process/decisionlog"
)

const (
	// answerLimit bounds a whole answer that is held in memory until it is
	// complete, in bytes.
	maxAnswerBytes = 8 << 20
	// mostSends bounds the loop of one request, whatever is allowed otherwise.
	maxSends = 6
	// forgetTimeout bounds the call that frees a KV cache.
	releaseTimeout = time.Second
)

// call is one request of a caller.
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
	workspace   carawayspread.Workspace // of the API key; zero where it is not known
	service     carawayspread.RoutedService
	body        []byte
	fingerprint uint64
	connBroken  bool // the caller's connection is of no more use

	exclude          map[carawayspread.EndpointID]bool
	sends            int  // attempts that may have reached an endpoint and count against the budget
	ran              int  // attempts that may have run
	retryReserved    bool // the next attempt has its place in the budget already
	singleEndpoint   bool // no more handing over
	started          bool // the header of the answer is out
	status           int  // of the answer that was passed on
	lastEventID      string
	usageCounted     bool                    // for the usage of its workspace
	handover         *carawayspread.Handover // a KV cache that nobody has taken yet
	endpoint         carawayspread.EndpointID
	prefillEndpoint  carawayspread.EndpointID
	timeToFirstEvent time.Duration
	lastEventAt      time.Time               // when the last event came; zero before the first
	maxEventGap      time.Duration           // the longest between two events
	firstPlacement   carawayspread.Placement // the first one, also where it was refused
	prefillDuration  time.Duration           // what reading for another engine took
}

// errOwn says that the endpoint answered with a failure of its own and that the
// request goes elsewhere instead of passing it on.
var errServerError = errors.New("the endpoint failed by itself")

// errBroken says that an attempt may have run and gave no whole answer.
var errIncomplete = errors.New("the endpoint gave no whole answer")

func (c *call) serve() {
	c.g.budget(c.service.Name).Took()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.exclude = map[carawayspread.EndpointID]bool{}
	c.lastEventID = c.metadata.LastEventID
	err := c.run(ctx)
	c.releaseKV()
	if err == nil {
		c.finish("served", c.status)
		return
	}
	c.fail(ctx, err)
}

// run sends the request until it has an answer or may not be sent again.
func (c *call) run(ctx context.Context) error {
	for range maxSends {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		retry, err := c.attempt(ctx)
		if err == nil || !retry {
			return err
		}
		if c.sends > 0 && !c.retryReserved && !c.g.budget(c.service.Name).Allow() {
			return fmt.Errorf("no retry is left: %w", err)
		}
		c.retryReserved = false
	}
	return errIncomplete
}

func (c *call) placementRequest() carawayspread.PlacementRequest {
	p := carawayspread.PlacementRequest{
		Route: c.route, Service: c.service, Arrived: c.arrived, Deadline: c.deadline,
		Exclude: c.g.backpressure.Withheld(c.exclude), Bytes: len(c.body), Fingerprint: c.fingerprint, SingleEndpoint: c.singleEndpoint, Admitted: c.singleEndpoint || c.ran > 0,
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

// attempt sends the request once. It reports whether the request may be sent
// again.
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
	c.endpoint = at.Endpoint.ID()
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
		c.logAttempt(at, phase, err.Error())
		return ctx.Err() == nil, err
	case err != nil:
		c.sends++
		c.ran++
		outcome = c.recordFailure(ctx, attemptCtx, at)
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), errors.Join(errIncomplete, err)
	}
	c.sends++
	kind := c.g.protocol.ClassifyReply(reply, c.metadata.ID, phase)
	c.recordFeedback(at, reply, kind, sentAt)
	if kind == carawayspread.ReplyAnswer || kind == carawayspread.ReplyNotRun {
		c.endpointAnswered(at, sentAt)
	}
	if phase == carawayspread.PhaseDecode {
		c.handover, c.singleEndpoint = nil, true // a handle is taken once, whatever came of it
	}
	switch kind {
	case carawayspread.ReplyNotRun, carawayspread.ReplyWrongEndpoint:
		closeBody(reply)
		outcome = carawayspread.OutcomeRefused
		c.logAttempt(at, phase, "not run, status "+strconv.Itoa(reply.Status))
		if kind == carawayspread.ReplyWrongEndpoint {
			c.g.placer.MarkStale(at.Endpoint.ID())
		}
		if kind == carawayspread.ReplyWrongEndpoint || phase != carawayspread.PhaseDecode {
			c.exclude[at.Endpoint.ID()] = true
		}
		return true, overloaded()
	case carawayspread.ReplyInconclusive:
		// Not read to its end, so that the connection closes: on one that is kept,
		// the answer to this request would meet the next one.
		_ = reply.Body.Close()
		c.ran++
		c.logAttempt(at, phase, "no answer to this request, status "+strconv.Itoa(reply.Status))
		c.exclude[at.Endpoint.ID()] = true
		return c.mayRetry(), errIncomplete
	}
	c.ran++
	if c.route.Stream && reply.Status == http.StatusOK {
		outcome, err = c.relayStream(reply, tracker)
	} else {
		outcome, err = c.relayBuffered(reply, tracker, sentAt)
	}
	if err != nil {
		if ctx.Err() != nil {
			outcome = carawayspread.OutcomeCancelled
			return false, ctx.Err()
		}
		c.exclude[at.Endpoint.ID()] = true
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), err
	}
	// Failure: connections break under a request that many send, minutes apart.
	// Symptom: all of them are refused for the term of a conviction. What crashes
	// endpoints is never answered, so each answer clears it, at every process.
	if c.g.quarantine.Served(c.fingerprint) {
		c.g.reportAnswer(c.fingerprint)
	}
	return false, nil
}

// mayRepeat reports whether a request of which an attempt may have run can be
// sent once more.
func (c *call) mayRetry() bool {
	if c.ran >= c.route.MaxAttempts {
		return false
	}
	switch c.route.Retry {
	case carawayspread.RetryIdempotent:
		return !c.started
	case carawayspread.RetryResume:
		return true
	}
	return false
}

// recordUnsent takes note of an endpoint that could not be reached.
func (c *call) recordUnsent(ctx context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	if ctx.Err() != nil {
		return carawayspread.OutcomeCancelled
	}
	return carawayspread.OutcomeUnreachable
}

// broke takes note of an attempt that ended without an answer after it was sent.
func (c *call) recordFailure(ctx, attemptCtx context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	switch {
	case errors.Is(context.Cause(attemptCtx), errStalled):
		return carawayspread.OutcomeFailed
	case ctx.Err() != nil:
		return carawayspread.OutcomeCancelled
	}
	c.g.placer.Crashed(at.Endpoint.ID())
	c.g.RecordCrash(c.fingerprint, at.Endpoint.ID(), false)
	c.g.reportCrash(c.fingerprint, at.Endpoint.ID(), false)
	return carawayspread.OutcomeFailed
}

// alive clears requests that the endpoint did not crash with, as it answers.
func (c *call) endpointAnswered(at carawayspread.Placement, sentAt time.Time) {
	for _, fingerprint := range c.g.quarantine.Alive(at.Endpoint.ID(), sentAt) {
		c.g.reportCrash(fingerprint, at.Endpoint.ID(), true)
	}
}

// send builds what the endpoint gets.
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
	return c.g.transport.Send(ctx, at.Endpoint, carawayspread.Outbound{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
	})
}

// whole passes an answer on once all of it is there.
func (c *call) relayBuffered(reply *carawayspread.Reply, tracker carawayspread.AttemptTracker, sentAt time.Time) (carawayspread.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	_ = reply.Body.Close()
	if err != nil {
		return carawayspread.OutcomeFailed, errors.Join(errIncomplete, err)
	}
	tracker.Answered()
	c.countUsage(c.g.clock.Now().Sub(sentAt))
	outcome := carawayspread.OutcomeServed
	if reply.Status >= http.StatusInternalServerError {
		outcome = carawayspread.OutcomeFailed
		if c.route.Retry == carawayspread.RetryIdempotent && c.mayRetry() && c.g.budget(c.service.Name).Allow() {
			c.retryReserved = true
			return outcome, errServerError
		}
	}
	if c.started {
		return carawayspread.OutcomeFailed, errIncomplete // no second answer inside a stream
	}
	c.started, c.status = true, reply.Status
	c.timeToFirstEvent = c.g.clock.Now().Sub(c.arrived)
	c.copyHeader(reply)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(reply.Status)
	_, _ = c.w.Write(body)
	return outcome, nil
}

// began counts the request, once, as one that began to run so long ago.
func (c *call) countUsage(ago time.Duration) {
	if c.usageCounted || c.workspace.Name() == "" {
		return
	}
	c.usageCounted = true
	c.g.recordUsage(c.workspace.Name(), ago)
}

// header sets the endpoint's end-to-end headers for the caller.
func (c *call) copyHeader(reply *carawayspread.Reply) {
	h := c.w.Header()
	for name, values := range endToEnd(reply.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // net/http would add its own
		}
	}
	h.Del("Content-Length")
	c.closeIfDraining()
}

func closeBody(reply *carawayspread.Reply) {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, 4<<10))
	_ = reply.Body.Close()
}

func overloaded() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoints have no room now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}
