package orders

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"carawayspread"
)

// execute sends the order until it has taken effect, at most maxAttempts times.
//
// If the response is lost or the engine crashes during the change, the next order would reach an
// engine that is still changing or has not changed. Therefore the state is read until the engine is
// not changing, and an order that is not in effect is sent again under its id, which the engine
// executes at most once.
func (o *Orders) execute(ctx context.Context, order carawayspread.Order) (state carawayspread.EngineState, err error) {
	for range o.maxAttempts {
		_, err = o.send(ctx, order)
		if refusal, ok := carawayspread.AsError(err); ok && refusal.Code() == carawayspread.CodeStale {
			return state, ErrNoAuthority
		}
		if errors.Is(err, ErrNoAuthority) {
			return state, err
		}
		state, err = o.awaitStable(ctx)
		if err != nil {
			return state, err
		}
		if inEffect(order, state) {
			return state, nil
		}
	}
	return state, trace.CompareFailed("order %v is not in effect after %d attempts", order.ID, o.maxAttempts)
}

// awaitStable reads the state until the engine is not changing.
func (o *Orders) awaitStable(ctx context.Context) (carawayspread.EngineState, error) {
	return o.pollUntil(ctx, func(state carawayspread.EngineState) bool { return !state.Changing })
}

// awaitIdle reads the state until the engine reports, with its lag, that it is not changing and has
// no requests that a role change would abort.
func (o *Orders) awaitIdle(ctx context.Context) (carawayspread.EngineState, error) {
	return o.pollUntil(ctx, func(state carawayspread.EngineState) bool {
		return !state.Changing && state.Running+state.Waiting == 0
	})
}

func (o *Orders) pollUntil(ctx context.Context, done func(carawayspread.EngineState) bool) (carawayspread.EngineState, error) {
	for {
		state, err := o.state(ctx)
		if err == nil && done(state) {
			return state, nil
		}
		select {
		case <-o.clock.After(pollEvery):
		case <-ctx.Done():
			return state, trace.Wrap(ctx.Err(), "waiting for the engine to finish its change and its requests")
		}
	}
}

func (o *Orders) state(ctx context.Context) (carawayspread.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.engine.State(ctx)
}

// inEffect reports whether the state shows the effect of the order. It does not rely on the last
// order id, since an engine that crashed during a change may report the id of an order whose effect
// is lost. KV orders have no other visible effect.
func inEffect(order carawayspread.Order, state carawayspread.EngineState) bool {
	switch order.Kind {
	case carawayspread.OrderSetRole:
		return state.Role == carawayspread.Role(order.Value)
	case carawayspread.OrderSetVersion:
		return state.Version == order.Value
	case carawayspread.OrderLoadModel:
		return slices.Contains(state.Models, order.Value)
	case carawayspread.OrderLoadAdapter:
		return slices.Contains(state.Adapters, order.Value)
	default:
		return state.LastID == order.ID
	}
}
