package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Guards against a caller that is told something untrue of a run which was given up.
func TestWhatACallerOfARunThatIsGivenUpIsTold(t *testing.T) {
	ending := func() context.Context {
		ctx, end := context.WithCancelCause(context.Background())
		end(carawayspread.ErrShutdown)
		return ctx
	}
	late := func() context.Context {
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
		"the process ends before an attempt": {ending(), full, false, carawayspread.CodeDraining},
		"it ends in an attempt":              {ending(), failed, true, carawayspread.CodeDeadlineExceeded},
		"it ends before another attempt":     {ending(), full, true, carawayspread.CodeDeadlineExceeded},
		"the deadline passes in an attempt":  {late(), failed, true, carawayspread.CodeDeadlineExceeded},
		"it passes before an attempt":        {late(), full, false, carawayspread.CodeDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			got := gone(c.ctx, c.failure, c.mayHaveRun)
			qt.Check(t, got.Code(), qt.Equals, c.code)
			qt.Check(t, got.NotRun(), qt.Equals, !c.mayHaveRun)
			qt.Check(t, got.RetryAfter() > 0, qt.Equals, c.code == carawayspread.CodeDraining)
		})
	}
}
