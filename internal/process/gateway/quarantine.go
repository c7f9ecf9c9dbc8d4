package gateway

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/process/decisionlog"
)

// quarantineDuration is how long a request is refused after the connections to two endpoints broke
// while the request was running there. It outlasts the retries of callers.
const quarantineDuration = 2 * time.Minute

// maxObserved bounds the requests whose crashes this process observed and that may have to be saved.
const maxObserved = 1024

// Who observed a crash or its withdrawal, in logs and metrics.
const (
	fromOwn    = "own"    // this process
	fromPeer   = "peer"   // a peer, which has just said so
	fromReport = "report" // some peer; another has repeated it
)

// WithCrashReporter sets the function that reports a request whose attempt broke off at an
// endpoint, and withdraws the report when the endpoint proves to be running.
func WithCrashReporter(f func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool)) Option {
	return func(g *Gateway) { g.reportCrash = f }
}

// WithProofReporter sets the function that reports that an endpoint provably did not crash with a
// request, although a crash was reported.
func WithProofReporter(f func(fingerprint uint64, id carawayspread.EndpointID)) Option {
	return func(g *Gateway) { g.reportProof = f }
}

// WithAnswerReporter sets the function that reports a request that was answered here while a peer
// refuses it.
func WithAnswerReporter(f func(fingerprint uint64)) Option {
	return func(g *Gateway) { g.reportAnswer = f }
}

// RecordCrash records a crash of the endpoint with the request that a peer observed, or that it may
// have been none.
func (g *Gateway) RecordCrash(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
	if withdrawn {
		g.quarantine.DoubtCrash(fingerprint, id)
	} else {
		g.quarantine.Crashed(quarantine.Crash{Endpoint: id, At: g.clock.Now()}, []uint64{fingerprint}, nil)
	}
	g.logCrash(brokenRequest{fingerprint: fingerprint}, id, withdrawn, fromPeer)
}

// RefuteCrash removes the record of a crash that a peer proved to be none.
func (g *Gateway) RefuteCrash(fingerprint uint64, id carawayspread.EndpointID) {
	g.quarantine.WithdrawCrash(fingerprint, id)
	g.parts.Withdraw(id)
}

// QuarantineDuration returns how long a request stays quarantined.
func (*Gateway) QuarantineDuration() time.Duration { return quarantineDuration }

// TakeSettled returns requests that are refused for crashes which this process observed and that can
// no longer be withdrawn, with the time left; each of them once.
func (g *Gateway) TakeSettled() map[uint64]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	settled := map[uint64]time.Duration{}
	for fingerprint := range g.observed {
		if g.clock.Now().Sub(g.quarantine.LastCrash(fingerprint)) <= quarantine.AliveWithin {
			continue
		}
		delete(g.observed, fingerprint)
		if verdict, refusal := g.quarantine.Decide(quarantine.Attempt{Fingerprint: fingerprint}); verdict == quarantine.VerdictRefuse {
			settled[fingerprint] = refusal.RetryAfter()
		}
	}
	return settled
}

// TakeCleared returns nothing: a quarantine in the table ends by itself, and peers clear what they have
// answered.
func (*Gateway) TakeCleared() []uint64 { return nil }

// Restore refuses a request that processes before this one have quarantined.
func (g *Gateway) Restore(fingerprint uint64, left time.Duration) {
	g.quarantine.Quarantined(fingerprint, left)
}

// Refused returns the requests that are refused here and that peers may have answered.
func (g *Gateway) Refused() []uint64 { return g.quarantine.Refused() }

// RefusedByPeer records the requests that a peer refuses.
func (g *Gateway) RefusedByPeer(refused []uint64) { g.quarantine.RefusedByPeer(refused) }

// AnsweredByPeer removes a request from quarantine that a peer answered.
func (g *Gateway) AnsweredByPeer(fingerprint uint64) { g.quarantine.AnsweredByPeer(fingerprint) }

// Reports returns crashes that peers may not know.
func (g *Gateway) Reports() []carawayspread.CrashReport { return g.quarantine.Reports() }

// LearnCrash records a crash that a peer reports again, or says why it is none.
func (g *Gateway) LearnCrash(r carawayspread.CrashReport) carawayspread.CrashVerdict {
	verdict, isNew := g.quarantine.Learn(r)
	if isNew {
		g.logCrash(brokenRequest{fingerprint: r.Fingerprint}, r.Endpoint, false, fromReport)
	}
	return verdict
}

