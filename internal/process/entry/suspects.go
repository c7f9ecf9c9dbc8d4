package entry

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/listening"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

// Trials decides, for the whole fleet, which entry runs a request that is suspected
// of crashing endpoints.
type Trials interface {
	Claim(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error)
	End(ctx context.Context, fingerprint uint64, outcome carawayspread.Outcome) error
	Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error
}

type noTrials struct{}

func (noTrials) Claim(context.Context, uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	return nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable,
		"this entry cannot claim a trial", carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}

func (noTrials) End(context.Context, uint64, carawayspread.Outcome) error           { return nil }
func (noTrials) Crashed(context.Context, carawayspread.EndpointID, ...uint64) error { return nil }

// quarantineResult states under which conditions a call may run at a slot.
type quarantineResult struct {
	trial         bool // runs as a trial, which is claimed
	crashedBefore bool // is known to have crashed an endpoint
}

// checkQuarantine decides whether the call may run at the slot, or returns the final
// refusal. It marks the endpoints that the call has crashed as tried.
func (e *Entry) checkQuarantine(ctx context.Context, c *call.Call, slot *dispatcher.Slot, tried map[carawayspread.EndpointID]bool) (quarantineResult, *carawayspread.Error) {
	fingerprint := c.Job().Fingerprint
	verdict, refusal := e.suspects.Decide(quarantine.Attempt{Fingerprint: fingerprint, OutsideAffinity: slot.OutsideAffinity()})
	switch verdict {
	case quarantine.VerdictRun:
		return quarantineResult{}, nil
	case quarantine.VerdictRefuse:
		return quarantineResult{}, refusal
	}
	crashed, refusal := e.trials.Claim(ctx, fingerprint)
	if refusal != nil {
		if refusal.Code() == carawayspread.CodeQuarantined {
			e.suspects.Quarantined(fingerprint, refusal.RetryAfter())
		}
		return quarantineResult{}, refusal
	}
	crashed = append(crashed, e.suspects.CrashedEndpoints(fingerprint)...)
	for _, id := range crashed {
		tried[id] = true
	}
	return quarantineResult{trial: true, crashedBefore: len(crashed) > 0}, nil
}

// acquireSlot acquires a slot for the call and checks that the call may run there.
//
// A trial is never sent to an endpoint that the request has crashed, and after a
// known crash only to the request's own two endpoints. Otherwise, when copies of a
// harmful request are at both of its endpoints and only one crash is known yet, a
// trial at a third endpoint would crash that one too.
func (e *Entry) acquireSlot(ctx context.Context, d *dispatcher.Dispatcher, c *call.Call, tried map[carawayspread.EndpointID]bool, n int) (*dispatcher.Slot, bool, *carawayspread.Error) {
	slot, err := d.Acquire(ctx, c.Job(), tried, e.slotDeadline(c, n))
	if err != nil {
		return nil, false, toError(err)
	}
	checked, refusal := e.checkQuarantine(ctx, c, slot, tried)
	if refusal == nil && checked.trial && tried[slot.Endpoint().ID()] {
		slot.Release(0, carawayspread.OutcomeRefused)
		if slot, err = d.Acquire(ctx, c.Job(), tried, e.slotDeadline(c, n)); err != nil {
			e.endTrial(ctx, c, carawayspread.OutcomeRefused)
			return nil, false, toError(err)
		}
	}
	if refusal == nil && checked.crashedBefore && slot.OutsideAffinity() {
		e.endTrial(ctx, c, carawayspread.OutcomeRefused)
		refusal = carawayspread.NewError(carawayspread.CodeSuspect, "the request may have crashed the endpoints that it belongs to",
			carawayspread.NotRun(), carawayspread.RetryAfter(suspectRetry))
	}
	if refusal != nil {
		slot.Release(0, carawayspread.OutcomeRefused)
		return nil, false, refusal
	}
	return slot, checked.trial, nil
}

// suspectRetry is the Retry-After for a suspected request that may run at none of its
// own endpoints. Within that time a crashed engine has restarted or its crash is known
// everywhere.
const suspectRetry = 5 * time.Second

