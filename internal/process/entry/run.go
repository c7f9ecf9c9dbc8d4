package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/openai"
	"carawayspread/internal/decision/retry"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

// run serves one request that is sent to an endpoint.
func (e *Entry) run(w http.ResponseWriter, r *http.Request) {
	started := e.clock.Now()
	if e.draining.Load() {
		e.refuse(w, r, nil, drainingError())
		return
	}
	cfg := e.config.Current(r.Context())
	if cfg.Version() == 0 {
		e.refuse(w, r, nil, noConfiguration())
		return
	}
	c, err := call.Read(w, r, cfg, e.limits, e.newID(), started)
	if err != nil {
		e.refuse(w, r, nil, toError(err))
		return
	}
	w.Header().Set("X-Request-Id", c.CallerID())
	ctx, cancel := e.runContext(r.Context(), c)
	defer cancel()
	if c.AtMostOnce() && c.Key() != "" {
		e.runAtMostOnce(ctx, w, r, c)
		return
	}
	e.runAnswered(ctx, w, r, c, newRelay(w, c, e.clock).withCaller(r))
}

// runContext returns the context of the run. An at-most-once request continues after
// its caller has disconnected, so that a retry gets its result; it is canceled when
// the process shuts down.
func (e *Entry) runContext(ctx context.Context, c *call.Call) (context.Context, context.CancelFunc) {
	if c.AtMostOnce() {
		run, end := context.WithCancelCause(context.WithoutCancel(ctx))
		stop := context.AfterFunc(ctx, func() {
			if cause := context.Cause(ctx); errors.Is(cause, carawayspread.ErrShutdown) {
				end(cause)
			}
		})
		run, cancel := context.WithTimeout(run, maxAtMostOnceTime)
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

// runAnswered serves the call and sends its caller the answer or the final error.
func (e *Entry) runAnswered(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, answer *relay) {
	if failure := e.serve(ctx, c, answer); failure != nil {
		e.fail(w, r, c, answer, failure)
		return
	}
	answer.markComplete()
	e.finished(c, answer, "served")
}

// serve queues the call and runs it until its answer is complete or no further
// attempt may follow.
func (e *Entry) serve(ctx context.Context, c *call.Call, answer *relay) *carawayspread.Error {
	d, ok := (*e.dispatchers.Load())[c.Service().Name()]
	if !ok {
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint of the service is known",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
	}
	if err := d.Wait(ctx, c.Job()); err != nil {
		if isShuttingDown(ctx) {
			return drainingError()
		}
		return toError(err)
	}
	began := e.clock.Now()
	failure := e.attempts(ctx, d, c, answer)
	d.Finish(c.Job(), answer.result(failure == nil, began, e.clock.Now()))
	return failure
}

// attempts runs the call until an attempt succeeds or none may follow. After an
// attempt that may have run, a later refusal must not state that the request has
// not run.
func (e *Entry) attempts(ctx context.Context, d *dispatcher.Dispatcher, c *call.Call, answer *relay) *carawayspread.Error {
	tried := map[carawayspread.EndpointID]bool{}
	mayHaveRun := false
	for n := 1; ; n++ {
		failure, final := e.attempt(ctx, d, c, answer, tried, n, mayHaveRun)
		if failure == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || !failure.NotRun()
		e.logAttempt(c, n, failure)
		switch {
		case ctx.Err() != nil:
			return contextError(ctx, failure, mayHaveRun)
		case final || !answer.resumable():
			return withoutNotRun(failure, mayHaveRun)
		}
		switch retry.Decide(failure, c.AtMostOnce(), n, d.Budget()) {
		case retry.Unknown:
			return unknownOutcome(failure)
		case retry.GiveUp:
			return withoutNotRun(failure, mayHaveRun)
		}
	}
}

// drainingError refuses a request that this entry will not run before it shuts down.
func drainingError() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeDraining, "this entry is leaving",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}

// isShuttingDown reports whether ctx was canceled because the process shuts down.
func isShuttingDown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), carawayspread.ErrShutdown)
}

// contextError returns the failure of a run whose context has ended.
func contextError(ctx context.Context, failure *carawayspread.Error, mayHaveRun bool) *carawayspread.Error {
	switch {
	case isShuttingDown(ctx) && !mayHaveRun:
		return drainingError()
	case isShuttingDown(ctx):
		return carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "this entry ends before the answer does",
			carawayspread.CausedBy(failure))
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return withoutNotRun(failure, mayHaveRun)
	}
	return withoutNotRun(carawayspread.NewError(carawayspread.CodeDeadlineExceeded, "the deadline has passed",
		carawayspread.NotRun(), carawayspread.CausedBy(failure)), mayHaveRun)
}

// withoutNotRun removes the "not run" mark of the failure if an earlier attempt may
// have run the request.
//
// If the first attempt breaks off and the second finds no slot, the second alone
// has not run. Whether the request has run depends on all attempts together, and
// its mark would make the caller believe that nothing ran.
func withoutNotRun(failure *carawayspread.Error, mayHaveRun bool) *carawayspread.Error {
	if !mayHaveRun || !failure.NotRun() {
		return failure
	}
	return carawayspread.NewError(failure.Code(), failure.Message(),
		carawayspread.RetryAfter(failure.RetryAfter()), carawayspread.CausedBy(failure))
}

func unknownOutcome(failure *carawayspread.Error) *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeUnknownOutcome,
		"the endpoint was lost while it may have been running the request; whether it ran cannot be known",
		carawayspread.CausedBy(failure))
}

// firstByteDeadline returns the time by which the first byte must be sent.
func firstByteDeadline(c *call.Call) time.Time {
	target := c.Job().Class.Target().Latest(c.Job().Arrived)
	if deadline := c.Job().Deadline; !deadline.IsZero() && deadline.Before(target) {
		return deadline
	}
	return target
}

func toError(err error) *carawayspread.Error {
	if e, ok := carawayspread.AsError(err); ok {
		return e
	}
	return carawayspread.NewError(carawayspread.CodeEndpointFailed, "an internal error", carawayspread.CausedBy(err))
}

// fail sends the caller the final error in the form that is still possible.
func (e *Entry) fail(w http.ResponseWriter, r *http.Request, c *call.Call, answer *relay, failure *carawayspread.Error) {
	e.finished(c, answer, string(failure.Code()))
	switch {
	case !answer.started():
		e.refuse(w, r, c, failure)
	case answer.streams:
		answer.sendError(failure)
	default:
		// The status has been sent, so only an aborted connection can show the
		// caller that the answer is incomplete.
		callers.Reset(w)
	}
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, c *call.Call, failure *carawayspread.Error) {
	e.counters.refused(failure.Code())
	e.logRefusal(r, c, failure)
	openai.WriteError(w, failure)
}