// logCrash counts a recorded crash, or the withdrawal of one. It logs those that this process observed
// and those for which the request is refused from now on: in a large fleet, each process gets the
// records of all others.
func (g *Gateway) logCrash(request brokenRequest, id carawayspread.EndpointID, withdrawn bool, from string) {
	event := "crash"
	if withdrawn {
		event = "crashWithdrawn"
	}
	g.set.GetOrCreateCounter(`gateway_crash_records_total{event="` + event + `",from="` + from + `"}`).Inc()
	verdict, _ := g.quarantine.Decide(quarantine.Attempt{Fingerprint: request.fingerprint})
	refused := verdict == quarantine.VerdictRefuse
	if from != fromOwn && !refused {
		return
	}
	line := decisionlog.Start(event).Text("request", fingerprintText(request.fingerprint)).
		Text("endpoint", string(id)).Text("parts", request.partsText()).Text("from", from)
	if refused {
		line.Text("refused", "true")
	}
	g.log.Write(line)
}

// checkQuarantine refuses a request that broke two endpoints. It waits for the check of endpoints
// that broke off an answer just now.
func (c *call) checkQuarantine() *carawayspread.Error {
	for {
		verdict, refusal := c.g.quarantine.Decide(quarantine.Attempt{Fingerprint: c.fingerprint})
		if verdict != quarantine.VerdictRefuse {
			return nil
		}
		crashedAt := c.g.quarantine.LastCrash(c.fingerprint)
		if c.awaitCheck(crashedAt) {
			continue
		}
		return carawayspread.NewError(carawayspread.CodeSuspect, "the request broke the endpoints that ran it",
			carawayspread.NotRun(), carawayspread.RetryAfter(c.suspectRetryAfter(crashedAt, refusal.RetryAfter())))
	}
}

// suspectRetryAfter returns when the refusal of a request may end: when its newest crash can no
// longer be withdrawn, and after that with its quarantine.
func (c *call) suspectRetryAfter(crashedAt time.Time, left time.Duration) time.Duration {
	if open := quarantine.AliveWithin - c.g.clock.Now().Sub(crashedAt); open > 0 {
		return min(open, left)
	}
	return left
}

// recordFailure excludes the endpoint of an attempt that was sent and whose answer broke off, before
// or after its header, and returns the attempt's outcome. It counts as a crash of the endpoint with
// this request, unless the attempt was ended here: for a stall or a silence, the deadline, shutdown, or because
// the caller left. Then it counts if the endpoint turns out to be gone.
func (c *call) recordFailure(ctx, attemptCtx context.Context, at carawayspread.Placement, sentAt time.Time) carawayspread.Outcome {
	id := at.Endpoint.ID()
	c.exclude[id] = true
	switch {
	case errors.Is(context.Cause(attemptCtx), errStalled), errors.Is(context.Cause(attemptCtx), errLost):
		c.g.checkAbandoned(at.Endpoint, c.broken())
		return carawayspread.OutcomeFailed
	case ctx.Err() != nil:
		c.g.checkAbandoned(at.Endpoint, c.broken())
		return carawayspread.OutcomeCancelled
	}
	c.g.placer.Crashed(id)
	c.g.recordOwnCrash(c.broken(), id, sentAt)
	c.suspected = c.g.parts.WouldRefuse(c.broken().forParts(), id)
	c.g.checkCrash(at.Endpoint, c.broken())
	return carawayspread.OutcomeFailed
}

// recordOwnCrash records a crash that this process observed, also at the peers. The request was
// sent at sentAt; zero if unknown.
func (g *Gateway) recordOwnCrash(request brokenRequest, id carawayspread.EndpointID, sentAt time.Time) {
	g.quarantine.Crashed(quarantine.Crash{Endpoint: id, At: g.clock.Now(), Sent: sentAt}, []uint64{request.fingerprint}, nil)
	g.mu.Lock()
	if len(g.observed) < maxObserved {
		g.observed[request.fingerprint] = struct{}{}
	}
	g.mu.Unlock()
	g.logCrash(request, id, false, fromOwn)
	g.reportCrash(request.fingerprint, id, false)
}

// endpointAnswered withdraws recent crashes of the endpoint where an answer to what was sent at
// sentAt suggests that it kept running, also at the peers.
func (g *Gateway) endpointAnswered(id carawayspread.EndpointID, sentAt time.Time) {
	g.endpointAnsweredOver(id, sentAt, time.Time{})
}

// endpointAnsweredOver is endpointAnswered for an answer over a connection established at
// connectedAt, which may prove that the endpoint kept running.
func (g *Gateway) endpointAnsweredOver(id carawayspread.EndpointID, sentAt, connectedAt time.Time) {
	cleared, proved := g.quarantine.EndpointAnsweredOver(id, sentAt, connectedAt)
	for _, fingerprint := range cleared {
		g.logCrash(brokenRequest{fingerprint: fingerprint}, id, true, fromOwn)
		g.reportCrash(fingerprint, id, true)
	}
	for _, fingerprint := range proved {
		g.reportProof(fingerprint, id)
	}
	if len(proved) > 0 {
		g.parts.Withdraw(id)
	}
}
