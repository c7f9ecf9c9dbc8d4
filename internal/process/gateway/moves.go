package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/runmoves"
	"carawayspread/internal/process/decisionlog"
)

const (
	// copyTimeout bounds a call that copies a run while it goes on: engines do not begin a copy that would
	// wait longer than two seconds.
	copyTimeout = 2500 * time.Millisecond
	// stopTimeout bounds a call that stops a run. Its caller waits meanwhile.
	stopTimeout = time.Second
	// maxMoves bounds the moves of one request.
	maxMoves = 4
)

// WithRunMoves makes runs move off engines that leave, where their service is configured for that.
func WithRunMoves(moves *runmoves.Moves, mover carawayspread.RunMover) Option {
	return func(g *Gateway) {
		if mover != nil {
			g.moves, g.mover = moves, mover
		}
	}
}

// runMove is the run of a call that may move, from an event of its stream to the end of that stream.
type runMove struct {
	c        *call
	ctx      context.Context // of the request
	run      *runmoves.Run
	from     carawayspread.Endpoint
	request  carawayspread.PlacementRequest
	excluded map[carawayspread.EndpointID]bool // engines that must not get the run

	// full, at and tracker belong to the goroutine of the move; once stopped is closed, to that of the call.
	full    map[carawayspread.EndpointID]bool // as excluded, with engines that had no room in this move
	at      carawayspread.Placement           // where the run moves to
	tracker carawayspread.AttemptTracker

	mu          sync.Mutex
	active      bool          // the goroutine of the move runs
	streamEnded bool          // the run must not be stopped any more
	abandoned   bool          // the call does not wait for the move
	stopped     chan struct{} // closed when step is known; nil before a call that stops the run
	step        runmoves.Step // after the calls that stop the run
	handle      string        // names a copy that nobody has used
	made        int           // events that the run has made, at least
}

// offerMove records an event of a stream whose run may move.
func (c *call) offerMove(ctx context.Context, reply *carawayspread.Reply, at carawayspread.Endpoint) {
	if c.g.moves == nil {
		return
	}
	if c.move != nil && !c.order.GoesOn() {
		c.endMove().abandon() // its run must not be stopped now
	}
	if c.move != nil {
		if c.move.run.Event() {
			c.g.beginMoves()
		}
		return
	}
	if !c.movable(reply, at) {
		return
	}
	c.moves++
	request := c.placementRequest()
	request.PrefilledBy, request.Build, request.Admitted = at.ID(), c.build, true
	prompt := c.metadata.Prompt
	c.move = &runMove{c: c, from: at, request: request, excluded: maps.Clone(c.exclude), ctx: ctx}
	c.move.excluded[at.ID()] = true
	c.move.run = c.g.moves.Began(runmoves.Start{
		Engine: at.ID(), Traits: c.service.Engine, TokensPerEvent: c.service.Engine.TokensPerEvent,
		PromptTokens: prompt.Tokens, MaxTokens: prompt.MaxOutputTokens, EventsBefore: c.events - 1,
		TargetGap: c.route.TargetGap, OnlyAttempt: !c.mayRetry(), ExpectedTokens: prompt.ExpectedOutput(), Deadline: c.deadline,
	})
	c.g.registerMove(c.move)
	if !c.g.takesRequests(at) {
		c.g.moves.Leaves(at.ID(), time.Time{})
		c.g.beginMoves()
	}
}

// movable reports whether the run may move. The end of its stream has to be marked, since a stream that a move
// has stopped must not look complete, and only engines of one build continue each other's answers.
func (c *call) movable(reply *carawayspread.Reply, at carawayspread.Endpoint) bool {
	engine := c.service.Engine
	return engine != nil && engine.MovesRuns && c.metadata.Prompt != nil && c.metadata.ID != "" && c.order.GoesOn() &&
		reply.Framing != carawayspread.FramingClose && c.build != 0 && at.Build() == c.build && c.moves < maxMoves
}

func (g *Gateway) registerMove(m *runMove) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.movable[m.run] = m
}

// observeLeaving has runs move off an endpoint that states in an answer that it leaves.
func (g *Gateway) observeLeaving(id carawayspread.EndpointID, f carawayspread.Feedback) {
	if g.moves != nil && f.Draining {
		g.moves.Leaves(id, g.clock.Now().Add(-g.listAge()))
		g.beginMoves()
	}
}

// updateMoves passes a new list of endpoints on.
func (g *Gateway) updateMoves(endpoints []carawayspread.Endpoint) {
	if g.moves == nil {
		return
	}
	ready := map[carawayspread.EndpointID]bool{}
	for _, e := range endpoints {
		if service, ok := g.engineService(e.Service()); ok && service.Engine.MovesRuns {
			ready[e.ID()] = !e.Leaving()
		}
	}
	g.moves.SetListed(ready, g.clock.Now().Add(-g.listAge()))
	g.beginMoves()
}

func (g *Gateway) engineService(name string) (carawayspread.RoutedService, bool) {
	routing := g.routing.Load()
	if routing == nil {
		return carawayspread.RoutedService{}, false
	}
	service, ok := routing.Service(name)
	return service, ok && service.Engine != nil
}

