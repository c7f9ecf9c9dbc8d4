// Package planner plans the roles of a service's engines at one entry of the fleet.
//
// Every entry runs a planner, and only the holder of a lease in the table plans. It runs the role
// policy every few seconds and writes the resulting changes as the next plan, in a transaction that
// fails if another process has acquired the lease. While the table is down no role changes: the
// last plan stays in effect.
package planner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/planstore"
)

const (
	// interval is the time between two runs of the policy. An engine that changes its role is out
	// of service for seconds, so that a shorter interval would decide on the same data.
	interval = 5 * time.Second
	// writeMargin is how long the lease must be valid from the start of a write.
	writeMargin  = 2 * time.Second
	writeTimeout = 2 * time.Second
)

// View provides the state of a service to the planner.
type View interface {
	Engines() []carawayspread.RoleState
	Demand(entries int) carawayspread.Demand
}

// Planner plans the engine roles of one service.
type Planner struct {
	service string
	view    func() View // returns nil while the service is not known
	entries func() int
	policy  carawayspread.RolePolicy
	lease   *lease.Lease
	store   *planstore.Store
	clock   carawayspread.Clock
	log     log.Interface
}

// New returns the planner of a service.
func New(service string, view func() View, entries func() int, policy carawayspread.RolePolicy, table carawayspread.Table, clock carawayspread.Clock, l log.Interface) *Planner {
	return &Planner{
		service: service, view: view, entries: entries, policy: policy,
		lease: lease.New(table, clock, "planner/"+service),
		store: planstore.New(table, service),
		clock: clock, log: l.WithField("service", service),
	}
}

// Run plans while this process holds the lease, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	leaseEnded := make(chan error, 1)
	go func() { leaseEnded <- p.lease.Run(ctx) }()
	for {
		select {
		case <-p.clock.After(interval):
			p.plan(ctx)
		case <-ctx.Done():
			return <-leaseEnded
		}
	}
}

func (p *Planner) plan(ctx context.Context) {
	view := p.view()
	if view == nil {
		return
	}
	// The demand is read in every round, so that a new holder of the lease does not plan with the
	// demand since its start.
	demand := view.Demand(max(1, p.entries()))
	if !p.lease.Valid(writeMargin) {
		return
	}
	changes := p.policy.Plan(view.Engines(), demand)
	if len(changes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := p.write(ctx, changes); err != nil {
		p.log.WithError(err).Warn("plan not written or outcome unknown; planning again in the next round")
	}
}

var errNoLease = errors.New("the planner's lease is not held")

func (p *Planner) write(ctx context.Context, changes []carawayspread.RoleChange) error {
	check, ok := p.lease.Check()
	if !ok {
		return errNoLease
	}
	current, err := p.store.Read(ctx)
	if err != nil {
		return err
	}
	next, err := p.store.Write(ctx, check, current, merge(current.Steps(), changes))
	if err != nil {
		return err
	}
	for _, change := range changes {
		p.log.WithField("plan", next.Number()).WithField("endpoint", change.Endpoint).
			WithField("from", change.From).WithField("to", change.To).Info("role change planned")
	}
	return nil
}

// merge replaces the steps of every engine whose role changes and keeps the other steps.
func merge(old []planstore.Step, changes []carawayspread.RoleChange) []planstore.Step {
	changed := map[carawayspread.EndpointID]bool{}
	steps := make([]planstore.Step, 0, len(old)+len(changes))
	for _, change := range changes {
		changed[change.Endpoint] = true
		steps = append(steps, planstore.Step{Endpoint: change.Endpoint, Order: carawayspread.Order{
			ID: fmt.Sprint("role-", uuid.NewString()), Kind: carawayspread.OrderSetRole, Value: string(change.To),
		}})
	}
	for _, step := range old {
		if !changed[step.Endpoint] {
			steps = append(steps, step)
		}
	}
	return steps
}
