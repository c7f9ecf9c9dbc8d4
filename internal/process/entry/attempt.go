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

// attempt sends the call to one endpoint and forwards its answer to the end.
// If final is set, no other attempt may follow the failure. mayHaveRun says that an earlier attempt may have run.
func (e *Entry) attempt(ctx context.Context, d *dispatcher.Dispatcher, c *call.Call, answer *relay, tried map[carawayspread.EndpointID]bool, n int, mayHaveRun bool) (failure *carawayspread.Error, final bool) {
	if !mayHaveRun && !e.mayBegin(c) {
		return drainingError(), true
	}
	part, refusal := e.checkParts(ctx, c)
	if refusal != nil {
		return refusal, true
	}
	ended := carawayspread.OutcomeRefused
	defer func() { e.endPartTrial(ctx, c, part, ended) }()
	slot, trial, refusal := e.acquireSlot(ctx, d, c, tried, n)
	if refusal != nil {
		return refusal, true
	}
	if !mayHaveRun && !e.mayBegin(c) { // it waited for the slot
		slot.Release(0, carawayspread.OutcomeRefused)
		if trial {
			e.endTrial(ctx, c, carawayspread.OutcomeRefused)
		}
		return drainingError(), true
	}
	id := slot.Endpoint().ID()
	tried[id] = true
	eventsBefore := answer.events
	previous := answer.beforeEnd
	if trial {
		answer.beforeEnd = func() error { return e.completeTrial(ctx, c, answer, previous) }
	}
	failure, firstByte := e.sendAttempt(ctx, c, answer, slot, n, trial)
	answer.beforeEnd = previous
	ended = outcome(ctx, failure)
	if ended == carawayspread.OutcomeRefused && failure.Code() == carawayspread.CodeOverloaded {
		d.RecordRefusal()
	}
	slot.Release(e.latency(c, slot, firstByte, answer.events-eventsBefore), ended)
	e.recordOutcome(ctx, c, answer, slot.Endpoint(), trial, failure, ended)
	return failure, false
}

// slotDeadline returns until when attempt n may wait for a slot. A retry gets at
// least minRetrySlotWait, as its latency target may have been missed already.
func (e *Entry) slotDeadline(c *call.Call, n int) time.Time {
	now, latest := e.clock.Now(), firstByteDeadline(c)
	if earliest := now.Add(minRetrySlotWait); n > 1 && latest.Before(earliest) {
		latest = earliest
	}
	return e.shutdown.Load().waitUntil(now, latest, c.Job().Deadline)
}

const (
	minRetrySlotWait = time.Second
	// recordTimeout limits a write to the table at the end of an attempt.
	recordTimeout = 2 * time.Second
)

// latency returns a latency of the endpoint that is comparable between requests:
// the mean inter-token latency of an engine, or the total time at a plain
// service. It is zero if the attempt yielded no measurement.
func (e *Entry) latency(c *call.Call, slot *dispatcher.Slot, firstByte time.Time, events int) time.Duration {
	now := e.clock.Now()
	switch {
	case c.Service().Kind() == carawayspread.KindPlain:
		return now.Sub(slot.AcquiredAt())
	case firstByte.IsZero() || events < minGapEvents:
		return 0
	default:
		return now.Sub(firstByte) / time.Duration(events)
	}
}

// minGapEvents is the number of events that an answer needs for a measurement of
// the inter-token latency.
const minGapEvents = 4

// sendAttempt sends the attempt and forwards the answer. It returns the time of
// the first byte, which is zero if none arrived.
func (e *Entry) sendAttempt(ctx context.Context, c *call.Call, answer *relay, slot *dispatcher.Slot, n int, trial bool) (*carawayspread.Error, time.Time) {
	header := c.OutgoingHeader()
	header.Set(sidecarhttp.HeaderFingerprint, sidecarhttp.FormatFingerprint(c.Job().Fingerprint))
	header.Set(sidecarhttp.HeaderConfig, strconv.FormatUint(uint64(e.config.Current(ctx).Version()), 10))
	if trial {
		header.Set(sidecarhttp.HeaderTrial, "true")
	}
	answer.setResumeHeaders(header)
	got, err := e.client.Do(ctx, sidecarhttp.Attempt{
		ID:         c.ID() + "-" + strconv.Itoa(n),
		Endpoint:   slot.Endpoint().ID(),
		Address:    slot.Endpoint().Address(),
		Method:     c.Method(),
		Path:       c.Path(),
		Header:     header,
		Body:       c.Body(),
		Remaining:  e.slotDeadline(c, n).Sub(e.clock.Now()),
		AtMostOnce: c.AtMostOnce(),
	})
	if err != nil {
		return toError(err), time.Time{}
	}
	defer func() { _ = got.Body.Close() }()
	firstByte := e.clock.Now()
	if got.Load != nil {
		slot.UpdateLoad(got.Load.Running, got.Load.Waiting, got.Load.Slots)
	}
	if failure := answerFailure(got, c); failure != nil {
		return failure, firstByte
	}
	if err := answer.forward(got); err != nil {
		return toError(err), firstByte
	}
	return nil, firstByte
}

// answerFailure turns an endpoint's own error response (5xx or 429) into a
// failure, as another endpoint may succeed. At-most-once requests keep the
// response, since it is the result of their only run.
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
