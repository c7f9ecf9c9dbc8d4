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
	answerLimit = 8 << 20
	// mostSends bounds the loop of one request, whatever is allowed otherwise.
	mostSends = 6
	// forgetTimeout bounds the call that frees a KV cache.
	forgetTimeout = time.Second
)

// call is one request of a caller.
type call struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	line        *decisionlog.Line
	arrived     time.Time
	deadline    time.Time
	ask         carawayspread.RequestMetadata
	routing     *carawayspread.Routing
	route       *carawayspread.Route
	workspace   carawayspread.Workspace // of the API key; zero where it is not known
	service     carawayspread.RoutedService
	body        []byte
	fingerprint uint64
	gone        bool // the caller's connection is of no more use

	exclude  map[carawayspread.EndpointID]bool
	arrivals int  // attempts that may have reached an endpoint and count against the budget
	ran      int  // attempts that may have run
	paid     bool // the next attempt has its place in the budget already
	direct   bool // no more handing over
	started  bool // the header of the answer is out
	status   int  // of the answer that was passed on
	last     string
	counted  bool                    // for the usage of its workspace
	held     *carawayspread.Handover // a KV cache that nobody has taken yet
	answer   carawayspread.EndpointID
	reader   carawayspread.EndpointID
	first    time.Duration
	event    time.Time               // when the last event came; zero before the first
	pause    time.Duration           // the longest between two events
	expected carawayspread.Placement // the first one, also where it was refused
	reading  time.Duration           // what reading for another engine took
}

// errOwn says that the endpoint answered with a failure of its own and that the
// request goes elsewhere instead of passing it on.
var errOwn = errors.New("the endpoint failed by itself")

// errBroken says that an attempt may have run and gave no whole answer.
var errBroken = errors.New("the endpoint gave no whole answer")

func (c *call) serve() {
	c.g.budget(c.service.Name).CountRequest()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.exclude = map[carawayspread.EndpointID]bool{}
	c.last = c.ask.LastEventID
	err := c.run(ctx)
	c.forget()
	if err == nil {
		c.finish("served", c.status)
		return
	}
	c.fail(ctx, err)
}

// run sends the request until it has an answer or may not be sent again.
func (c *call) run(ctx context.Context) error {
	for range mostSends {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		again, err := c.attempt(ctx)
		if err == nil || !again {
			return err
		}
		if c.arrivals > 0 && !c.paid && !c.g.budget(c.service.Name).Allow() {
			return fmt.Errorf("no retry is left: %w", err)
		}
		c.paid = false
	}
	return errBroken
}

func (c *call) placing() carawayspread.PlacementRequest {
	p := carawayspread.PlacementRequest{
		Route: c.route, Service: c.service, Arrived: c.arrived, Deadline: c.deadline,
		Exclude: c.g.backpressure.AddUnavailable(c.exclude), Bytes: len(c.body), Fingerprint: c.fingerprint, SingleEndpoint: c.direct, Admitted: c.direct || c.ran > 0,
		TargetMissed: c.ask.TimeLeft > 0 && c.ask.TimeLeft < time.Duration(lateShare*float64(c.route.Timeout)),
	}
	if c.service.Engine != nil {
		p.Prompt = c.ask.Prompt
	}
	if c.held != nil {
		p.PrefilledBy = c.held.From.ID()
	}
	return p
}

// attempt sends the request once. It reports whether the request may be sent
// again.
func (c *call) attempt(ctx context.Context) (again bool, err error) {
	p, at, err := c.place()
	if err != nil {
		if c.held != nil {
			c.direct = true
			c.forget()
			return true, err
		}
		return false, err
	}
	phase := carawayspread.PhaseWhole
	switch {
	case at.PrefillOnly:
		return c.hand(ctx, p, at)
	case c.held != nil:
		phase = carawayspread.PhaseDecode
	}
	c.answer = at.Endpoint.ID()
	stay := c.g.placer.Sent(p, at)
	outcome := carawayspread.OutcomeFailed
	defer func() { stay.End(outcome) }()
	within, stop := c.patience(ctx, at, stay, c.route.Retry == carawayspread.RetryIdempotent && c.ran+1 < c.route.MaxAttempts)
	defer stop()
	sent := c.g.clock.Now()
	reply, err := c.send(within, at, phase)
	switch {
	case errors.Is(err, carawayspread.ErrUnsent):
		outcome = c.unsent(ctx, at)
		c.note(at, phase, err.Error())
		return ctx.Err() == nil, err
	case err != nil:
		c.arrivals++
		c.ran++
		outcome = c.broke(ctx, within, at)
		c.note(at, phase, err.Error())
		return c.mayRepeat(), errors.Join(errBroken, err)
	}
	c.arrivals++
	verdict := c.g.protocol.ClassifyReply(reply, c.ask.ID, phase)
	c.feedback(at, reply, verdict, sent)
	if verdict == carawayspread.ReplyAnswer || verdict == carawayspread.ReplyNotRun {
		c.alive(at, sent)
	}
	if phase == carawayspread.PhaseDecode {
		c.held, c.direct = nil, true // a handle is taken once, whatever came of it
	}
	switch verdict {
	case carawayspread.ReplyNotRun, carawayspread.ReplyWrongEndpoint:
		closeBody(reply)
		outcome = carawayspread.OutcomeRefused
		c.note(at, phase, "not run, status "+strconv.Itoa(reply.Status))
		if verdict == carawayspread.ReplyWrongEndpoint {
			c.g.placer.MarkStale(at.Endpoint.ID())
		}
		if verdict == carawayspread.ReplyWrongEndpoint || phase != carawayspread.PhaseDecode {
			c.exclude[at.Endpoint.ID()] = true
		}
		return true, busy()
	case carawayspread.ReplyInconclusive:
		// Not read to its end, so that the connection closes: on one that is kept,
		// the answer to this request would meet the next one.
		_ = reply.Body.Close()
		c.ran++
		c.note(at, phase, "no answer to this request, status "+strconv.Itoa(reply.Status))
		c.exclude[at.Endpoint.ID()] = true
		return c.mayRepeat(), errBroken
	}
	c.ran++
	if c.route.Stream && reply.Status == http.StatusOK {
		outcome, err = c.stream(reply, stay)
	} else {
		outcome, err = c.whole(reply, stay, sent)
	}
	if err != nil {
		if ctx.Err() != nil {
			outcome = carawayspread.OutcomeCancelled
			return false, ctx.Err()
		}
		c.exclude[at.Endpoint.ID()] = true
		c.note(at, phase, err.Error())
		return c.mayRepeat(), err
	}
	// Failure: connections break under a request that many send, minutes apart.
	// Symptom: all of them are refused for the term of a conviction. What crashes
	// endpoints is never answered, so each answer clears it, at every process.
	if c.g.quarantine.Served(c.fingerprint) {
		c.g.answered(c.fingerprint)
	}
	return false, nil
}