// recordOutcome updates the quarantine and the trial with the outcome of an attempt.
func (e *Entry) recordOutcome(ctx context.Context, c *call.Call, answer *relay, endpoint carawayspread.Endpoint, trial bool, failure *carawayspread.Error, ended carawayspread.Outcome) {
	fingerprint, id := c.Job().Fingerprint, endpoint.ID()
	if trial && failure != nil {
		e.endTrial(ctx, c, ended)
	}
	switch {
	case failure == nil:
		if answer.succeeded() {
			e.suspects.Served(fingerprint)
			e.partsAnswered(c)
		}
	case errors.Is(failure, sidecarhttp.ErrCrashed):
		e.partsCrashed(c, id, false)
		e.suspects.Crashed(quarantine.Crash{Endpoint: id, At: e.clock.Now()}, []uint64{fingerprint}, trialFingerprint(trial, fingerprint))
		if !trial {
			e.reportCrash(ctx, c, id)
		}
	case errors.Is(failure, sidecarhttp.ErrConnectionLost) && ctx.Err() == nil:
		e.recordLostConnection(ctx, c, endpoint, trial)
	case failure.Code() == carawayspread.CodeSuspect:
		e.suspects.Suspected(fingerprint, id)
	}
}

// recordLostConnection records the request as a suspect if the sidecar of the endpoint is gone after the
// connection to it broke. Then nobody but this entry can say that the request may have crashed the
// endpoint. A sidecar that accepts connections may have taken the place of one that was lost, which
// leaves a doubt.
func (e *Entry) recordLostConnection(ctx context.Context, c *call.Call, endpoint carawayspread.Endpoint, trial bool) {
	fingerprint := c.Job().Fingerprint
	crash := quarantine.Crash{Endpoint: endpoint.ID(), At: e.clock.Now()}
	switch err := e.probeSidecar(ctx, endpoint); {
	case err == nil:
		e.partsCrashed(c, endpoint.ID(), true)
		e.suspects.Doubted(crash, fingerprint)
	case errors.Is(err, carawayspread.ErrNotListening):
		e.partsCrashed(c, endpoint.ID(), false)
		e.suspects.Crashed(crash, []uint64{fingerprint}, trialFingerprint(trial, fingerprint))
		if !trial {
			e.reportCrash(ctx, c, endpoint.ID())
		}
	}
}

// probeSidecar checks a moment later whether a process listens at the address of the endpoint's sidecar.
func (e *Entry) probeSidecar(ctx context.Context, endpoint carawayspread.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, lostCheckTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.clock.After(lostCheckDelay):
	}
	return listening.Probe(ctx, endpoint.Address())
}

const (
	// lostCheckDelay is the time from a broken connection to the check of the sidecar. A process that
	// ends may close its connections a little before its listener.
	lostCheckDelay = 50 * time.Millisecond
	// lostCheckTimeout bounds the check, delay included. It delays the next attempt.
	lostCheckTimeout = 300 * time.Millisecond
)

func trialFingerprint(trial bool, fingerprint uint64) *uint64 {
	if !trial {
		return nil
	}
	return &fingerprint
}

// completeTrial ends the trial before the caller receives the end of the
// answer. A caller may send its next copy as soon as it has the answer; if the claim
// of the trial were still stored then, the copy would be refused because a trial is
// running.
//
// An error of the endpoint leaves the request a suspect: the endpoint may have returned it before it began to run
// the request.
func (e *Entry) completeTrial(ctx context.Context, c *call.Call, answer *relay, next func() error) error {
	if !answer.succeeded() {
		e.endTrial(ctx, c, carawayspread.OutcomeRefused)
		return next()
	}
	e.endTrial(ctx, c, carawayspread.OutcomeServed)
	e.suspects.Served(c.Job().Fingerprint)
	return next()
}

// endTrial records the result of a trial even if its caller has disconnected.
func (e *Entry) endTrial(ctx context.Context, c *call.Call, ended carawayspread.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.trials.End(ctx, c.Job().Fingerprint, ended); err != nil {
		e.event(c).WithError(err).Warn("cannot record the result of the trial")
	}
}

// endPartTrial records the result of the trial of a part, if the attempt was one.
func (e *Entry) endPartTrial(ctx context.Context, c *call.Call, part uint64, ended carawayspread.Outcome) {
	if part == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.trials.End(ctx, part, ended); err != nil {
		e.event(c).WithError(err).Warn("cannot record the result of the trial of a part")
	}
}

func (e *Entry) reportCrash(ctx context.Context, c *call.Call, id carawayspread.EndpointID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.trials.Crashed(ctx, id, c.Job().Fingerprint); err != nil {
		e.event(c).WithError(err).Warn("cannot record the crash")
	}
}
