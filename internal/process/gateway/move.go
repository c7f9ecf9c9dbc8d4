package gateway

import (
	"context"
	"errors"

	"carawayspread"
	"carawayspread/internal/decision/runmoves"
)

// errNotMoved says that no engine continues a run that has stopped, or whose engine is lost.
var errNotMoved = errors.New("no engine continues the run")

// stopRun stops the run, unless its stream has ended, and returns where it goes on.
func (m *runMove) stopRun() runmoves.Step {
	m.mu.Lock()
	if m.streamEnded {
		m.mu.Unlock()
		m.drop()
		return runmoves.StepStay
	}
	stopped := make(chan struct{})
	m.stopped = stopped
	m.mu.Unlock()
	step := runmoves.StepStop
	for step == runmoves.StepStop {
		result := m.call(true, stopTimeout)
		m.keepHandle(result)
		step = m.run.Stopped(result)
	}
	switch step {
	case runmoves.StepContinue:
	case runmoves.StepReturn:
		m.leavePlace()
	default:
		m.drop()
	}
	m.mu.Lock()
	m.step = step
	m.mu.Unlock()
	close(stopped)
	return step
}

// continuation is where a run goes on that has stopped.
type continuation struct {
	handover carawayspread.Handover
	at       carawayspread.Placement
	tracker  carawayspread.AttemptTracker
	returns  bool // to the engine where it has stopped
	request  carawayspread.PlacementRequest
	from     carawayspread.Endpoint
	backup   bool // from the copy of a run whose engine is lost
	made     int  // events that the run has made, at least
}

// takeMove returns where the run goes on whose stream has ended with err; nil if no move has stopped it.
func (c *call) takeMove(ctx context.Context, err error) *continuation {
	m := c.endMove()
	if m == nil {
		return nil
	}
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if stopped == nil || !errors.As(err, &brokenOffError{}) {
		m.abandon()
		return nil
	}
	select {
	case <-stopped:
	case <-ctx.Done():
		m.abandon()
		return nil
	}
	next := &continuation{at: m.at, tracker: m.tracker, request: m.request, from: m.from}
	m.mu.Lock()
	next.handover, next.returns = carawayspread.Handover{Handle: m.handle, From: m.from}, m.step == runmoves.StepReturn
	next.made = m.made
	goesOn := next.returns || m.step == runmoves.StepContinue
	m.mu.Unlock()
	switch {
	case !goesOn:
		m.abandon()
		return nil
	case next.returns:
		next.goBack(c.g)
	}
	return next
}

// endMove keeps the run from being stopped, unless it has been, and returns its move; nil if there is none.
func (c *call) endMove() *runMove {
	m := c.move
	if m == nil {
		return nil
	}
	c.move = nil
	c.g.mu.Lock()
	delete(c.g.movable, m.run)
	c.g.mu.Unlock()
	m.run.End()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamEnded = true
	return m
}

// abandon frees the copy of a run that the call does not continue, as soon as its move has ended.
func (m *runMove) abandon() {
	m.mu.Lock()
	m.streamEnded, m.abandoned = true, true
	active := m.active
	m.mu.Unlock()
	if !active {
		m.drop()
	}
}

// goBack has the run go on where it has stopped.
func (next *continuation) goBack(g *Gateway) {
	next.returns = true
	next.at = carawayspread.Placement{Endpoint: next.from}
	next.tracker = g.placer.Sent(next.request, next.at)
}

// continueRun has a run go on that has stopped. The request runs once: an engine that continues it has the
// memory of the run that has stopped, and its stream begins after the last event that the caller has.
func (c *call) continueRun(ctx context.Context, next *continuation) (retry bool, err error) {
	c.dropBackup()
	c.made = max(c.made, next.made)
	defer func() { c.made = 0 }()
	for {
		ran := c.ran
		c.ran-- // it is the same run
		c.handover, c.returning = &next.handover, next.returns
		retry, err = c.carryOut(ctx, next.at, next.tracker, carawayspread.PhaseDecode)
		c.ran, c.returning = max(c.ran, ran), false
		if err == nil || !c.latest.notRun {
			return retry, err
		}
		if !errors.Is(err, carawayspread.ErrUnsent) {
			c.countRefusal()
		}
		if next.returns || next.backup || ctx.Err() != nil || !c.g.moves.MayReturn(next.from.ID()) {
			c.handover = nil
			if !next.backup {
				c.g.releaseHandover(next.handover)
			}
			return c.mayRetry(), errors.Join(errNotMoved, err)
		}
		next.goBack(c.g)
	}
}

// countRefusal takes a continuation that arrived and was refused off the retry budget, so that less is left for
// others. One that runs is no retry.
func (c *call) countRefusal() {
	if retry, _ := c.g.budget(c.service.Name).Spend(); retry != nil {
		retry.ArrivesWithin(0)
	}
}

// mayReceive reports whether an attempt may still be sent to the endpoint.
func (c *call) mayReceive(to carawayspread.Endpoint) bool {
	return c.returning && c.g.moves.MayReturn(to.ID()) || c.g.takesRequests(to)
}
