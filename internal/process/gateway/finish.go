package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"carawayspread"
	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/hopbyhop"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/process/decisionlog"
)

// endToEnd returns a copy without hop-by-hop headers, Content-Length and Expect.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	hopbyhop.Strip(out)
	delete(out, "Content-Length")
	delete(out, "Expect")
	return out
}

// shuttingDown reports whether the request is abandoned because the process is ending.
func (c *call) shuttingDown() bool {
	return errors.Is(context.Cause(c.r.Context()), carawayspread.ErrShutdown)
}

// fail gives the final answer to a request that has no complete answer from an endpoint.
func (c *call) fail(ctx context.Context, err error) {
	switch {
	case c.r.Context().Err() != nil && !c.shuttingDown():
		c.finish("callerLeft", 0)
		panic(http.ErrAbortHandler)
	case c.started:
		// The answer broke off and cannot be resumed. No HTTP client takes this end for that of a
		// complete answer.
		c.line.Text("error", err.Error())
		c.finish("cut", 0)
		if c.framing == carawayspread.FramingClose {
			callers.Reset(c.w)
		}
		panic(http.ErrAbortHandler)
	case c.ran == 0:
		c.writeError(c.notRunError(ctx, err))
	case ctx.Err() != nil:
		c.writeError(carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "no answer in time",
			carawayspread.CausedBy(fmt.Errorf("%w: %w", context.Cause(ctx), err))))
	default:
		c.writeError(carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint gave no whole answer", carawayspread.CausedBy(err)))
	}
}

// notRunError returns the refusal of a request that provably has not run.
func (c *call) notRunError(ctx context.Context, err error) *carawayspread.Error {
	if refusal, ok := carawayspread.AsError(err); ok && refusal.NotRun() {
		return refusal
	}
	if c.shuttingDown() {
		return c.drainingError()
	}
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return carawayspread.NewError(carawayspread.CodeOverloaded, "no endpoint took the request in time",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(err))
	}
	return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint took the request",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(err))
}

// drainingError returns the refusal of a request that the process cannot answer before it ends.
func (c *call) drainingError() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeDraining, "this process is leaving",
		carawayspread.NotRun(), carawayspread.RetryAfter(c.g.drainRetryDelay()))
}

// fingerprintText returns a fingerprint for log lines. It depends only on path and body, so it
// stays the same when the caller sends the request again under another identifier.
func fingerprintText(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 36) }

// recordEnd counts how an endpoint's answer ended, and adds it to the request's log line where its
// framing does not prove that it is complete, or an incomplete event of rest bytes was left.
func (c *call) recordEnd(reply *carawayspread.Reply, rest int, err error) {
	end := "closed"
	switch {
	case errors.Is(err, openai.ErrInsideEvent):
		end = "inEvent"
	case errors.Is(err, errEndpointGone):
		end = "gone"
	case errors.Is(err, carawayspread.ErrUnproved):
		end = "unproved"
	case err != nil:
		end = "broken"
	}
	c.g.set.GetOrCreateCounter(`gateway_answer_ends_total{framing="` + reply.Framing.String() + `",end="` + end + `"}`).Inc()
	if reply.Framing == carawayspread.FramingClose || rest > 0 {
		c.line.Text("framing", reply.Framing.String()).Text("end", end).Int("rest", int64(rest))
	}
}

// logAttempt logs and counts an attempt that returned no complete answer.
func (c *call) logAttempt(at carawayspread.Placement, phase carawayspread.Phase, why string) {
	line := decisionlog.Start("attempt").Text("id", c.metadata.ID).Text("endpoint", string(at.Endpoint.ID())).Text("build", at.Endpoint.Version()).
		Text("request", fingerprintText(c.fingerprint)).Text("phase", phase.String()).Text("why", why).Int("sends", int64(c.sends)).Int("ran", int64(c.ran)).
		Ms("sinceMs", c.g.clock.Now().Sub(c.arrived)).Ms("expectedMs", at.TimeToFirstEvent).Ms("leftMs", c.deadline.Sub(c.g.clock.Now())).
		Ms("sentMs", c.latest.sentAfter).Ms("listAgeMs", c.latest.listAge).Int("list", int64(c.latest.listVersion))
	if c.started {
		line.Text("lastEvent", c.order.Last()).Int("events", int64(c.events))
	}
	if reply := c.latest.reply; reply != nil {
		echoed := c.latest.echoedID
		if echoed == "" {
			echoed = "none"
		}
		line.Text("echoed", echoed).Int("conn", int64(reply.Connection)).Int("earlier", int64(reply.EarlierAnswers))
	}
	c.g.log.Write(line)
	c.g.set.GetOrCreateCounter(`gateway_failed_attempts_total{phase="` + phase.String() + `"}`).Inc()
}

func isMalformed(err error) bool { return errors.Is(err, carawayspread.ErrMalformed) }

// countMalformed counts an attempt that failed with err if its answer was malformed.
func (c *call) countMalformed(err error, phase carawayspread.Phase) {
	if isMalformed(err) {
		c.g.set.GetOrCreateCounter(`gateway_malformed_answers_total{phase="` + phase.String() + `"}`).Inc()
	}
}

