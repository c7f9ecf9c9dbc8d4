package entryd

import (
	"context"
	"math/rand/v2"
	"sync"

	"carawayspread"
	"carawayspread/internal/controller/planner"
	"carawayspread/internal/process/watch"

	// The role policies register themselves.
	_ "carawayspread/internal/decision/rolepolicy"
)

// staticPolicy is the role policy that never changes a role, so that no planner is needed.
const staticPolicy = "static"

// planRoles runs a planner for each model service until ctx ends, unless the policy is static.
// Services that are added to the configuration later get theirs then.
func (d *Daemon) planRoles(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	planned := map[string]bool{}
	for d.base.Settings().RolePolicy() != staticPolicy {
		for _, service := range d.base.Config().Held().Services() {
			if service.Kind() == carawayspread.KindModel && !planned[service.Name()] {
				planned[service.Name()] = true
				running.Go(func() { _ = d.planner(service.Name()).Run(ctx) })
			}
		}
		select {
		case <-d.configChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (d *Daemon) planner(service string) *planner.Planner {
	newPolicy, _ := carawayspread.RolePolicies.Get(d.base.Settings().RolePolicy())
	policy := newPolicy(carawayspread.Environment{
		Clock: d.base.Clock(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Zone: d.base.Settings().Zone(),
	})
	view := func() planner.View {
		if l := d.entry.Dispatcher(service); l != nil {
			return l
		}
		return nil
	}
	entries := func() int { return len(watch.ControlAddresses(d.base.Instances(), carawayspread.InstanceEntry)) }
	return planner.New(service, view, entries, policy, d.base.Table(), d.base.Clock(), d.base.Log())
}
