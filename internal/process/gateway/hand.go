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

// hand has the prompt read by one engine for another.
func (c *call) hand(ctx context.Context, p carawayspread.PlacementRequest, at carawayspread.Placement) (again bool, err error) {
	c.reader = at.Endpoint.ID()
	stay := c.g.placer.Sent(p, at)
	outcome := carawayspread.OutcomeFailed
	defer func() { stay.End(outcome) }()
	within, stop := c.patience(ctx, at, stay, true)
	defer stop()
	sent := c.g.clock.Now()
	reply, err := c.send(within, at, carawayspread.PhasePrefill)
	c.direct = true // unless it succeeds
	if errors.Is(err, carawayspread.ErrUnsent) {
		outcome = c.unsent(ctx, at)
		c.note(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	c.arrivals++
	if err != nil {
		outcome = c.broke(ctx, within, at)
		c.note(at, carawayspread.PhasePrefill, err.Error())
		return ctx.Err() == nil, err
	}
	verdict := c.g.protocol.ClassifyReply(reply, c.ask.ID, carawayspread.PhasePrefill)
	c.feedback(at, reply, verdict, sent)
	if verdict == carawayspread.ReplyAnswer {
		c.alive(at, sent)
	}
	if verdict == carawayspread.ReplyWrongEndpoint {
		c.g.placer.MarkStale(at.Endpoint.ID())
	}
	if verdict != carawayspread.ReplyAnswer || reply.Status != http.StatusOK {
		closeBody(reply)
		outcome = carawayspread.OutcomeRefused
		c.exclude[at.Endpoint.ID()] = true
		c.note(at, carawayspread.PhasePrefill, "not read, status "+strconv.Itoa(reply.Status))
		return true, busy()
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerLimit))
	_ = reply.Body.Close()
	if err == nil {
		var handover carawayspread.Handover
		if handover, err = c.g.protocol.ParseHandover(body, at.Endpoint); err == nil {
			stay.Answered()
			c.reading = c.g.clock.Now().Sub(sent)
			outcome = carawayspread.OutcomeServed
			c.held, c.direct = &handover, false
			c.arrivals--
			return true, errRead
		}
	}
	return ctx.Err() == nil, err
}

// errRead keeps the loop of run going after a prompt was read.
var errRead = errors.New("the prompt was read and not answered")

// forget frees a KV cache that nobody took.
func (c *call) forget() {
	if c.held == nil {
		return
	}
	held := *c.held
	c.held = nil
	if !c.g.backpressure.Take(held.From.ID()) {
		return // the engine drops it by itself after a while
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), forgetTimeout)
		defer cancel()
		reply, err := c.g.exchange.Send(ctx, held.From, c.g.protocol.ReleaseKV(held))
		if err != nil {
			c.g.log.Write(decisionlog.Start("forget").Text("endpoint", string(held.From.ID())).Text("error", err.Error()))
			return
		}
		closeBody(reply)
	}()
}
