package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/hedging"
)

// WithHedging has requests that may be repeated get a second attempt while a slow first one runs.
func WithHedging(h *hedging.Hedging) Option { return func(g *Gateway) { g.hedging = h } }

// racer is one of two attempts of a request that run at the same time.
type racer struct {
	at      carawayspread.Placement
	tracker carawayspread.AttemptTracker
	sentAt  time.Time
	latest  attemptTrace
	ctx     context.Context // ends with errStalled if its endpoint has stalled on it
	cancel  context.CancelFunc
	retry   *fleetbudget.Retry // of the second attempt
	reply   *carawayspread.Reply
	err     error
}

// mayHedge reports whether a second attempt may be sent while the first one runs: the answer of a plain
// service, before which nothing was sent to the caller, to a request that may run twice.
func (c *call) mayHedge() bool {
	return c.g.hedging != nil && c.sends == 0 && c.retry == nil && c.route.Retry == carawayspread.RetryIdempotent &&
		!c.route.Stream && c.service.Engine == nil && c.route.MaxAttempts > 1
}

// sendHedged sends the first attempt and, if it is slow, a second one to another endpoint. It returns the
// attempt that decided: the first to be answered, or the last to fail. The other one is cancelled at once.
func (c *call) sendHedged(ctx, firstCtx context.Context, first *racer) *racer {
	after, known := c.g.hedging.Begin(c.route.Name)
	results := make(chan *racer, 2)
	running := []*racer{first}
	c.start(firstCtx, first, results)
	var slow <-chan time.Time
	if known {
		slow = c.g.clock.After(after)
	}
	for {
		select {
		case <-slow:
			slow = nil
			if second := c.hedge(ctx, first.at); second != nil {
				running = append(running, second)
				secondCtx, stop := c.watchStall(ctx, second.at, second.tracker, c.route.MaxAttempts > len(running))
				c.start(secondCtx, second, results)
				cancel := second.cancel
				second.cancel = func() { cancel(); stop() }
			}
		case r := <-results:
			slow = nil
			if len(running) > 1 && c.lost(ctx, r) {
				running = without(running, r)
				continue
			}
			for _, other := range without(running, r) {
				c.abandon(other, results)
			}
			c.latest = r.latest
			if r.err == nil {
				c.latest.reply, c.latest.echoedID = r.reply, c.g.protocol.EchoedID(r.reply)
			}
			c.endpoint, c.softwareVersion = r.at.Endpoint.ID(), r.at.Endpoint.Version()
			if r.retry != nil {
				c.countHedge("answered")
			}
			return r
		}
	}
}

// start sends an attempt; its result arrives at the channel.
func (c *call) start(ctx context.Context, r *racer, results chan<- *racer) {
	r.ctx = ctx
	ctx, r.cancel = context.WithCancel(ctx)
	r.sentAt = c.g.clock.Now()
	out := c.outbound(r.at, carawayspread.PhaseWhole)
	r.latest = c.latest
	if r.retry != nil {
		r.retry.ArrivesWithin(carawayspread.MaxConnectTime + carawayspread.MaxUnacknowledged)
	}
	go func() {
		r.reply, r.err = c.g.transport.Send(ctx, r.at.Endpoint, out)
		results <- r
	}()
}

// hedge returns a second attempt, paid for by the retry budget, to another endpoint; nil if there is none.
func (c *call) hedge(ctx context.Context, first carawayspread.Placement) *racer {
	if ctx.Err() != nil || !c.mayBegin() || c.checkQuarantine() != nil {
		return nil
	}
	c.exclude[first.Endpoint.ID()] = true
	defer delete(c.exclude, first.Endpoint.ID())
	p, at, err := c.place()
	if err != nil || !c.g.hedging.Spend(c.route.Name, c.service.Name, at.TimeToFirstEvent) {
		c.countHedge("full")
		return nil
	}
	retry, _ := c.g.budget(c.service.Name).Spend()
	if retry == nil {
		c.g.hedging.Return()
		c.countHedge("budget")
		return nil
	}
	c.countHedge("sent")
	c.line.Ms("hedgedMs", c.g.clock.Now().Sub(c.arrived))
	return &racer{at: at, tracker: c.g.placer.Sent(p, at), retry: retry}
}

