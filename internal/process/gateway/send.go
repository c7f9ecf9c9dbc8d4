package gateway

import (
	"context"
	"io"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/bearer"
)

// recordUnsent excludes an endpoint that could not be reached, and returns the attempt's outcome.
func (c *call) recordUnsent(ctx context.Context, at carawayspread.Placement) carawayspread.Outcome {
	c.exclude[at.Endpoint.ID()] = true
	if ctx.Err() != nil || !c.mayBegin() {
		return carawayspread.OutcomeCancelled
	}
	return carawayspread.OutcomeUnreachable
}

// outbound returns one attempt as it is sent now.
func (c *call) outbound(at carawayspread.Placement, phase carawayspread.Phase) carawayspread.Outbound {
	h := endToEnd(c.r.Header)
	if c.routing.Keyring() != nil {
		bearer.Strip(h)
	}
	attempt := carawayspread.Attempt{
		To: at.Endpoint, TimeLeft: c.deadline.Sub(c.g.clock.Now()), Phase: phase, LastEventID: c.order.Last(),
		Priority: c.route.Priority, FetchFrom: at.FetchFrom, Reservation: c.reservation,
		Workspace: c.workspace.Name(), Backup: c.backup.endpoint(),
	}
	if phase == carawayspread.PhaseDecode {
		attempt.Handover = *c.handover
	}
	c.g.protocol.SetAttemptHeaders(h, attempt)
	c.latest = attemptTrace{listAge: c.g.listAge(), listVersion: c.g.listVersion(), sentAfter: c.g.clock.Now().Sub(c.arrived)}
	begun := c.begun() // not read later: two attempts may run at the same time
	return carawayspread.Outbound{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		Proceed: func() bool { return (begun || c.finishesInTime()) && c.mayReceive(at.Endpoint) },
	}
}

// send sends one attempt to its endpoint.
func (c *call) send(ctx context.Context, at carawayspread.Placement, phase carawayspread.Phase) (*carawayspread.Reply, error) {
	out := c.outbound(at, phase)
	c.beginRetry()
	reply, err := c.g.transport.Send(ctx, at.Endpoint, out)
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