// mayRepeat reports whether a request of which an attempt may have run can be
// sent once more.
func (c *call) mayRepeat() bool {
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

// unsent takes note of an endpoint that could not be reached.
func (c *call) unsent(ctx context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	if ctx.Err() != nil {
		return carawayspread.OutcomeCancelled
	}
	return carawayspread.OutcomeUnreachable
}

// broke takes note of an attempt that ended without an answer after it was sent.
func (c *call) broke(ctx, within context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	switch {
	case errors.Is(context.Cause(within), errHeld):
		return carawayspread.OutcomeFailed
	case ctx.Err() != nil:
		return carawayspread.OutcomeCancelled
	}
	c.g.placer.Crashed(at.Endpoint.ID())
	c.g.Crashed(c.fingerprint, at.Endpoint.ID(), false)
	c.g.crashed(c.fingerprint, at.Endpoint.ID(), false)
	return carawayspread.OutcomeFailed
}

// alive clears requests that the endpoint did not crash with, as it answers.
func (c *call) alive(at carawayspread.Placement, sent time.Time) {
	for _, fingerprint := range c.g.quarantine.EndpointAnswered(at.Endpoint.ID(), sent) {
		c.g.crashed(fingerprint, at.Endpoint.ID(), true)
	}
}

// send builds what the endpoint gets.
func (c *call) send(ctx context.Context, at carawayspread.Placement, phase carawayspread.Phase) (*carawayspread.Reply, error) {
	h := endToEnd(c.r.Header)
	if c.routing.Keyring() != nil {
		bearer.Strip(h)
	}
	attempt := carawayspread.Attempt{
		To: at.Endpoint, TimeLeft: c.deadline.Sub(c.g.clock.Now()), Phase: phase, LastEventID: c.last,
		Priority: c.route.Priority, FetchFrom: at.FetchFrom,
		Workspace: c.workspace.Name(),
	}
	if phase == carawayspread.PhaseDecode {
		attempt.Handover = *c.held
	}
	c.g.protocol.SetAttemptHeaders(h, attempt)
	return c.g.exchange.Send(ctx, at.Endpoint, carawayspread.Outbound{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
	})
}

// whole passes an answer on once all of it is there.
func (c *call) whole(reply *carawayspread.Reply, stay carawayspread.AttemptTracker, sent time.Time) (carawayspread.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerLimit))
	_ = reply.Body.Close()
	if err != nil {
		return carawayspread.OutcomeFailed, errors.Join(errBroken, err)
	}
	stay.Answered()
	c.began(c.g.clock.Now().Sub(sent))
	outcome := carawayspread.OutcomeServed
	if reply.Status >= http.StatusInternalServerError {
		outcome = carawayspread.OutcomeFailed
		if c.route.Retry == carawayspread.RetryIdempotent && c.mayRepeat() && c.g.budget(c.service.Name).Allow() {
			c.paid = true
			return outcome, errOwn
		}
	}
	if c.started {
		return carawayspread.OutcomeFailed, errBroken // no second answer inside a stream
	}
	c.started, c.status = true, reply.Status
	c.first = c.g.clock.Now().Sub(c.arrived)
	c.header(reply)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(reply.Status)
	_, _ = c.w.Write(body)
	return outcome, nil
}

// began counts the request, once, as one that began to run so long ago.
func (c *call) began(ago time.Duration) {
	if c.counted || c.workspace.Name() == "" {
		return
	}
	c.counted = true
	c.g.began(c.workspace.Name(), ago)
}

// header sets the endpoint's end-to-end headers for the caller.
func (c *call) header(reply *carawayspread.Reply) {
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
	c.lastOfConnection()
}

func closeBody(reply *carawayspread.Reply) {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, 4<<10))
	_ = reply.Body.Close()
}

func busy() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoints have no room now",
		carawayspread.NotRun(), carawayspread.RetryAfter(comeBack))
}
