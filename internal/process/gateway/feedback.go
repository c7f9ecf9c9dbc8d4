package gateway

import (
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/backpressure"
	"carawayspread/internal/process/decisionlog"
)

// maxPlacements bounds how often a request is placed again because a concurrent one used up the
// endpoint's rate.
const maxPlacements = 3

// WithFeedback sets the function that forwards an endpoint's feedback to peers, and the processes
// that share the rate an endpoint reports.
func WithFeedback(forward func(carawayspread.EndpointID, carawayspread.Feedback), fleet backpressure.Membership) Option {
	return func(g *Gateway) {
		g.forwardFeedback = forward
		g.backpressure = backpressure.New(g.clock, fleet)
	}
}

// noPeers is the fleet of a process without peers.
func noPeers() (self uint64, all []uint64) { return 0, []uint64{0} }

// ApplyPeerFeedback applies the feedback of an endpoint in an answer that a peer received.
func (g *Gateway) ApplyPeerFeedback(id carawayspread.EndpointID, f carawayspread.Feedback) {
	if g.backpressure.ObservePeerFeedback(id, f) {
		g.logFeedback(id, f, "peer")
		g.observeLeaving(id, f)
	}
}

// recordFeedback applies the endpoint's feedback in a reply to a request that was sent at sentAt.
func (c *call) recordFeedback(at carawayspread.Placement, reply *carawayspread.Reply, kind carawayspread.ReplyKind, sentAt time.Time) {
	id := at.Endpoint.ID()
	f, err := c.g.protocol.ParseFeedback(reply)
	if err != nil {
		c.g.log.Write(decisionlog.Start("feedback").Text("id", c.metadata.ID).Text("endpoint", string(id)).Text("error", err.Error()))
		return
	}
	var changed, forward bool
	switch {
	case kind == carawayspread.ReplyNotRun || kind == carawayspread.ReplyAnswer && f.RetryAfter > 0:
		changed, forward = c.g.backpressure.ObserveRefusal(id, f)
	case kind == carawayspread.ReplyAnswer:
		changed, forward = c.g.backpressure.ObserveResponse(id, sentAt, f)
	case kind == carawayspread.ReplyInconclusive:
		// An inconclusive reply may not come from the endpoint at all. It can only make this
		// process wait, and is not forwarded.
		changed, _ = c.g.backpressure.ObserveRefusal(id, carawayspread.Feedback{RetryAfter: f.RetryAfter})
	}
	if changed {
		c.g.logFeedback(id, f, "answer")
		c.g.observeLeaving(id, f)
	}
	if forward {
		c.g.forwardFeedback(id, f)
	}
}

// logFeedback logs and counts an endpoint's new feedback.
func (g *Gateway) logFeedback(id carawayspread.EndpointID, f carawayspread.Feedback, from string) {
	line := decisionlog.Start("feedback").Text("endpoint", string(id)).Text("from", from).Ms("retryAfterMs", f.RetryAfter)
	if f.Limited {
		line.Text("limit", strconv.FormatFloat(f.Rate, 'g', -1, 64))
	} else {
		line.Text("limit", "none")
	}
	if f.Draining {
		line.Text("draining", "true")
	}
	g.log.Write(line)
	g.set.GetOrCreateCounter(`gateway_feedback_changes_total{from="` + from + `"}`).Inc()
}

// place chooses an endpoint that accepts the request now.
func (c *call) place() (p carawayspread.PlacementRequest, at carawayspread.Placement, err error) {
	for range maxPlacements {
		p = c.placementRequest()
		at, err = c.g.placer.Place(p)
		c.placed = true
		if at.Admission != nil {
			c.admission = at.Admission
		}
		if at.Urgent {
			c.makeUrgent()
			p.Route = c.route
		}
		if c.firstPlacement.TimeToFirstEvent == 0 {
			c.firstPlacement = at
		}
		if err != nil {
			return p, at, c.withRetryAfter(err)
		}
		if c.g.backpressure.Take(at.Endpoint.ID()) {
			return p, at, nil
		}
	}
	return p, at, c.withRetryAfter(overloaded())
}

// withRetryAfter extends the Retry-After of a refusal until the first endpoint that is withheld
// because of its own feedback accepts requests again.
func (c *call) withRetryAfter(err error) error {
	refusal, ok := carawayspread.AsError(err)
	reopens := c.g.backpressure.TimeToAvailable((*c.g.endpoints.Load())[c.service.Name])
	if !ok || refusal.Code() != carawayspread.CodeNoEndpoint || reopens <= refusal.RetryAfter() {
		return err
	}
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoints take nothing now",
		carawayspread.NotRun(), carawayspread.RetryAfter(reopens))
}
