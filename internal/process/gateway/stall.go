package gateway

import (
	"context"
	"errors"
	"time"

	"carawayspread"
)

const (
	// stallFactor and minStallWait say how long an endpoint may be silent, as a multiple of the
	// expected time to the first event and at least, before it is checked for a stall.
	//
	// An endpoint may hold some requests forever and answer the others, so that no connection
	// breaks. Without the check its callers leave one after the other, which proves nothing
	// against the endpoint, and it keeps its share of the requests. A stalled attempt that may be
	// retried goes to another endpoint, and counts as a failure of this one. Estimates are off by
	// a factor of two in the worst tenth of the requests, so the check starts at four.
	stallFactor  = 4
	minStallWait = 300 * time.Millisecond
	// stallRecheckInterval is the time between two checks after the first.
	stallRecheckInterval = 100 * time.Millisecond
)

// errStalled says that the endpoint has stalled and the attempt was ended.
var errStalled = errors.New("the endpoint has stalled on the request")

// watchStall returns a context for one attempt. If enabled, the context ends with errStalled when
// the answer is late and the tracker reports that the endpoint has stalled.
func (c *call) watchStall(ctx context.Context, at carawayspread.Placement, tracker carawayspread.AttemptTracker, enabled bool) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	if enabled {
		go func() {
			for wait := stallWait(at); ; wait = stallRecheckInterval {
				select {
				case <-attemptCtx.Done():
					return
				case <-c.g.clock.After(wait):
				}
				if tracker.Stalled() {
					cancel(errStalled)
					return
				}
			}
		}()
	}
	return attemptCtx, func() { cancel(nil) }
}

// stallWait returns how long an attempt may take before its endpoint is checked for a stall.
func stallWait(at carawayspread.Placement) time.Duration {
	return max(minStallWait, stallFactor*at.TimeToFirstEvent)
}
