package gateway

import (
	"context"
	"errors"
	"maps"

	"carawayspread"
	"carawayspread/internal/decision/runbackups"
	"carawayspread/internal/process/decisionlog"
)

// WithRunBackups has copies of running requests kept at a second engine, where their service is configured for
// that. It is nil if none are kept.
func WithRunBackups(b *runbackups.Backups) Option { return func(g *Gateway) { g.backups = b } }

// runBackup is the engine that keeps a copy of a run.
type runBackup struct {
	at      carawayspread.Placement
	tracker carawayspread.AttemptTracker
}

// endpoint returns the engine; nil if there is none.
func (b *runBackup) endpoint() *carawayspread.Endpoint {
	if b == nil {
		return nil
	}
	return &b.at.Endpoint
}

// placeBackup chooses the engine that keeps a copy of a run at the endpoint; nil if none does.
func (c *call) placeBackup(at carawayspread.Endpoint, phase carawayspread.Phase) *runBackup {
	prompt := c.prompt()
	if c.g.backups == nil || prompt == nil || phase == carawayspread.PhasePrefill || !c.route.Stream || c.metadata.ID == "" || at.Build() == 0 {
		return nil
	}
	if !c.g.backups.Take(runbackups.Request{
		OnlyAttempt: !c.mayRunAgain(), Traits: c.service.Engine, PromptTokens: prompt.Tokens, OutputTokens: prompt.ExpectedOutput(),
		Engines: len((*c.g.endpoints.Load())[c.service.Name]),
	}) {
		return nil
	}
	request := c.placementRequest()
	exclude := maps.Clone(request.Exclude)
	exclude[at.ID()] = true
	request.Exclude, request.PrefilledBy, request.Build, request.Admitted = exclude, at.ID(), at.Build(), true
	second, err := c.g.placer.Place(request)
	if err != nil || second.Endpoint.Build() != at.Build() {
		return nil
	}
	c.g.set.GetOrCreateCounter(`gateway_run_backups_total`).Inc()
	return &runBackup{second, c.g.placer.Sent(request, second)}
}

// mayRunAgain reports whether the request may run again once the attempt that is being sent has failed.
func (c *call) mayRunAgain() bool {
	return c.route.Retry != carawayspread.RetryNever && c.ran+1 < c.route.MaxAttempts
}

func (c *call) dropBackup() {
	if c.backup != nil {
		c.backup.tracker.End(carawayspread.OutcomeCancelled)
		c.backup = nil
	}
}

// errLost says that the engine of a run is lost that may go on elsewhere.
var errLost = errors.New("the engine is silent and cannot be reached")

// watchSilence returns a context for an attempt. It ends with errLost when the engine falls silent in the middle of
// its answer and cannot be reached, if the answer may go on elsewhere: from a copy, or by another attempt.
func (c *call) watchSilence(ctx context.Context, at carawayspread.Endpoint) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if c.g.prober != nil && (c.backup != nil || c.route.Retry == carawayspread.RetryResume && c.mayRunAgain()) {
		go func() {
			for silence := runbackups.NewSilence(c.route.TargetGap); ; {
				select {
				case <-ctx.Done():
					return
				case <-c.g.clock.After(silence.Interval()):
				}
				events := c.heard.Load()
				if silence.Check(events) && c.isLost(ctx, at) && c.heard.Load() == events {
					cancel(errLost)
					return
				}
			}
		}()
	}
	return ctx, func() { cancel(nil) }
}

// takeBackup returns where a run goes on whose answer ended with err; nil if no copy is kept, or the engine may still
// be at work on it. Before the first event there is no copy, and an answer whose end its engine does not mark may
// have been complete.
func (c *call) takeBackup(ctx, attemptCtx context.Context, reply *carawayspread.Reply, lost carawayspread.Endpoint, err error) *continuation {
	b := c.backup
	if b == nil || ctx.Err() != nil || c.mayRetry() || c.suspected || c.g.prober == nil {
		return nil
	}
	if !c.order.GoesOn() || c.lastEventAt.IsZero() || reply.Framing == carawayspread.FramingClose || !errors.As(err, &brokenOffError{}) {
		return nil
	}
	gone := errors.Is(context.Cause(attemptCtx), errLost) || c.isLost(ctx, lost)
	c.g.log.Write(decisionlog.Start("backup").Text("id", c.metadata.ID).Text("from", string(lost.ID())).
		Text("to", string(b.at.Endpoint.ID())).Text("lost", map[bool]string{true: "true", false: "false"}[gone]))
	if !gone || c.checkQuarantine() != nil {
		return nil
	}
	c.g.set.GetOrCreateCounter(`gateway_run_backups_used_total`).Inc()
	c.backup = nil
	return &continuation{handover: c.g.protocol.BackupHandover(b.at.Endpoint, c.metadata.ID), at: b.at, tracker: b.tracker, from: lost, backup: true}
}

// isLost reports whether the endpoint has ended, or cannot be reached for as long as a check takes. One that
// accepts connections may still be at work on the request.
func (c *call) isLost(ctx context.Context, endpoint carawayspread.Endpoint) bool {
	for range checkAttempts {
		select {
		case <-ctx.Done():
			return false
		case <-c.g.clock.After(checkDelay):
		}
		err := c.g.probe(ctx, endpoint)
		if err == nil || errors.Is(err, carawayspread.ErrNotListening) {
			return err != nil
		}
	}
	return ctx.Err() == nil
}
