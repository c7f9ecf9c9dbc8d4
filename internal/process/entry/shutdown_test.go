package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// When the process shuts down or the deadline passes, the error says "not run" exactly
// if no attempt may have run. Guards against a caller that gets a wrong error code or
// a wrong "not run" for an abandoned request.
func TestErrorOfAnAbandonedRequest(t *testing.T) {
	shuttingDown := func() context.Context {
		ctx, end := context.WithCancelCause(context.Background())
		end(carawayspread.ErrShutdown)
		return ctx
	}
	pastDeadline := func() context.Context {
		ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
		cancel()
		return ctx
	}
	failed := carawayspread.NewError(carawayspread.CodeEndpointFailed, "cut")
	full := carawayspread.NewError(carawayspread.CodeOverloaded, "full", carawayspread.NotRun())
	for name, c := range map[string]struct {
		ctx        context.Context
		failure    *carawayspread.Error
		mayHaveRun bool
		code       carawayspread.Code
	}{
		"shutdown before an attempt":        {shuttingDown(), full, false, carawayspread.CodeDraining},
		"shutdown during an attempt":        {shuttingDown(), failed, true, carawayspread.CodeDeadlineExceeded},
		"shutdown before another attempt":   {shuttingDown(), full, true, carawayspread.CodeDeadlineExceeded},
		"deadline passes during an attempt": {pastDeadline(), failed, true, carawayspread.CodeDeadlineExceeded},
		"deadline passes before an attempt": {pastDeadline(), full, false, carawayspread.CodeDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			got := contextError(c.ctx, c.failure, c.mayHaveRun)
			qt.Check(t, got.Code(), qt.Equals, c.code)
			qt.Check(t, got.NotRun(), qt.Equals, !c.mayHaveRun)
			qt.Check(t, got.RetryAfter() > 0, qt.Equals, c.code == carawayspread.CodeDraining)
		})
	}
}

// Guards against requests that are cut at the end of an entry, since they waited for a slot at their sidecar for so
// long that they ran only in the last part of the grace.
func TestWaitForASlotEndsInTimeInAShutdown(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(second int) time.Time { return now.Add(time.Duration(second) * time.Second) }
	s := &shutdown{beginUntil: at(3), end: at(6)}
	for name, c := range map[string]struct {
		shutdown            *shutdown
		now, latest, wanted time.Time
		deadline            time.Time // zero for none
	}{
		"the process does not end":           {nil, at(0), at(5), at(5), at(9)},
		"its wait ends in time":              {s, at(0), at(2), at(2), at(9)},
		"its wait ends too late":             {s, at(0), at(5), at(3), at(9)},
		"without a deadline":                 {s, at(0), at(5), at(3), time.Time{}},
		"its deadline is before the end":     {s, at(0), at(5), at(5), at(5)},
		"it has run, and is sent once again": {s, at(4), at(5), at(5), at(9)},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, c.shutdown.waitUntil(c.now, c.latest, c.deadline), qt.Equals, c.wanted)
		})
	}
}
