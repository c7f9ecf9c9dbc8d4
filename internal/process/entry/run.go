package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/decision/retry"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

// run serves one request that goes to an endpoint.
func (e *Entry) run(w http.ResponseWriter, r *http.Request) {
	started := e.clock.Now()
	if e.leaving.Load() {
		e.refuse(w, r, nil, leaving())
		return
	}
	cfg := e.config.Current(r.Context())
	if cfg.Version() == 0 {
		e.refuse(w, r, nil, noConfiguration())
		return
	}
	c, err := call.Read(w, r, cfg, e.limits, e.newID(), started)
	if err != nil {
		e.refuse(w, r, nil, typed(err))
		return
	}
	w.Header().Set("X-Request-Id", c.CallerID())
	ctx, cancel := e.scope(r.Context(), c)
	defer cancel()
	if c.AtMostOnce() && c.Key() != "" {
		e.runOnce(ctx, w, r, c)
		return
	}
	e.runAnswered(ctx, w, r, c, newRelay(w, c, e.clock))
}

// scope returns the context of the run. Work that must not run twice goes on
// when its caller has gone, so that its end is known to the caller's retry, but not
// when the process ends.
func (e *Entry) scope(ctx context.Context, c *call.Call) (context.Context, context.CancelFunc) {
	if c.AtMostOnce() {
		run, end := context.WithCancelCause(context.WithoutCancel(ctx))
		stop := context.AfterFunc(ctx, func() {
			if cause := context.Cause(ctx); errors.Is(cause, carawayspread.ErrShutdown) {
				end(cause)
			}
		})
		run, cancel := context.WithTimeout(run, longestOnce)
		return run, func() {
			stop()
			cancel()
			end(nil)
		}
	}
	if deadline := c.Job().Deadline; !deadline.IsZero() {
		return context.WithDeadline(ctx, deadline)
	}
	return context.WithCancel(ctx)
}

// runAnswered serves the call and gives its caller the final answer.
func (e *Entry) runAnswered(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, answer *relay) {
	if failure := e.serve(ctx, c, answer); failure != nil {
		e.fail(w, r, c, answer, failure)
		return
	}
	e.finished(c, answer, "served")
}

// serve waits for the call's turn and runs it until its answer is whole or no
// further attempt follows.
func (e *Entry) serve(ctx context.Context, c *call.Call, answer *relay) *carawayspread.Error {
	l, ok := (*e.lanes.Load())[c.Service().Name()]
	if !ok {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint of the service is known",
			carawayspread.NotRun(), carawayspread.RetryAfter(leavingRetry))
	}
	if err := l.Wait(ctx, c.Job()); err != nil {
		if isEnding(ctx) {
			return leaving()
		}
		return typed(err)
	}
	began := e.clock.Now()
	failure := e.attempts(ctx, l, c, answer)
	l.Finish(c.Job(), answer.served(failure == nil, began, e.clock.Now()))
	return failure
}

// attempts runs the call until an attempt ends well or none may follow. After
// an attempt that may have run, no later refusal may claim that the request
// has not run.
func (e *Entry) attempts(ctx context.Context, l *dispatcher.Dispatcher, c *call.Call, answer *relay) *carawayspread.Error {
	tried := map[carawayspread.EndpointID]bool{}
	mayHaveRun := false
	for n := 1; ; n++ {
		failure, final := e.attempt(ctx, l, c, answer, tried, n)
		if failure == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || !failure.NotRun()
		e.logAttempt(c, n, failure)
		switch {
		case ctx.Err() != nil:
			return gone(ctx, failure, mayHaveRun)
		case final || !answer.resumable():
			return honest(failure, mayHaveRun)
		}
		switch retry.Decide(failure, c.AtMostOnce(), n, l.Budget()) {
		case retry.Unknown:
			return unknown(failure)
		case retry.GiveUp:
			return honest(failure, mayHaveRun)
		}
	}
}

// leaving refuses a request that this entry does not run before it ends.
func leaving() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeDraining, "this entry is leaving",
		carawayspread.NotRun(), carawayspread.RetryAfter(leavingRetry))
}

// isEnding reports whether a run is given up as the process ends.
func isEnding(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), carawayspread.ErrShutdown)
}

// gone returns the failure of a run whose context has ended.
func gone(ctx context.Context, failure *carawayspread.Error, mayHaveRun bool) *carawayspread.Error {
	switch {
	case isEnding(ctx) && !mayHaveRun:
		return leaving()
	case isEnding(ctx):
		return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "this entry ends before the answer does",
			carawayspread.CausedBy(failure))
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return honest(failure, mayHaveRun)
	}
	return honest(carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the deadline has passed",
		carawayspread.NotRun(), carawayspread.CausedBy(failure)), mayHaveRun)
}

// honest takes back the claim that a request has not run where an earlier
// attempt may have run it.
//
// Failure: the first attempt is cut in the middle, the second finds no place
// and says, rightly for itself, not run. Symptom: the caller believes that
// nothing ran. The claim is a property of all attempts together.
func honest(failure *carawayspread.Error, mayHaveRun bool) *carawayspread.Error {
	if !mayHaveRun || !failure.NotRun() {
		return failure
	}
	return carawayspread.NewError(failure.Code(), failure.Message(),
		carawayspread.RetryAfter(failure.RetryAfter()), carawayspread.CausedBy(failure))
}

func unknown(failure *carawayspread.Error) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeUnknownOutcome,
		"the endpoint was lost while it may have been running the request; whether it ran cannot be known",
		carawayspread.CausedBy(failure))
}

// latest is until when the first byte must be on its way.
func latest(c *call.Call) time.Time {
	moment := c.Job().Class.Target().Latest(c.Job().Arrived)
	if deadline := c.Job().Deadline; !deadline.IsZero() && deadline.Before(moment) {
		return deadline
	}
	return moment
}

func typed(err error) *carawayspread.Error {
	if e, ok := carawayspread.AsError(err); ok {
		return e
	}
	return carawayspread.NewError(carawayspread.CodeEndpointFailed, "an internal error", carawayspread.CausedBy(err))
}

// fail gives the caller the final error, in the form that is still possible.
func (e *Entry) fail(w http.ResponseWriter, r *http.Request, c *call.Call, answer *relay, failure *carawayspread.Error) {
	e.finished(c, answer, string(failure.Code()))
	switch {
	case !answer.started():
		e.refuse(w, r, c, failure)
	case c.Stream():
		answer.sendError(failure)
	default:
		// The status is out, so only a broken connection can tell the caller
		// that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, c *call.Call, failure *carawayspread.Error) {
	e.counters.refused(failure.Code())
	e.logRefusal(r, c, failure)
	openai.WriteError(w, failure)
}
