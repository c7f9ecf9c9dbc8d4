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
