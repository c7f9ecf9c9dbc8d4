package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"carawayspread"
)

const (
	// checkDelay is the time from a broken answer to the check of its endpoint. A process that ends
	// may close its connections a little before its listener.
	checkDelay = 50 * time.Millisecond
	// checkTimeout bounds one probe. Endpoints accept connections within a few milliseconds.
	checkTimeout = 200 * time.Millisecond
	// checkAttempts bounds the probes of one check. They end before a restart could have finished.
	checkAttempts = 3
	// checkWait is how long after a crash a request that would be refused for it waits for the check
	// instead.
	checkWait = checkDelay + 100*time.Millisecond
	// checkPollInterval is the time between two looks at the result of a check.
	checkPollInterval = 10 * time.Millisecond
)

// WithEndpointProber makes the gateway check each endpoint that broke off an answer, and withdraw
// the crash if the endpoint is running.
//
// An endpoint can break off single answers, or its connections can be reset. Other answers of the
// endpoint show that it runs, but may take longer than the next attempt of the same request.
func WithEndpointProber(p carawayspread.EndpointProber) Option {
	return func(g *Gateway) { g.prober = p }
}

// endpointCheck is a check that has not been sent yet.
type endpointCheck struct {
	since time.Time // of the first failure
	// broken are requests whose crashes are recorded, abandoned those whose attempts this process ended
	// before they were answered in full.
	broken, abandoned []brokenRequest
}

// checkCrash checks whether the endpoint of a recorded crash is still running. The parts of the request's
// prompt are suspects only if it is not.
func (g *Gateway) checkCrash(at carawayspread.Endpoint, request brokenRequest) {
	if g.prober == nil {
		g.recordPartCrash(at.ID(), g.clock.Now(), false, request)
		return
	}
	g.scheduleCheck(at, func(check *endpointCheck) { check.broken = append(check.broken, request) })
}

// checkAbandoned checks whether the endpoint crashed with a request that this process stopped
// waiting for. Its connection is closed by then, so that nothing else shows the crash.
func (g *Gateway) checkAbandoned(at carawayspread.Endpoint, request brokenRequest) {
	g.scheduleCheck(at, func(check *endpointCheck) { check.abandoned = append(check.abandoned, request) })
}

// scheduleCheck starts a check of the endpoint, unless one is about to be sent, and adds to it.
func (g *Gateway) scheduleCheck(at carawayspread.Endpoint, add func(*endpointCheck)) {
	if g.prober == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	check := g.checks[at.ID()]
	if check == nil {
		check = &endpointCheck{since: g.clock.Now()}
		g.checks[at.ID()] = check
		go g.runCheck(at)
	}
	add(check)
}

func (g *Gateway) runCheck(at carawayspread.Endpoint) {
	var check *endpointCheck
	for range checkAttempts {
		<-g.clock.After(checkDelay)
		if check == nil {
			g.mu.Lock()
			check = g.checks[at.ID()]
			delete(g.checks, at.ID())
			g.mu.Unlock()
		}
		sentAt := g.clock.Now()
		err := g.probe(context.Background(), at)
		switch {
		case err == nil:
			g.endpointAnswered(at.ID(), sentAt)
			g.recordPartCrash(at.ID(), check.since, true, check.broken...)
			return
		case errors.Is(err, carawayspread.ErrNotListening):
			for _, request := range check.abandoned {
				g.recordOwnCrash(request, at.ID(), time.Time{})
			}
			g.recordPartCrash(at.ID(), check.since, false, append(check.broken, check.abandoned...)...)
			return
		}
	}
	g.recordPartCrash(at.ID(), check.since, true, check.broken...)
}

func (g *Gateway) probe(ctx context.Context, at carawayspread.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return g.prober.Probe(ctx, at)
}

// errEndpointGone says that the endpoint ended at the end of its answer.
var errEndpointGone = errors.New("the endpoint closed the connection and no longer runs")

// checkEnd returns an error unless something marks the end of the reply or its endpoint is found to run. The end of
// the connection may be that of the process otherwise: errEndpointGone, or an error that matches
// carawayspread.ErrUnproved if that is not known.
func (c *call) checkEnd(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint) error {
	if reply.Framing != carawayspread.FramingClose || c.g.prober == nil {
		return nil
	}
	var err error
	for range checkAttempts {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: the endpoint could not be asked whether it runs: %w", carawayspread.ErrUnproved, errors.Join(context.Cause(ctx), err))
		case <-c.g.clock.After(checkDelay):
		}
		if err = c.g.probe(ctx, at); err == nil {
			return nil
		}
		if errors.Is(err, carawayspread.ErrNotListening) {
			return errEndpointGone
		}
	}
	return fmt.Errorf("%w: the endpoint does not say whether it runs: %w", carawayspread.ErrUnproved, err)
}

// awaitCheck waits a moment if the endpoints of a crash at that time may still be checked. It
// reports whether the decision on the request may have changed.
func (c *call) awaitCheck(crashedAt time.Time) bool {
	if c.g.prober == nil || c.g.clock.Now().Sub(crashedAt) >= checkWait {
		return false
	}
	select {
	case <-c.r.Context().Done():
		return false
	case <-c.g.clock.After(checkPollInterval):
		return true
	}
}
