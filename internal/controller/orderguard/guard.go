// Package orderguard keeps two sidecars of one instance from ordering the same
// engine.
//
// Failure: a sidecar is paused between its check of the lease and the send, and
// wakes when its successor is at work. Symptom: an engine that ignores fencing
// numbers, or has forgotten them in a crash, takes conflicting orders. A check
// before the send cannot help, since the pause falls after it.
//
// The guard is a listener on a loopback address that settings name. Only one
// process of the instance can have it; a paused process has it still, and the
// kernel frees it when the process has ended. A process that has ended sends
// nothing more, and what it sent before lies in the engine's socket buffers.
// The settle wait lets the engine read that before the successor orders
// anything. Sidecars take the guard first, then wait, then take the lease, so
// that no order of an older epoch has effect once the lease shows a newer one.
package orderguard

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
)

const (
	// defaultFlight bounds how long a running engine leaves a request unread
	// that has reached its instance: well above the longest stall of an accept
	// loop that is not counted as a crash.
	defaultFlight = 2 * time.Second
	probeEvery    = 100 * time.Millisecond
	acquireEvery  = 200 * time.Millisecond
)

// kept holds every listener of this process. Without it the runtime would close
// one that nothing refers to any more, and with it the guard would be gone.
var kept sync.Map

// Guard is the exclusive right of this process to order one engine. It lasts as
// long as the process.
type Guard struct {
	listener net.Listener // never accepts; closed by the kernel when the process ends
	clock    carawayspread.Clock
	flight   time.Duration
}

// Option sets an optional part of a Guard.
type Option func(*Guard)

// WithMaxReadDelay sets how long a running engine may leave an order unread.
func WithMaxReadDelay(d time.Duration) Option { return func(g *Guard) { g.flight = d } }

// Acquire waits until no other process has the guard at that address.
func Acquire(ctx context.Context, address string, clock carawayspread.Clock, opts ...Option) (*Guard, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, trace.BadParameter("order guard %q is not a loopback address with a port", address)
	}
	g := &Guard{clock: clock, flight: defaultFlight}
	for _, opt := range opts {
		opt(g)
	}
	for {
		g.listener, err = net.Listen("tcp", address)
		if err == nil {
			kept.Store(g.listener, nil)
			return g, nil
		}
		if err := wait(ctx, clock, acquireEvery); err != nil {
			return nil, trace.Wrap(err, "order guard %v is taken", address)
		}
	}
}

// Address returns the address of the guard.
func (g *Guard) Address() string { return g.listener.Addr().String() }

// Settle waits until every order that an earlier holder sent has been read by
// the engine.
//
// It counts only time in which the engine runs. Failure: the engine sleeps
// through the wait with an order unread. Symptom: the order takes effect after
// the successor's first. So each step is between two probes that the engine
// answered in time, and a late one starts the wait again. Twice the flight is
// waited for, since an engine may sleep unseen for up to a step between two
// probes.
func (g *Guard) Settle(ctx context.Context, engine carawayspread.Engine) error {
	awake := time.Duration(0)
	last := time.Time{}
	for awake < 2*g.flight {
		_, err := engine.State(ctx)
		now := g.clock.Now()
		switch {
		case ctx.Err() != nil:
			return trace.Wrap(ctx.Err())
		case err != nil:
			awake, last = 0, time.Time{}
		case last.IsZero() || now.Sub(last) > 2*probeEvery:
			awake, last = 0, now
		default:
			awake, last = awake+probeEvery, now
		}
		if err := wait(ctx, g.clock, probeEvery); err != nil {
			return err
		}
	}
	return nil
}

func wait(ctx context.Context, clock carawayspread.Clock, d time.Duration) error {
	select {
	case <-clock.After(d):
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), context.Cause(ctx))
	}
}
