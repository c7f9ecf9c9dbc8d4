// Package planstore stores the plan of one service: the orders that its engines have to execute,
// written by the one entry that holds the planner's lease.
//
// A planner may be paused, lose its lease to another process, and resume with a plan based on
// outdated data, so that engines would receive alternating orders. Therefore the plan is written in
// one transaction with a check that no other process has acquired the lease, and with a condition
// on the revision that the planner read: a late write cannot replace a plan that its planner has
// not seen.
package planstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
)

const (
	partition = "plan"
	bodyLimit = 64 << 10
)

// ErrOutdated is returned if the plan is based on an older plan than the newest one, or if another
// process has acquired the lease. Nothing was written.
var ErrOutdated = errors.New("plan is outdated, nothing written")

// Plan is the list of orders to the engines of one service; immutable.
type Plan struct {
	number uint64 // increases by one with every plan; zero if there is none
	steps  []Step
}

// Step is one order to one engine. The steps of one engine are in the sequence of their execution.
type Step struct {
	Endpoint carawayspread.EndpointID `json:"endpoint"`
	Order    carawayspread.Order      `json:"order"` // Fence is set by the sidecar
}

// Number returns the number of the plan; zero if there is no plan.
func (p Plan) Number() uint64 { return p.number }

// Steps returns the steps of the plan. The slice must not be modified.
func (p Plan) Steps() []Step { return p.steps }

// Store reads and writes the plan of one service. It is safe for concurrent use.
type Store struct {
	table carawayspread.Table
	key   carawayspread.Key
}

// New returns the plan store of a service.
func New(table carawayspread.Table, service string) *Store {
	return &Store{table: table, key: carawayspread.Key{Partition: partition, Sort: service}}
}

// Read returns the newest plan; a plan with number zero if there is none.
func (s *Store) Read(ctx context.Context) (Plan, error) {
	item, err := s.table.Get(ctx, s.key)
	if errors.Is(err, carawayspread.ErrNoItem) {
		return Plan{}, nil
	}
	if err != nil {
		return Plan{}, trace.Wrap(err)
	}
	plan := Plan{number: item.Rev}
	return plan, trace.Wrap(json.Unmarshal(item.Body, &plan.steps))
}

// Write replaces the previous plan, as Read returned it, with the next one. lease is the condition
// that no other process has acquired the lease; it is part of the transaction. After any error
// other than ErrOutdated the outcome is unknown, and the planner reads the plan before it plans
// again.
func (s *Store) Write(ctx context.Context, lease carawayspread.Write, previous Plan, steps []Step) (Plan, error) {
	body, err := json.Marshal(steps)
	if err != nil {
		return Plan{}, trace.Wrap(err)
	}
	if len(body) > bodyLimit {
		return Plan{}, trace.LimitExceeded("a plan of %d steps does not fit one item", len(steps))
	}
	item := carawayspread.Item{Key: s.key, Token: uuid.NewString(), Body: body}
	err = s.table.Apply(ctx, lease, carawayspread.Write{Item: item, IfRev: previous.number})
	if err != nil {
		err = s.resolve(ctx, item.Token, previous.number, err)
	}
	if err != nil {
		return Plan{}, err
	}
	return Plan{number: previous.number + 1, steps: steps}, nil
}

// resolve reads back the outcome of a write that returned an error.
func (s *Store) resolve(ctx context.Context, token string, rev uint64, err error) error {
	item, readErr := s.table.Get(ctx, s.key)
	switch {
	case readErr == nil && item.Rev == rev+1 && item.Token == token:
		return nil
	case errors.Is(err, carawayspread.ErrCondition), readErr == nil && item.Rev > rev:
		return ErrOutdated
	}
	return trace.Wrap(err)
}
