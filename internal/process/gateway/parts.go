package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/internal/process/decisionlog"
)

// trialRetry is the Retry-After of a request whose part another process tries, or whose trial cannot be
// claimed while the table is down.
const trialRetry = 10 * time.Second

// WithPartReporters sets the functions that tell peers of crashes under parts of prompts, and of parts
// with such crashes that were answered.
func WithPartReporters(crashed func([]carawayspread.PartCrash), answered func(parts []uint64)) Option {
	return func(g *Gateway) { g.reportParts, g.reportPartsAnswered = crashed, answered }
}

// WithTrials sets the function that claims, for the whole fleet, to send one request with a refused part.
func WithTrials(claim func(ctx context.Context, part uint64) bool) Option {
	return func(g *Gateway) { g.claimTrial = claim }
}

// brokenRequest is a request whose answer an endpoint broke off.
type brokenRequest struct {
	fingerprint uint64
	prompt      *carawayspread.Prompt // nil if it has none that an engine runs
	answered    bool                  // in part
}

func (c *call) broken() brokenRequest {
	return brokenRequest{c.fingerprint, c.prompt(), !c.lastEventAt.IsZero()}
}

// prompt returns the prompt of a request that an engine runs; nil for others.
func (c *call) prompt() *carawayspread.Prompt {
	if c.service.Engine == nil {
		return nil
	}
	return c.metadata.Prompt
}

// partsText returns the identifiers of the parts of the request's prompt that others may share.
func (b brokenRequest) partsText() string {
	var ids []string
	for _, part := range b.prompt.SharedParts() {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// partKeys returns the keys of the parts of the prompt that others may share.
func (c *call) partKeys() []uint64 {
	if c.sharedParts == nil {
		c.sharedParts = c.prompt().SharedPartKeys()
	}
	return c.sharedParts
}

func (b brokenRequest) forParts() suspectparts.Request {
	return suspectparts.Request{Parts: b.prompt.SharedPartKeys(), Witness: b.prompt.Session()}
}

// recordPartCrash records that requests broke off as the endpoint crashed, also at the peers.
func (g *Gateway) recordPartCrash(id carawayspread.EndpointID, at time.Time, doubtful bool, requests ...brokenRequest) {
	var prompts, answered []suspectparts.Request
	for _, request := range requests {
		switch prompt := request.forParts(); {
		case len(prompt.Parts) == 0:
		case request.answered:
			answered = append(answered, prompt)
		default:
			prompts = append(prompts, prompt)
		}
	}
	prompts = append(prompts, answered...) // the least likely causes are the last to be reported
	if len(prompts) == 0 {
		return
	}
	if news := g.parts.Crashed(id, at, doubtful, prompts); len(news) > 0 {
		g.reportParts(news)
	}
	g.excuseExplained()
}

// excuseExplained removes crashes from quarantine that a refused part explains.
func (g *Gateway) excuseExplained() {
	for _, id := range g.parts.TakeExplained() {
		g.quarantine.Explained(id)
		g.log.Write(decisionlog.Start("crashExplained").Text("endpoint", string(id)))
	}
}

// checkParts refuses a request with a part that crashes endpoints, unless it is the trial of the part.
func (c *call) checkParts() *carawayspread.Error {
	if c.g.parts.Empty() || c.trial && c.ran == 0 {
		return nil
	}
	decision := c.g.parts.Decide(c.partKeys())
	if decision.Verdict == suspectparts.VerdictRun {
		return nil
	}
	c.line.Text("part", fingerprintText(decision.Part))
	left := decision.Left
	if decision.Verdict == suspectparts.VerdictTrial {
		ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
		defer cancel()
		if c.trial = c.g.claimTrial(ctx, decision.Part); c.trial {
			c.line.Text("trial", "true")
			return nil
		}
		left = trialRetry
	}
	c.g.set.GetOrCreateCounter(`gateway_refused_for_a_part_total`).Inc()
	return carawayspread.NewError(carawayspread.CodeSuspect, "a part of the prompt crashed the endpoints that ran it",
		carawayspread.NotRun(), carawayspread.RetryAfter(left))
}

// clearParts clears the parts of a prompt that was answered in full. The prefill of a prompt, or a stream of
// which its caller had all events, proves nothing.
func (c *call) clearParts() {
	if c.g.parts.Empty() || c.route.Stream && c.lastEventAt.IsZero() {
		return
	}
	if notify := c.g.parts.Answered(c.partKeys()); len(notify) > 0 {
		c.g.reportPartsAnswered(notify)
	}
}

// PartReports returns crashes under parts of prompts that peers may not know.
func (g *Gateway) PartReports() []carawayspread.PartCrash { return g.parts.Reports() }

// LearnParts records crashes that a peer reports, and returns the parts that were answered since.
func (g *Gateway) LearnParts(crashes []carawayspread.PartCrash) (answered []uint64) {
	answered = g.parts.Learn(crashes)
	g.excuseExplained()
	return answered
}

// PartsAnsweredByPeer clears parts of prompts that a peer answered.
func (g *Gateway) PartsAnsweredByPeer(parts []uint64) { g.parts.AnsweredByPeer(parts) }

// Parts returns what this process knows of parts that crash endpoints.
func (g *Gateway) Parts() *suspectparts.Parts { return g.parts }
