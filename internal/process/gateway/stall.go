package gateway

import (
	"context"
	"errors"
	"time"

	"carawayspread"
)

const (
	// heldFactor and heldLeast say how long an endpoint may be silent, against
	// what was expected, before it counts as one that holds requests.
	//
	// Failure: an endpoint holds some requests for ever and answers the rest,
	// so that nothing breaks. Symptom: its callers leave one after the other,
	// which proves nothing against it, and it goes on getting its share. What
	// may be sent again is sent elsewhere then, and the endpoint is judged.
	// Estimates are off by a factor of two at the worst tenth; from four on it is
	// asked whether the endpoint has stalled.
	stallFactor  = 4
	minStallWait = 300 * time.Millisecond
	// heldAgain is the time between two looks after that.
	stallRecheckInterval = 100 * time.Millisecond
)

// errHeld says that an endpoint held an attempt for too long.
var errStalled = errors.New("the endpoint holds the request")

// patience ends the wait for the answer to an attempt that may be made again, as
// soon as it takes long and the endpoint has stalled.
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

// held returns the silence after which an endpoint counts as holding a request.
func stallWait(at carawayspread.Placement) time.Duration {
	return max(minStallWait, stallFactor*at.TimeToFirstEvent)
}
