package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

// maxHandoverBytes bounds the answer to a prefill, which names a KV cache.
const maxHandoverBytes = 64 << 10

// prefill has one engine prefill the prompt for a decode engine. After a success, err is
// errPrefilled and retry is true, so that the next attempt decodes.
func (c *call) prefill(ctx context.Context, p carawayspread.PlacementRequest, at carawayspread.Placement) (retry bool, err error) {
	c.prefillEndpoint = at.Endpoint.ID()
	tracker := c.g.placer.Sent(p, at)
	outcome := carawayspread.OutcomeFailed
	defer func() { tracker.End(outcome) }()
	attemptCtx, stop := c.watchStall(ctx, at, tracker, true)
	defer stop()
	sentAt := c.g.clock.Now()
	reply, err := c.send(attemptCtx, at, carawayspread.PhasePrefill)
	c.singleEndpoint = true // reset below if the prefill succeeds
	if errors.Is(err, carawayspread.ErrUnsent) {
		outcome = c.recordUnsent(ctx, at)
		c.logAttempt(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	c.sends++
	if isEndless(err) || isMalformed(err) { // the endpoint runs
		c.exclude[at.Endpoint.ID()] = true
		if isEndless(err) {
			_, err = c.rejectEndless(at.Endpoint, err)
		}
		c.countMalformed(err, carawayspread.PhasePrefill)
		c.logAttempt(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	if err != nil {
		outcome = c.recordFailure(ctx, attemptCtx, at, sentAt)
		c.logAttempt(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	kind := c.classify(reply, carawayspread.PhasePrefill)
	c.recordFeedback(at, reply, kind, sentAt)
	if kind == carawayspread.ReplyAnswer {
		c.g.endpointAnsweredOver(at.Endpoint.ID(), sentAt, reply.ConnectedAt)
	}
	if kind == carawayspread.ReplyWrongEndpoint {
		c.g.placer.MarkStale(at.Endpoint.ID())
	}
	if kind != carawayspread.ReplyAnswer || reply.Status != http.StatusOK {
		discard(reply)
		outcome = carawayspread.OutcomeRefused
		c.exclude[at.Endpoint.ID()] = true
		c.logAttempt(at, carawayspread.PhasePrefill, "no prefill, status "+strconv.Itoa(reply.Status))
		return true, overloaded()
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxHandoverBytes))
	_ = reply.Body.Close()
	if err != nil {
		outcome = c.recordFailure(ctx, attemptCtx, at, sentAt)
		c.logAttempt(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	handover, err := c.g.protocol.ParseHandover(body, at.Endpoint)
	if err != nil {
		if reply.Framing == carawayspread.FramingClose {
			outcome = c.recordFailure(ctx, attemptCtx, at, sentAt)
		}
		c.logAttempt(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	tracker.Answered()
	c.prefillDuration = c.g.clock.Now().Sub(sentAt)
	outcome = carawayspread.OutcomeServed
	c.handover, c.singleEndpoint = &handover, false
	c.sends--
	return true, errPrefilled
}

// errPrefilled keeps the loop of run going after a prefill, which gives no answer yet.
var errPrefilled = errors.New("the prompt was prefilled and not decoded yet")

// releaseKV frees a KV cache that no decode engine took.
func (c *call) releaseKV() {
	if c.handover == nil {
		return
	}
	handover := *c.handover
	c.handover = nil
	c.g.releaseHandover(handover)
}

// releaseHandover frees a KV cache.
func (g *Gateway) releaseHandover(handover carawayspread.Handover) {
	if !g.backpressure.Take(handover.From.ID()) {
		return // the engine drops the cache by itself after a while
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply, err := g.transport.Send(ctx, handover.From, g.protocol.ReleaseKV(handover))
		if err != nil {
			g.log.Write(decisionlog.Start("forget").Text("endpoint", string(handover.From.ID())).Text("error", err.Error()))
			return
		}
		if g.protocol.EchoedID(reply) != "" { // the answer to a request; that to this call is still to come
			discard(reply)
			return
		}
		closeBody(reply)
	}()
}
