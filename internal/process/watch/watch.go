// Package watch follows the platform's instance list.
//
// Every daemon reads the list every two seconds; an unchanged list costs one short response. The
// list lags behind the actual state, so it only gives the candidates: whether an instance is
// reachable is found out by calling it. While the list cannot be read, the last one stays in use.
package watch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"carawayspread"
)

const (
	interval = 2 * time.Second
	timeout  = 2 * time.Second
)

// Watch holds the newest known instance list. It is safe for concurrent use.
type Watch struct {
	list      carawayspread.InstanceList
	clock     carawayspread.Clock
	log       log.Interface
	instances atomic.Pointer[[]carawayspread.Instance]
	revision  string
	failing   bool
}

// New returns a Watch with an empty list.
func New(list carawayspread.InstanceList, clock carawayspread.Clock, l log.Interface) *Watch {
	w := &Watch{list: list, clock: clock, log: l}
	w.instances.Store(&[]carawayspread.Instance{})
	return w
}

// Instances returns the newest known list, which must not be modified.
func (w *Watch) Instances() []carawayspread.Instance { return *w.instances.Load() }

// Run reads the list until ctx ends and calls changed after every change, including the first
// successful read.
func (w *Watch) Run(ctx context.Context, changed func([]carawayspread.Instance)) error {
	for {
		if w.refresh(ctx) {
			changed(w.Instances())
		}
		select {
		case <-w.clock.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// refresh reads the list and reports whether it changed. Its calls must not overlap.
func (w *Watch) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	instances, revision, err := w.list.List(ctx, w.revision)
	w.logTransition(err)
	if err != nil || instances == nil || revision == w.revision {
		return false
	}
	w.revision = revision
	w.instances.Store(&instances)
	return true
}

// logTransition logs when reads of the list start to fail and when they succeed again, not every
// failed read.
func (w *Watch) logTransition(err error) {
	if failing := err != nil; failing != w.failing {
		w.failing = failing
		w.log.WithField("failing", failing).Warn("instance list")
	}
}

// ControlAddresses returns the control addresses of the instances of a role.
func ControlAddresses(instances []carawayspread.Instance, role carawayspread.InstanceRole) []netip.AddrPort {
	addresses := []netip.AddrPort{}
	for _, instance := range instances {
		address, err := netip.ParseAddrPort(instance.Control)
		if err == nil && instance.Role == role {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Endpoints returns the endpoints of all sidecars.
func Endpoints(instances []carawayspread.Instance) []carawayspread.Endpoint {
	endpoints := []carawayspread.Endpoint{}
	for _, instance := range instances {
		leaving := instance.State == carawayspread.InstanceLeaving
		for _, e := range instance.Endpoints {
			endpoints = append(endpoints, carawayspread.NewEndpoint(e.ID, e.Service, instance.Zone, instance.Address, leaving))
		}
	}
	return endpoints
}
