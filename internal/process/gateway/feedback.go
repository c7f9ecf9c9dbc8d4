package gateway

import (
	"strconv"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

// feedback takes what a reply says of its endpoint, and logs what is new.
func (c *call) feedback(at carawayspread.Placement, reply *carawayspread.Reply) {
	id := at.Endpoint.ID()
	f, err := c.g.protocol.Feedback(reply)
	if err != nil {
		c.g.log.Write(decisionlog.Start("feedback").Text("id", c.ask.ID).Text("endpoint", string(id)).Text("error", err.Error()))
		return
	}
	if c.g.backpressure.Answered(id, f) {
		c.g.logFeedback(id, f)
	}
}

// logFeedback writes what an endpoint says of itself from now on.
func (g *Gateway) logFeedback(id carawayspread.EndpointID, f carawayspread.Feedback) {
	line := decisionlog.Start("feedback").Text("endpoint", string(id))
	if f.Limited {
		line.Text("limit", strconv.FormatFloat(f.Rate, 'g', -1, 64))
	} else {
		line.Text("limit", "none")
	}
	g.log.Write(line)
	g.set.GetOrCreateCounter(`gateway_feedback_changes_total`).Inc()
}
