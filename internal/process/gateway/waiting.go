package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/waiting"
)

// maxWaitingBytes bounds the bodies of the requests that wait for room at one service.
const maxWaitingBytes = 2 << 20

// How a wait for room ended, in logs and metrics.
const (
	waitServed  = "room"    // an endpoint had room
	waitLate    = "late"    // none had until the request would have been late
	waitRemoved = "removed" // others went before it in a full queue
	waitFull    = "full"    // it did not wait: the queue was full of others, or it was late already
	waitLeft    = "left"    // its caller has left, or the process ends
	waitFailed  = "failed"  // it was refused for another reason
)

// waitingRoom holds the requests that wait for room at the endpoints of one service.
type waitingRoom struct {
	mu    sync.Mutex
	queue *waiting.Queue
}

// WithWaiting lets so many requests of each service wait for room at engines; zero lets none wait.
func WithWaiting(limit int) Option { return func(g *Gateway) { g.maxWaiting = limit } }

func (g *Gateway) waitingRoom(service string) *waitingRoom {
	g.mu.Lock()
	defer g.mu.Unlock()
	room := g.waitingRooms[service]
	if room == nil {
		room = &waitingRoom{queue: waiting.New(g.maxWaiting, maxWaitingBytes)}
		g.waitingRooms[service] = room
	}
	return room
}

// waitingRequests returns how many requests wait for room.
func (g *Gateway) waitingRequests() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, room := range g.waitingRooms {
		room.mu.Lock()
		sum += room.queue.Len()
		room.mu.Unlock()
	}
	return float64(sum)
}

// placeInTurn chooses an endpoint for the request. Where none has room, the request waits for its turn until it
// would be late. It does not overtake those that wait already.
func (c *call) placeInTurn(ctx context.Context) (p carawayspread.PlacementRequest, at carawayspread.Placement, err error) {
	if c.g.maxWaiting == 0 || c.service.Engine == nil || c.metadata.Prompt == nil {
		return c.placeWithRoom(ctx)
	}
	room := c.g.waitingRoom(c.service.Name)
	if room.empty() {
		p, at, err = c.placeWithRoom(ctx)
		if !errors.Is(err, carawayspread.ErrNoRoom) {
			room.given(c, err)
			return p, at, err
		}
	} else {
		err = carawayspread.NewError(carawayspread.CodeNoEndpoint, "no endpoint can take the request now",
			carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(carawayspread.ErrNoRoom))
	}
	ticket := room.enter(c, at)
	if ticket == nil {
		c.recordWait(0, waitFull)
		return p, at, err
	}
	since := c.g.clock.Now()
	p, at, end, err := c.awaitTurn(ctx, room, ticket, err)
	c.recordWait(c.g.clock.Now().Sub(since), end)
	return p, at, err
}

// awaitTurn tries for room whenever it is the ticket's turn. refusal is what the caller is told if there is none.
func (c *call) awaitTurn(ctx context.Context, room *waitingRoom, ticket *waiting.Ticket, refusal error) (p carawayspread.PlacementRequest, at carawayspread.Placement, end string, err error) {
	started := false
	defer func() { room.leave(c, ticket, started) }()
	for {
		now := c.g.clock.Now()
		switch {
		case ctx.Err() != nil:
			return p, at, waitLeft, ctx.Err()
		case !c.mayBegin():
			return p, at, waitLeft, c.drainingError()
		case !ticket.Latest.After(now):
			return p, at, waitLate, refusal
		case room.removed(ticket):
			return p, at, waitRemoved, refusal
		}
		if room.turn(c, ticket) {
			clear(c.full)
			p, at, err = c.placeWithRoom(ctx)
			if err == nil {
				started = true
				return p, at, waitServed, nil
			}
			if !errors.Is(err, carawayspread.ErrNoRoom) {
				return p, at, waitFailed, err
			}
			refusal = err
			room.tried(c, ticket)
		}
		select {
		case <-ctx.Done():
		case <-ticket.Wake():
		case <-c.g.clock.After(min(waiting.RetryInterval, ticket.Latest.Sub(now))):
		}
	}
}

// latestStart returns until when the request may wait: as long as the answer can be in time, or for most of the
// target where the caller was refused before, since a second refusal leaves it without an answer.
func (c *call) latestStart(at carawayspread.Placement) time.Time {
	from := c.arrived
	if p := c.placementRequest(); p.TargetMissed || p.Admitted {
		from = c.g.clock.Now()
	}
	latest := from.Add(c.route.TargetLatency - at.TimeToFirstEvent)
	if c.deadline.Before(latest) {
		return c.deadline
	}
	return latest
}

func (c *call) recordWait(d time.Duration, end string) {
	c.g.set.GetOrCreateCounter(`gateway_waits_total{service="` + c.service.Name + `",end="` + end + `"}`).Inc()
	if end == waitFull {
		return
	}
	c.g.set.GetOrCreateHistogram(`gateway_waited_seconds{service="` + c.service.Name + `"}`).Update(d.Seconds())
	c.waited, c.waitEnd = c.waited+d, end
}

// work returns what the request takes of the fleet, for the share of its workspace: the memory that it holds.
func (c *call) work() float64 {
	return float64(c.metadata.Prompt.Tokens + c.metadata.Prompt.MaxOutputTokens)
}

func (r *waitingRoom) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len() == 0
}

// given records that the request was given room without a wait, unless there is an error.
func (r *waitingRoom) given(c *call, err error) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Given(c.g.clock.Now(), c.workspace.Name(), c.work())
}

func (r *waitingRoom) enter(c *call, at carawayspread.Placement) *waiting.Ticket {
	latest := c.latestStart(at)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Enter(c.g.clock.Now(), waiting.Request{
		Workspace: c.workspace.Name(), Urgency: c.route.Priority, Latest: latest, Bytes: len(c.body),
	})
}

func (r *waitingRoom) leave(c *call, t *waiting.Ticket, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started {
		r.queue.Given(c.g.clock.Now(), c.workspace.Name(), c.work())
	}
	r.queue.Leave(c.g.clock.Now(), t, started)
}

func (r *waitingRoom) turn(c *call, t *waiting.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Turn(c.g.clock.Now(), t)
}

func (r *waitingRoom) tried(c *call, t *waiting.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Tried(c.g.clock.Now(), t)
}

func (r *waitingRoom) removed(t *waiting.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Removed(t)
}