// beginMoves begins the moves that are due.
func (g *Gateway) beginMoves() {
	for _, run := range g.moves.Take() {
		g.mu.Lock()
		m := g.movable[run]
		g.mu.Unlock()
		if m == nil || !m.activate() { // its stream has just ended
			g.moves.Release(run, runmoves.StepStay)
			continue
		}
		go m.carryOut()
	}
}

// activate reports whether the move may begin.
func (m *runMove) activate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = !m.streamEnded
	return m.active
}

// carryOut copies the run to another engine and stops it.
func (m *runMove) carryOut() {
	g := m.c.g
	began := g.clock.Now()
	step := m.copyRun()
	if step == runmoves.StepStop {
		step = m.stopRun()
	}
	m.log(step, g.clock.Now().Sub(began))
	again := g.moves.Release(m.run, step)
	m.mu.Lock()
	m.active = false
	abandoned := m.abandoned
	m.mu.Unlock()
	if abandoned {
		m.drop()
	}
	g.beginMoves()
	if again > 0 {
		<-g.clock.After(again)
		g.beginMoves()
	}
}

// log writes how a move has ended. One that found no engine was none, and may be tried by each run several times.
func (m *runMove) log(step runmoves.Step, took time.Duration) {
	g := m.c.g
	g.set.GetOrCreateCounter(`gateway_run_moves_total{step="` + step.String() + `"}`).Inc()
	if m.at.Endpoint.ID() == "" {
		return
	}
	g.log.Write(decisionlog.Start("move").Text("id", m.c.metadata.ID).Text("from", string(m.from.ID())).
		Text("to", string(m.at.Endpoint.ID())).Text("step", step.String()).Ms("tookMs", took))
}

// copyRun copies the run while it goes on, until it may be stopped. It returns any other step that ends the
// move.
func (m *runMove) copyRun() runmoves.Step {
	m.full = maps.Clone(m.excluded)
	for {
		if m.tracker == nil && !m.place() {
			return runmoves.StepWait
		}
		began := m.c.g.clock.Now()
		result := m.call(false, copyTimeout)
		m.keepHandle(result)
		step := m.run.Copied(result, m.c.g.clock.Now().Sub(began))
		switch step {
		case runmoves.StepCopy:
		case runmoves.StepOther:
			m.full[m.at.Endpoint.ID()] = true
			m.drop()
		case runmoves.StepStop:
			if m.c.g.endsWithin(stopTimeout) { // the stream might not go on before the end
				m.drop()
				return runmoves.StepStay
			}
			return step
		default:
			m.drop()
			return step
		}
	}
}

// place chooses the engine that the run moves to, and counts the run as its load from now on.
func (m *runMove) place() bool {
	g := m.c.g
	request := m.request
	request.Exclude = g.backpressure.AddUnavailable(m.full)
	at, err := g.placer.Place(request)
	if err != nil || at.Endpoint.Build() != m.from.Build() || !m.run.Accepts(at.EventGap) || !g.backpressure.Take(at.Endpoint.ID()) {
		return false
	}
	m.at, m.tracker = at, g.placer.Sent(request, at)
	return true
}

// drop takes the run off the load of the engine that it was to move to, and frees its copy.
func (m *runMove) drop() {
	m.leavePlace()
	m.mu.Lock()
	handle := m.handle
	m.handle = ""
	m.mu.Unlock()
	if handle != "" {
		m.c.g.releaseHandover(carawayspread.Handover{Handle: handle, From: m.from})
	}
}

func (m *runMove) leavePlace() {
	if m.tracker != nil {
		m.tracker.End(carawayspread.OutcomeCancelled)
		m.tracker = nil
	}
}

func (m *runMove) call(stop bool, timeout time.Duration) carawayspread.CopyResult {
	// The call goes on when the caller has left: its answer names the copy that has to be freed then.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(m.ctx), timeout)
	defer cancel()
	began := m.c.g.clock.Now()
	result, err := m.c.g.mover.CopyRun(ctx, carawayspread.RunCopy{Request: m.c.metadata.ID, From: m.from, To: m.at.Endpoint, Stop: stop})
	line := decisionlog.Start("copy").Text("id", m.c.metadata.ID).Text("from", string(m.from.ID())).Text("to", string(m.at.Endpoint.ID())).
		Text("outcome", result.Outcome.String()).Int("events", int64(result.Events)).Ms("tookMs", m.c.g.clock.Now().Sub(began))
	if stop {
		line.Text("stop", "true")
	}
	if err != nil {
		line.Text("error", err.Error())
	}
	m.c.g.log.Write(line)
	m.c.g.set.GetOrCreateCounter(`gateway_run_copies_total{outcome="` + result.Outcome.String() + `"}`).Inc()
	return result
}

// keepHandle keeps the newest name of the copy, and how many events it holds.
func (m *runMove) keepHandle(result carawayspread.CopyResult) {
	if result.Handle == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle, m.made = result.Handle, result.Events
}
