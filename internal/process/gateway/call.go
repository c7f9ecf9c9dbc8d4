package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/eventorder"
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
	unread      io.Reader // the rest of the body of a request that was refused before it was read; nil if there is none
	fingerprint uint64
	connBroken  bool // the connection to the caller cannot be used any more

	exclude          map[carawayspread.EndpointID]bool
	full             map[carawayspread.EndpointID]bool // refused a reservation for the attempt that is being placed
	reservation      string                            // of room for the attempt; empty if there is none
	sends            int                               // attempts that may have reached an endpoint; they count against the retry budget
	ran              int                               // attempts that may have run
	retry            *fleetbudget.Retry                // spent for the next attempt; nil if none was needed yet
	retryDecision    *fleetbudget.Decision             // the latest; nil if no retry was wanted
	retryClaimed     bool                              // the latest retry was claimed
	singleEndpoint   bool                              // one endpoint must do both prefill and decode
	suspected        bool                              // a part of the prompt may have crashed the endpoint of the last attempt
	sharedParts      []uint64                          // keys of the parts of the prompt that others may share; nil until needed
	trial            bool                              // this process has claimed the trial of a part of the prompt
	started          bool                              // the header of the answer has been sent to the caller
	status           int                               // of the answer that was relayed
	framing          carawayspread.Framing             // of the answer to the caller, once started
	complete         func()                            // lets the connection to the caller end in order; nil if it may do so anyway
	verdict          eventorder.Verdict                // of the events of the answer that is relayed
	order            *eventorder.Order                 // of the events that the caller has
	build            carawayspread.BuildID             // at which the stream began; zero if it has not, or if that is unknown
	usageCounted     bool                              // the request was recorded as usage of its workspace
	handover         *carawayspread.Handover           // a KV cache that no decode engine has taken yet
	endpoint         carawayspread.EndpointID
	softwareVersion  string // of that endpoint
	prefillEndpoint  carawayspread.EndpointID
	timeToFirstEvent time.Duration
	lastEventAt      time.Time                      // zero before the first event
	maxEventGap      time.Duration                  // the longest gap between two events
	firstPlacement   carawayspread.Placement        // also set where the request was refused
	placed           bool                           // Place was called
	admission        carawayspread.AdmissionTracker // nil if it is not counted
	prefillDuration  time.Duration                  // time of the prefill on a separate engine
	connections      []uint64                       // over which the request was answered
	events           int                            // of the answer
	made             int                            // events of the run that the attempt continues, at least; zero if unknown
	heard            atomic.Int64                   // as events, for other goroutines
	move             *runMove                       // of the stream that is relayed; nil if it does not move
	moves            int                            // runs of the request that could move
	backup           *runBackup                     // of the attempt that is carried out; nil if there is none
	returning        bool                           // the attempt goes to the engine where its run has stopped
	latest           attemptTrace
	waited           time.Duration // for room at endpoints
	waitEnd          string        // how the latest wait ended; empty for none
	headBytes        int           // taken of the memory for headers of answers
}

// attemptTrace is what the log says about how the latest attempt was sent and answered.
type attemptTrace struct {
	listAge     time.Duration // as it was sent
	listVersion uint64        // as it was sent
	sentAfter   time.Duration // since the request arrived
	reply       *carawayspread.Reply
	echoedID    string
	notRun      bool // it reached no endpoint, or was refused
}

func (c *call) serve() {
	c.g.budget(c.service.Name).CountRequest(c.g.waitingSince())
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.exclude, c.full = map[carawayspread.EndpointID]bool{}, map[carawayspread.EndpointID]bool{}
	c.order = eventorder.New(c.g.steps, c.service.Name, c.metadata.LastEventID)
	defer c.order.End()
	defer c.withdrawRetry()
	defer func() { heldMemory{c.g}.Release(c.headBytes) }()
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
		Exclude: c.excluded(), Bytes: len(c.body), Fingerprint: c.fingerprint, SingleEndpoint: c.singleEndpoint, Build: c.build,
		Admitted:     c.singleEndpoint || c.ran > 0 || c.metadata.LastEventID != "", // a stream that its caller takes up was admitted before
		TargetMissed: c.metadata.TimeLeft > 0 && c.metadata.TimeLeft < time.Duration(targetMissedShare*float64(c.route.Timeout)),
		Repeated:     c.placed, Admission: c.admission,
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
	clear(c.full)
	if !c.mayBegin() {
		return false, c.drainingError()
	}
	p, at, err := c.placeInTurn(ctx)
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
	return c.carryOut(ctx, at, c.g.placer.Sent(p, at), phase)
}

