package entry

import (
	"context"
	"errors"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/decision/quarantine"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

// Trials agrees, for the whole fleet, on who runs a request that is suspected
// of crashing endpoints.
type Trials interface {
	Claim(ctx context.Context, fingerprint uint64) ([]carawayspread.EndpointID, *carawayspread.Error)
	End(ctx context.Context, fingerprint uint64, outcome carawayspread.Outcome) error
	Crashed(ctx context.Context, endpoint carawayspread.EndpointID, running ...uint64) error
}

type noTrials struct{}

func (noTrials) Claim(context.Context, uint64) ([]carawayspread.EndpointID, *carawayspread.Error) {
	return nil, carawayspread.NewError(carawayspread.CodeStoreUnavailable,
		"this entry cannot claim a trial", carawayspread.NotRun(), carawayspread.RetryAfter(leavingRetry))
}

func (noTrials) End(context.Context, uint64, carawayspread.Outcome) error           { return nil }
func (noTrials) Crashed(context.Context, carawayspread.EndpointID, ...uint64) error { return nil }

// clearance is whether a call may run at a place.
type clearance struct {
	trial   bool // it runs as a trial, which it has claimed
	victims bool // it is known to have crashed an endpoint
}

// clear decides whether the call may run at the place, or returns the final
// refusal. The endpoints that the call has crashed count as tried.
func (e *Entry) clear(ctx context.Context, c *call.Call, place *dispatcher.Slot, tried map[carawayspread.EndpointID]bool) (clearance, *carawayspread.Error) {
	fingerprint := c.Job().Fingerprint
	verdict, refusal := e.suspects.Decide(quarantine.Attempt{Fingerprint: fingerprint, Displaced: place.OutsideAffinity()})
	switch verdict {
	case quarantine.VerdictRun:
		return clearance{}, nil
	case quarantine.VerdictRefuse:
		return clearance{}, refusal
	}
	victims, refusal := e.trials.Claim(ctx, fingerprint)
	if refusal != nil {
		if refusal.Code() == carawayspread.CodeQuarantined {
			e.suspects.Convicted(fingerprint, refusal.RetryAfter())
		}
		return clearance{}, refusal
	}
	victims = append(victims, e.suspects.Crashes(fingerprint)...)
	for _, id := range victims {
		tried[id] = true
	}
	return clearance{trial: true, victims: len(victims) > 0}, nil
}

// taken finds a place for the call and clears it to run there.
//
// Failure: copies of a harmful request are at both of its endpoints, and only
// one crash is known yet. Symptom: a trial that goes on to a third endpoint
// crashes that one too. A trial never goes to an endpoint that the request has
// crashed, and one with a victim goes to no endpoint but the request's own two.
func (e *Entry) taken(ctx context.Context, l *dispatcher.Dispatcher, c *call.Call, tried map[carawayspread.EndpointID]bool, n int) (*dispatcher.Slot, bool, *carawayspread.Error) {
	place, err := l.Acquire(ctx, c.Job(), tried, e.placeUntil(c, n))
	if err != nil {
		return nil, false, typed(err)
	}
	cleared, refusal := e.clear(ctx, c, place, tried)
	if refusal == nil && cleared.trial && tried[place.Endpoint().ID()] {
		place.Release(0, carawayspread.OutcomeRefused)
		if place, err = l.Acquire(ctx, c.Job(), tried, e.placeUntil(c, n)); err != nil {
			e.endTrial(ctx, c, carawayspread.OutcomeRefused)
			return nil, false, typed(err)
		}
	}
	if refusal == nil && cleared.victims && place.OutsideAffinity() {
		e.endTrial(ctx, c, carawayspread.OutcomeRefused)
		refusal = carawayspread.NewError(carawayspread.CodeSuspect, "the request may have crashed the endpoints that it belongs to",
			carawayspread.NotRun(), carawayspread.RetryAfter(suspectRetry))
	}
	if refusal != nil {
		place.Release(0, carawayspread.OutcomeRefused)
		return nil, false, refusal
	}
	return place, cleared.trial, nil
}

// suspectRetry is when a suspect may come back whose endpoints are lost: the
// time in which a crashed engine is back or its crash is known everywhere.
const suspectRetry = 5 * time.Second

// learn takes what the end of an attempt says about the request.
func (e *Entry) learn(ctx context.Context, c *call.Call, id carawayspread.EndpointID, trial bool, failure *carawayspread.Error, ended carawayspread.Outcome) {
	fingerprint := c.Job().Fingerprint
	if trial && failure != nil {
		e.endTrial(ctx, c, ended)
	}
	switch {
	case failure == nil:
		e.suspects.Served(fingerprint)
	case errors.Is(failure, sidecarhttp.ErrCrashed):
		e.suspects.Crashed(quarantine.Crash{Endpoint: id, At: e.clock.Now()}, []uint64{fingerprint}, trialOf(trial, fingerprint))
		if !trial {
			e.tell(ctx, c, id)
		}
	case failure.Code() == carawayspread.CodeSuspect:
		e.suspects.Suspected(fingerprint, id)
	}
}

func trialOf(trial bool, fingerprint uint64) *uint64 {
	if !trial {
		return nil
	}
	return &fingerprint
}

// closeTrial clears the request before its caller sees the end of the answer.
//
// Failure: the caller sends its next copy as soon as it has the answer, while
// the claim of the trial is still written. Symptom: the copy is refused because
// a trial is running. No copy can come before the end of the answer is sent.
func (e *Entry) closeTrial(ctx context.Context, c *call.Call, next func() error) error {
	e.endTrial(ctx, c, carawayspread.OutcomeServed)
	e.suspects.Served(c.Job().Fingerprint)
	return next()
}

// endTrial records the result of a trial even when its caller has gone.
func (e *Entry) endTrial(ctx context.Context, c *call.Call, ended carawayspread.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.trials.End(ctx, c.Job().Fingerprint, ended); err != nil {
		e.event(c).WithError(err).Warn("trial not recorded")
	}
}

func (e *Entry) tell(ctx context.Context, c *call.Call, id carawayspread.EndpointID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.trials.Crashed(ctx, id, c.Job().Fingerprint); err != nil {
		e.event(c).WithError(err).Warn("crash not recorded")
	}
}
