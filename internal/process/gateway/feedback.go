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
func WithFeedback(tell func(carawayspread.EndpointID, carawayspread.Feedback), fleet backpressure.Fleet) Option {
	return func(g *Gateway) {
		g.tellFeedback = tell
		g.backpressure = backpressure.New(g.clock, fleet)
	}
}

// alone is the fleet of a process that has no peers.
func alone() (self uint64, all []uint64) { return 0, []uint64{0} }

// FeedbackHeard takes what an answer to a peer says of its endpoint.
func (g *Gateway) FeedbackHeard(id carawayspread.EndpointID, f carawayspread.Feedback) {
	if g.backpressure.Heard(id, f) {
		g.logFeedback(id, f, "peer")
	}
}

// feedback takes what a reply, sent for at that moment, says of its endpoint.
func (c *call) feedback(at carawayspread.Placement, reply *carawayspread.Reply, verdict carawayspread.Verdict, sent time.Time) {
	id := at.Endpoint.ID()
	f, err := c.g.protocol.Feedback(reply)
	if err != nil {
		c.g.log.Write(decisionlog.Start("feedback").Text("id", c.ask.ID).Text("endpoint", string(id)).Text("error", err.Error()))
		return
	}
	var changed, tell bool
	switch verdict {
	case carawayspread.VerdictAnswer:
		changed, tell = c.g.backpressure.Answered(id, sent, f)
	case carawayspread.VerdictNotRun:
		changed, tell = c.g.backpressure.Refused(id, f)
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
	line := decisionlog.Start("feedback").Text("endpoint", string(id)).Text("from", from)
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
func (c *call) place() (p carawayspread.Placing, at carawayspread.Placement, err error) {
	for range mostPlacings {
		p = c.placing()
		at, err = c.g.placer.Place(p)
		if c.expected.First == 0 {
			c.expected = at
		}
		if err != nil || c.g.backpressure.Take(at.Endpoint.ID()) {
			return p, at, err
		}
	}
	return p, at, busy()
}
