// Package orderguard prevents two sidecars of one instance from sending orders to the same engine.
//
// A sidecar may be paused between its check of the lease and the send, and resume when its
// successor is already active. An engine that ignores fencing tokens, or lost them in a crash, then
// accepts conflicting orders. A check before the send does not help, since the pause comes after
// it.
//
// The guard is a listener on a loopback address given in the settings. Only one process of the
// instance can hold it. A paused process still holds it; the kernel closes it when the process has
// ended. A process that has ended sends nothing more, and what it sent before is in the engine's
// socket buffers. The settle wait gives the engine time to read it before the successor sends an
// order. Sidecars acquire the guard first, then wait, then acquire the lease, so that no order of
// an older epoch takes effect once the lease shows a newer one.
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
	// defaultMaxReadDelay bounds how long a running engine leaves a request unread that has reached
	// its instance. It is well above the longest stall of an accept loop that does not count as a
	// crash.
	defaultMaxReadDelay = 2 * time.Second
	probeEvery          = 100 * time.Millisecond
	acquireEvery        = 200 * time.Millisecond
)

// heldListeners references every listener of this process. Without it the runtime would close an
// unreferenced listener and so release the guard.
var heldListeners sync.Map

// Guard is the exclusive right of this process to send orders to one engine. It lasts until the
// process ends.
type Guard struct {
	listener     net.Listener // never accepts; closed by the kernel when the process ends
	clock        carawayspread.Clock
	maxReadDelay time.Duration
}

// Option configures a Guard.
type Option func(*Guard)

// WithMaxReadDelay sets how long a running engine may leave an order unread.
func WithMaxReadDelay(d time.Duration) Option { return func(g *Guard) { g.maxReadDelay = d } }

// Acquire waits until no other process holds the guard at the address, and then acquires it.
func Acquire(ctx context.Context, address string, clock carawayspread.Clock, opts ...Option) (*Guard, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, trace.BadParameter("order guard %q is not a loopback address with a port", address)
	}
	g := &Guard{clock: clock, maxReadDelay: defaultMaxReadDelay}
	for _, opt := range opts {
		opt(g)
	}
	for {
		g.listener, err = net.Listen("tcp", address)
		if err == nil {
			heldListeners.Store(g.listener, nil)
			return g, nil
		}
		if err := wait(ctx, clock, acquireEvery); err != nil {
			return nil, trace.Wrap(err, "order guard %v is taken", address)
		}
	}
}

// Address returns the listen address of the guard.
func (g *Guard) Address() string { return g.listener.Addr().String() }

// Settle waits until the engine has read every order that an earlier holder sent.
//
// Only time in which the engine runs counts. If the engine were suspended during the wait with an
// order unread, that order would take effect after the successor's first one. Therefore a step
// counts only between two probes that the engine answered in time, and a late probe restarts the
// wait. The wait is twice maxReadDelay, since an engine may be suspended unnoticed for up to one
// step between two probes.
func (g *Guard) Settle(ctx context.Context, engine carawayspread.Engine) error {
	observed := time.Duration(0)
	lastProbe := time.Time{}
	for observed < 2*g.maxReadDelay {
		_, err := engine.State(ctx)
		now := g.clock.Now()
		switch {
		case ctx.Err() != nil:
			return trace.Wrap(ctx.Err())
		case err != nil:
			observed, lastProbe = 0, time.Time{}
		case lastProbe.IsZero() || now.Sub(lastProbe) > 2*probeEvery:
			observed, lastProbe = 0, now
		default:
			observed, lastProbe = observed+probeEvery, now
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