// settle records at the retry budget what became of the second attempt.
func (r *racer) settle() {
	switch {
	case r.retry == nil:
	case errors.Is(r.err, carawayspread.ErrUnsent):
		r.retry.Withdraw()
	case r.err == nil:
		r.retry.ArrivesWithin(0)
	default:
		r.retry.ArrivesWithin(carawayspread.MaxUnacknowledged)
	}
}

// lost records an attempt that failed while the other one runs. It reports false if the attempt has an
// answer for the caller.
func (c *call) lost(ctx context.Context, r *racer) bool {
	if ctx.Err() != nil || r.err == nil && c.answers(r.reply) {
		return false
	}
	c.latest = r.latest
	outcome := carawayspread.OutcomeFailed
	why := "failed beside another attempt"
	switch {
	case errors.Is(r.err, carawayspread.ErrUnsent):
		outcome = c.recordUnsent(ctx, r.at)
	case isMalformed(r.err): // the endpoint runs
		c.sends++
		c.ran++
		c.exclude[r.at.Endpoint.ID()] = true
		c.countMalformed(r.err, carawayspread.PhaseWhole)
		why = r.err.Error()
	case r.err != nil:
		c.sends++
		c.ran++
		outcome = c.recordFailure(ctx, r.ctx, r.at, r.sentAt)
		why = r.err.Error()
	default:
		c.sends++
		kind := c.classify(r.reply, carawayspread.PhaseWhole)
		c.recordFeedback(r.at, r.reply, kind, r.sentAt)
		discard(r.reply)
		c.exclude[r.at.Endpoint.ID()] = true
		outcome = c.lostReply(kind)
	}
	r.settle()
	r.cancel()
	r.tracker.End(outcome)
	c.logAttempt(r.at, carawayspread.PhaseWhole, why)
	return true
}

// answers reports whether the reply is an answer to this request and no error of its endpoint, which another
// attempt may do better.
func (c *call) answers(reply *carawayspread.Reply) bool {
	foreign := reply.EarlierAnswers > 0 && c.g.protocol.EchoedID(reply) != c.metadata.ID
	return !foreign && reply.Status < http.StatusInternalServerError &&
		c.g.protocol.ClassifyReply(reply, c.metadata.ID, carawayspread.PhaseWhole) == carawayspread.ReplyAnswer
}

// lostReply counts an attempt whose reply is of no use.
func (c *call) lostReply(kind carawayspread.ReplyKind) carawayspread.Outcome {
	switch kind {
	case carawayspread.ReplyNotRun:
		c.g.hedging.Refused(c.service.Name)
		return carawayspread.OutcomeRefused
	case carawayspread.ReplyWrongEndpoint:
		return carawayspread.OutcomeRefused
	}
	c.ran++
	return carawayspread.OutcomeFailed
}

// abandon cancels an attempt that runs beside one that has decided. Its endpoint sees its connection closed.
func (c *call) abandon(r *racer, results <-chan *racer) {
	r.cancel()
	c.sends++
	c.ran++
	c.g.hedging.Answered(c.route.Name, c.g.clock.Now().Sub(r.sentAt))
	if r.retry != nil {
		c.countHedge("cancelled")
	}
	go func() {
		other := <-results
		if other.err == nil {
			discard(other.reply)
		}
		other.settle()
		other.tracker.End(carawayspread.OutcomeCancelled)
	}()
}

// hedged records how long the deciding attempt took, and whether its endpoint had room.
func (c *call) hedged(r *racer, kind carawayspread.ReplyKind) {
	switch kind {
	case carawayspread.ReplyAnswer:
		c.g.hedging.Answered(c.route.Name, c.g.clock.Now().Sub(r.sentAt))
	case carawayspread.ReplyNotRun:
		c.g.hedging.Refused(c.service.Name)
	}
}

func (c *call) countHedge(outcome string) {
	c.g.set.GetOrCreateCounter(`gateway_hedges_total{route="` + c.route.Name + `",outcome="` + outcome + `"}`).Inc()
}

func without(all []*racer, r *racer) []*racer {
	var others []*racer
	for _, other := range all {
		if other != r {
			others = append(others, other)
		}
	}
	return others
}
