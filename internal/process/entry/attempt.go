package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/sidecarhttp"
	"carawayspread/internal/process/dispatcher"
	"carawayspread/internal/request/call"
)

// attempt sends the call to one endpoint and follows its answer to the end.
// final says that no other attempt may follow the failure.
func (e *Entry) attempt(ctx context.Context, l *dispatcher.Dispatcher, c *call.Call, answer *relay, tried map[carawayspread.EndpointID]bool, n int) (failure *carawayspread.Error, final bool) {
	place, trial, refusal := e.taken(ctx, l, c, tried, n)
	if refusal != nil {
		return refusal, true
	}
	id := place.Endpoint().ID()
	tried[id] = true
	held := answer.events
	closed := answer.closing
	if trial {
		answer.closing = func() error { return e.closeTrial(ctx, c, closed) }
	}
	failure, firstByte := e.follow(ctx, c, answer, place, n, trial)
	answer.closing = closed
	ended := outcome(ctx, failure)
	if ended == carawayspread.OutcomeRefused && failure.Code() == carawayspread.CodeOverloaded {
		l.RecordRefusal()
	}
	place.Release(e.latency(c, place, firstByte, answer.events-held), ended)
	e.learn(ctx, c, id, trial, failure, ended)
	return failure, false
}

// placeUntil gives a retry, whose target may be missed already, a moment to
// find a place.
func (e *Entry) placeUntil(c *call.Call, n int) time.Time {
	until := latest(c)
	if n == 1 {
		return until
	}
	if soonest := e.clock.Now().Add(retryPlace); until.Before(soonest) {
		return soonest
	}
	return until
}

const (
	retryPlace = time.Second
	// recordTimeout bounds a write to the table at the end of an attempt.
	recordTimeout = 2 * time.Second
)

// latency returns a measure of the endpoint that is comparable between
// requests: the mean gap between tokens of an engine, the whole time of a
// plain service; zero for none.
func (e *Entry) latency(c *call.Call, place *dispatcher.Slot, firstByte time.Time, events int) time.Duration {
	now := e.clock.Now()
	switch {
	case c.Service().Kind() == carawayspread.KindPlain:
		return now.Sub(place.AcquiredAt())
	case firstByte.IsZero() || events < fewestEvents:
		return 0
	default:
		return now.Sub(firstByte) / time.Duration(events)
	}
}

// fewestEvents is how many tokens an answer needs to measure their gap.
const fewestEvents = 4

// follow sends the attempt and passes the answer on. It returns the time of
// the first byte, zero when none came.
func (e *Entry) follow(ctx context.Context, c *call.Call, answer *relay, place *dispatcher.Slot, n int, trial bool) (*carawayspread.Error, time.Time) {
	header := c.OutgoingHeader()
	header.Set(sidecarhttp.HeaderFingerprint, sidecarhttp.FormatFingerprint(c.Job().Fingerprint))
	header.Set(sidecarhttp.HeaderConfig, strconv.FormatUint(uint64(e.config.Current(ctx).Version()), 10))
	if trial {
		header.Set(sidecarhttp.HeaderTrial, "true")
	}
	answer.askResume(header)
	got, err := e.client.Do(ctx, sidecarhttp.Attempt{
		ID:        c.ID() + "-" + strconv.Itoa(n),
		Endpoint:  place.Endpoint().ID(),
		Address:   place.Endpoint().Address(),
		Method:    c.Method(),
		Path:      c.Path(),
		Header:    header,
		Body:      c.Body(),
		Remaining: e.placeUntil(c, n).Sub(e.clock.Now()),
		Once:      c.AtMostOnce(),
	})
	if err != nil {
		return typed(err), time.Time{}
	}
	defer func() { _ = got.Body.Close() }()
	firstByte := e.clock.Now()
	if got.Load != nil {
		place.UpdateLoad(got.Load.Running, got.Load.Waiting, got.Load.Slots)
	}
	if failure := answerFailure(got, c); failure != nil {
		return failure, firstByte
	}
	if err := answer.pass(got); err != nil {
		return typed(err), firstByte
	}
	return nil, firstByte
}

// answerFailure turns an endpoint's own refusal into a failure where another
// endpoint may do better. Work that must not run twice keeps the answer: it is
// what its endpoint made of the request.
func answerFailure(got *sidecarhttp.Answer, c *call.Call) *carawayspread.Error {
	if c.AtMostOnce() || got.Status < http.StatusInternalServerError && got.Status != http.StatusTooManyRequests {
		return nil
	}
	return carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint answers "+strconv.Itoa(got.Status))
}

func outcome(ctx context.Context, failure *carawayspread.Error) carawayspread.Outcome {
	switch {
	case failure == nil:
		return carawayspread.OutcomeServed
	case ctx.Err() != nil:
		return carawayspread.OutcomeCancelled
	case errors.Is(failure, sidecarhttp.ErrUnreachable):
		return carawayspread.OutcomeUnreachable
	case failure.NotRun():
		return carawayspread.OutcomeRefused
	case errors.Is(failure, sidecarhttp.ErrCrashed):
		return carawayspread.OutcomeCrashed
	default:
		return carawayspread.OutcomeFailed
	}
}