// notRunUnsent is the reason of attempts that reached no endpoint, in metrics.
const notRunUnsent = "unsent"

// countNotRun counts an attempt that provably has not run, by the status of its refusal or notRunUnsent.
func (c *call) countNotRun(phase carawayspread.Phase, reason string) {
	c.g.set.GetOrCreateCounter(`gateway_attempts_not_run_total{phase="` + phase.String() + `",reason="` + reason + `"}`).Inc()
}

// writeError answers the request with an error of the gateway's own.
func (c *call) writeError(err *carawayspread.Error) {
	c.line.Text("error", err.Error())
	outcome := "failed"
	if err.NotRun() {
		outcome = "refused"
	}
	c.finish(outcome, err.Code().Status())
	if c.connBroken {
		panic(http.ErrAbortHandler)
	}
	c.closeIfDraining()
	if err.Code() == carawayspread.CodeUnauthenticated {
		c.w.Header().Set("WWW-Authenticate", bearer.Challenge)
	}
	if c.unread != nil {
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	c.g.protocol.WriteError(c.w, err)
	c.discardUnread()
}

// closeIfDraining makes the caller of a draining process, or of one whose processor cannot keep up, open a
// new connection for its next request, so that it reaches another process.
func (c *call) closeIfDraining() {
	if c.g.drain.Load() != nil || c.g.reconnect() {
		c.w.Header().Set("Connection", "close")
	}
}

// logAdmission adds to the request's log line how its expected time was judged, and counts its outcome
// by size.
func (c *call) logAdmission(route, outcome string) {
	at := c.firstPlacement
	if at.Allowed == 0 {
		return
	}
	size := strconv.Itoa(at.SizeClass)
	c.line.Ms("allowedMs", at.Allowed).Text("size", size).Text("owed", strconv.FormatFloat(at.Owed, 'f', 2, 64))
	if c.placementRequest().TargetMissed {
		c.line.Text("again", "true")
	}
	if at.Urgent {
		c.line.Text("urgent", "true")
	}
	c.g.set.GetOrCreateCounter(`gateway_judged_requests_total{route="` + route + `",size="` + size + `",outcome="` + outcome + `"}`).Inc()
}

// endAdmission records whether an admitted request was served.
func (c *call) endAdmission(outcome string, status int) {
	if c.admission != nil {
		c.admission.End(outcome == "served" && carawayspread.Succeeded(status))
	}
}

// finish writes the request's log line and updates the metrics.
func (c *call) finish(outcome string, status int) {
	now := c.g.clock.Now()
	route := "none"
	if c.route != nil {
		route = c.route.Name
	}
	took := now.Sub(c.arrived)
	line := c.line.Text("outcome", outcome).Int("status", int64(status)).
		Text("service", c.service.Name).Text("reader", string(c.prefillEndpoint)).Text("endpoint", string(c.endpoint)).Text("build", c.softwareVersion).
		Int("sends", int64(c.sends)).Ms("expectedMs", c.firstPlacement.TimeToFirstEvent).Ms("waitMs", c.firstPlacement.QueueTime).Ms("workMs", c.firstPlacement.PrefillTime).
		Ms("readMs", c.prefillDuration).Ms("firstMs", c.timeToFirstEvent).Ms("pauseMs", c.maxEventGap).Ms("tookMs", took).
		Int("found", int64(c.firstPlacement.CachedTokens)).Ms("listAgeMs", c.g.listAge()).Int("list", int64(c.g.listVersion()))
	c.logRetryDecision()
	if c.route != nil {
		line.Ms("targetMs", c.route.TargetLatency)
	}
	if c.started && c.route.Stream {
		line.Text("lastEvent", c.order.Last()).Int("events", int64(c.events))
	}
	if c.metadata.LastEventID != "" {
		line.Text("resumes", c.metadata.Resumes).Text("after", c.metadata.LastEventID)
	}
	if c.waitEnd != "" {
		line.Text("waited", c.waitEnd).Ms("waitedMs", c.waited)
	}
	c.logAdmission(route, outcome)
	c.endAdmission(outcome, status)
	if outcome == "refused" {
		line.Text("best", string(c.firstPlacement.Endpoint.ID()))
	}
	line.Text("request", fingerprintText(c.fingerprint))
	if c.metadata.TimeLeft > 0 {
		line.Ms("leftMs", c.metadata.TimeLeft)
	}
	if p := c.metadata.Prompt; p != nil {
		if hashes := p.PrefixHashes(); len(hashes) > 1 {
			line.Text("prefix", strconv.FormatUint(hashes[len(hashes)-2], 36))
		}
		line.Int("tokens", int64(p.Tokens)).Int("most", int64(p.MaxOutputTokens)).Int("hint", int64(p.LengthHint))
	}
	c.g.log.Write(line)
	c.g.set.GetOrCreateCounter(`gateway_requests_total{route="` + route + `",outcome="` + outcome + `"}`).Inc()
	if c.timeToFirstEvent > 0 {
		c.g.set.GetOrCreateHistogram(`gateway_first_seconds{route="` + route + `"}`).Update(c.timeToFirstEvent.Seconds())
	}
	c.g.set.GetOrCreateHistogram(`gateway_took_seconds{route="` + route + `"}`).Update(took.Seconds())
}
