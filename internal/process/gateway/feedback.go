package gateway

import (
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/backpressure"
	"carawayspread/internal/process/decisionlog"
)

// mostPlacings bounds how often a request is placed anew because another one took the
// endpoint's last place meanwhile.
const mostPlacings = 3

// WithFeedback sets what tells peers of an endpoint's feedback, and which processes
// share the rate that one names.
func WithFeedback(tell func(carawayspread.EndpointID, carawayspread.Feedback), fleet backpressure.Membership) Option {
	return func(g *Gateway) {
		g.tellFeedback = tell
		g.backpressure = backpressure.New(g.clock, fleet)
	}
}

// alone is the fleet of a process that has no peers.
func alone() (self uint64, all []uint64) { return 0, []uint64{0} }

// FeedbackHeard takes what an answer to a peer says of its endpoint.
func (g *Gateway) FeedbackHeard(id carawayspread.EndpointID, f carawayspread.Feedback) {
	if g.backpressure.ObservePeerFeedback(id, f) {
		g.logFeedback(id, f, "peer")
	}
}

// feedback takes what a reply, sent for at that moment, says of its endpoint.
func (c *call) feedback(at carawayspread.Placement, reply *carawayspread.Reply, verdict carawayspread.ReplyKind, sent time.Time) {
	id := at.Endpoint.ID()
	f, err := c.g.protocol.ParseFeedback(reply)
	if err != nil {
		c.g.log.Write(decisionlog.Start("feedback").Text("id", c.ask.ID).Text("endpoint", string(id)).Text("error", err.Error()))
		return
	}
	var changed, tell bool
	switch {
	case verdict == carawayspread.ReplyNotRun || verdict == carawayspread.ReplyAnswer && f.RetryAfter > 0:
		changed, tell = c.g.backpressure.ObserveRefusal(id, f)
	case verdict == carawayspread.ReplyAnswer:
		changed, tell = c.g.backpressure.ObserveResponse(id, sent, f)
	case verdict == carawayspread.ReplyInconclusive:
		// What is no answer to this request may be no answer at all: the most that it
		// can do is to have this process wait.
		changed, _ = c.g.backpressure.ObserveRefusal(id, carawayspread.Feedback{RetryAfter: f.RetryAfter})
	}
	if changed {
		c.g.logFeedback(id, f, "answer")
	}
	if tell {
		c.g.tellFeedback(id, f)
	}
}

// logFeedback writes what an endpoint says of itself from now on.
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

// place chooses an endpoint that takes the request now.
func (c *call) place() (p carawayspread.PlacementRequest, at carawayspread.Placement, err error) {
	for range mostPlacings {
		p = c.placing()
		at, err = c.g.placer.Place(p)
		if c.expected.TimeToFirstEvent == 0 {
			c.expected = at
		}
		if err != nil {
			return p, at, c.untilOpen(err)
		}
		if c.g.backpressure.Take(at.Endpoint.ID()) {
			return p, at, nil
		}
	}
	return p, at, c.untilOpen(busy())
}

// untilOpen tells a caller whom no endpoint takes to come back when the first of those
// that asked for less opens again.
func (c *call) untilOpen(err error) error {
	refusal, ok := carawayspread.AsError(err)
	opens := c.g.backpressure.TimeToAvailable((*c.g.listed.Load())[c.service.Name])
	if !ok || refusal.Code() != carawayspread.CodeNoEndpoint || opens <= refusal.RetryAfter() {
		return err
	}
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoints take nothing now",
		carawayspread.NotRun(), carawayspread.RetryAfter(opens))
}