// carryOut sends an attempt that was placed, and relays its answer. It reports whether the request may be retried.
func (c *call) carryOut(ctx context.Context, at carawayspread.Placement, tracker carawayspread.AttemptTracker, phase carawayspread.Phase) (retry bool, err error) {
	c.endpoint, c.softwareVersion = at.Endpoint.ID(), at.Endpoint.Version()
	outcome := carawayspread.OutcomeFailed
	defer func() { tracker.End(outcome) }()
	c.backup = c.placeBackup(at.Endpoint, phase)
	defer c.dropBackup()
	attemptCtx, stop := c.watchStall(ctx, at, tracker, c.route.Retry == carawayspread.RetryIdempotent && c.ran+1 < c.route.MaxAttempts)
	defer stop()
	attemptCtx, stopWatch := c.watchSilence(attemptCtx, at.Endpoint)
	defer stopWatch()
	sentAt := c.g.clock.Now()
	var reply *carawayspread.Reply
	var hedged *racer // nil if no second attempt may run beside this one
	if c.mayHedge() {
		hedged = c.sendHedged(ctx, attemptCtx, &racer{at: at, tracker: tracker})
		defer hedged.cancel()
		attemptCtx = hedged.ctx
		at, tracker, sentAt, reply, err = hedged.at, hedged.tracker, hedged.sentAt, hedged.reply, hedged.err
		hedged.settle()
	} else {
		reply, err = c.send(attemptCtx, at, phase)
	}
	if !errors.Is(err, carawayspread.ErrUnsent) {
		c.reservation = "" // it is used, or ends by itself
	}
	if err == nil && !c.takeHead(reply) {
		discard(reply)
		err = carawayspread.ErrNoMemory
	}
	switch {
	case errors.Is(err, carawayspread.ErrNoMemory), isMalformed(err): // the endpoint runs
		c.sends++
		c.ran++
		c.exclude[at.Endpoint.ID()] = true
		c.countMalformed(err, phase)
		c.logAttempt(at, phase, err.Error())
		return c.mayRetry(), errors.Join(errIncomplete, err)
	case errors.Is(err, carawayspread.ErrUnsent):
		outcome, c.latest.notRun = c.recordUnsent(ctx, at), true
		c.releaseReservation(at)
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
	if hedged != nil {
		c.hedged(hedged, kind)
	}
	if kind == carawayspread.ReplyAnswer || kind == carawayspread.ReplyNotRun {
		c.g.endpointAnsweredOver(at.Endpoint.ID(), sentAt, reply.ConnectedAt)
	}
	if phase == carawayspread.PhaseDecode {
		c.handover, c.singleEndpoint = nil, true // a handle is valid for one attempt, also a failed one
	}
	switch kind {
	case carawayspread.ReplyNotRun, carawayspread.ReplyWrongEndpoint:
		discard(reply)
		outcome, c.latest.notRun = carawayspread.OutcomeRefused, true
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
	if c.isStream(reply) {
		outcome, err = c.relayStream(ctx, reply, at.Endpoint, tracker)
		if next := c.takeMove(ctx, err); next != nil {
			stopWatch()
			tracker.End(carawayspread.OutcomeServed)
			return c.continueRun(ctx, next)
		}
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
		if next := c.takeBackup(ctx, attemptCtx, reply, at.Endpoint, err); next != nil {
			stopWatch()
			tracker.End(outcome)
			return c.continueRun(ctx, next)
		}
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

// mayRetry reports whether the request can be retried after an attempt that may have run.
func (c *call) mayRetry() bool {
	if c.ran >= c.route.MaxAttempts || c.suspected {
		return false
	}
	switch c.route.Retry {
	case carawayspread.RetryIdempotent:
		return !c.started
	case carawayspread.RetryResume:
		return !c.started || c.build != 0 && c.order.GoesOn()
	}
	return false
}
