package gateway

import (
	"context"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/process/decisionlog"
)

const (
	// reserveTimeout bounds the wait for a reservation. Engines answer within milliseconds; one that does
	// not is not asked for long, as its caller waits.
	reserveTimeout = 100 * time.Millisecond
	// maxReserveRefusals bounds the engines that are asked for room for one attempt.
	maxReserveRefusals = 3
)

// How a reservation was answered, in logs and metrics.
const (
	reservationTaken   = "taken"
	reservationRefused = "refused"
	reservationUnknown = "unknown" // no answer; the request is sent without it
	reservationUnused  = "unused"  // given up, as nothing was sent
)

// placeWithRoom chooses an endpoint for the request, and reserves its room where other processes may give it out
// at the same moment.
func (c *call) placeWithRoom(ctx context.Context) (carawayspread.PlacementRequest, carawayspread.Placement, error) {
	for range maxReserveRefusals {
		p, at, err := c.place()
		if err != nil || at.ReserveTokens == 0 || at.PrefillOnly || c.reserve(ctx, p, at) {
			return p, at, err
		}
		c.full[at.Endpoint.ID()] = true
	}
	return carawayspread.PlacementRequest{}, carawayspread.Placement{}, carawayspread.NewError(carawayspread.CodeNoEndpoint,
		"no endpoint can take the request now", carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay), carawayspread.CausedBy(carawayspread.ErrNoRoom))
}

// reserve reserves room at the placement's endpoint. It reports false only where the endpoint has refused it.
func (c *call) reserve(ctx context.Context, p carawayspread.PlacementRequest, at carawayspread.Placement) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	d := min(p.Service.Engine.MaxHold, c.deadline.Sub(c.g.clock.Now()))
	reply, err := c.g.transport.Send(ctx, at.Endpoint, c.g.protocol.Reserve(at.Endpoint, at.ReserveTokens, d))
	if err != nil {
		c.recordReservation(at, reservationUnknown, err.Error())
		return true
	}
	if c.g.protocol.EchoedID(reply) != "" { // the answer to a request; that to this call is still to come
		discard(reply)
		c.recordReservation(at, reservationUnknown, "the answer to another request")
		return true
	}
	defer closeBody(reply)
	reservation, err := c.g.protocol.ParseReservation(reply)
	switch {
	case err == nil:
		c.reservation = reservation
		c.recordReservation(at, reservationTaken, "")
		return true
	case reply.Status == http.StatusServiceUnavailable:
		c.recordReservation(at, reservationRefused, err.Error())
		return false
	}
	c.recordReservation(at, reservationUnknown, err.Error())
	return true
}

func (c *call) recordReservation(at carawayspread.Placement, outcome, why string) {
	c.g.set.GetOrCreateCounter(`gateway_reservations_total{outcome="` + outcome + `"}`).Inc()
	line := decisionlog.Start("reservation").Text("id", c.metadata.ID).Text("endpoint", string(at.Endpoint.ID())).
		Int("tokens", int64(at.ReserveTokens)).Text("outcome", outcome)
	if why != "" {
		line.Text("why", why)
	}
	c.g.log.Write(line)
}

// releaseReservation gives up a reservation with which nothing was sent.
func (c *call) releaseReservation(at carawayspread.Placement) {
	reservation := c.reservation
	if reservation == "" {
		return
	}
	c.reservation = ""
	c.recordReservation(at, reservationUnused, "")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply, err := c.g.transport.Send(ctx, at.Endpoint, c.g.protocol.ReleaseReservation(at.Endpoint, reservation))
		if err != nil {
			return // it ends by itself
		}
		if c.g.protocol.EchoedID(reply) != "" {
			discard(reply)
			return
		}
		closeBody(reply)
	}()
}

// excluded returns the endpoints that must not get the request now.
func (c *call) excluded() map[carawayspread.EndpointID]bool {
	tooNew := c.tooNew()
	if len(c.full) == 0 && len(tooNew) == 0 {
		return c.g.backpressure.AddUnavailable(c.exclude)
	}
	all := make(map[carawayspread.EndpointID]bool, len(c.exclude)+len(c.full)+len(tooNew))
	for id := range c.exclude {
		all[id] = true
	}
	for id := range c.full {
		all[id] = true
	}
	for _, id := range tooNew {
		all[id] = true
	}
	return c.g.backpressure.AddUnavailable(all)
}
