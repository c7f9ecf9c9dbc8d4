package orders

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/controller/orderguard"
)

const (
	defaultTimeout = 2 * time.Second        // for one answer of the engine
	pollEvery      = 200 * time.Millisecond // of an engine that is changing
	defaultRepeats = 3
)

// Errors that leave the engine as it was.
var (
	// ErrNoAuthority says that this sidecar may not order the engine now.
	ErrNoAuthority = errors.New("no authority over the engine, nothing sent")
	// ErrOutdated says that a newer plan has been begun.
	ErrOutdated = errors.New("order belongs to an outdated plan, nothing sent")
)

// Lease is the lease on the engine.
type Lease interface {
	// Run keeps the lease until ctx ends.
	Run(ctx context.Context) error
	// Valid reports whether the lease is held for the margin to come.
	Valid(margin time.Duration) bool
	// Epoch returns the fencing number.
	Epoch() uint64
}

// QuiesceFunc stops new work at the engine, waits until none runs, and returns what
// admits work again.
type QuiesceFunc func(ctx context.Context) (resume func(), err error)

// Orders gives orders to one engine. It is safe for concurrent use.
type Orders struct {
	engine  carawayspread.Engine
	lease   Lease
	clock   carawayspread.Clock
	quiet   QuiesceFunc
	guard   string // address; empty where the deployment has none
	flight  []orderguard.Option
	checks  bool // the engine checks fencing numbers
	timeout time.Duration
	repeats int

	held   *orderguard.Guard // nil until acquired; used by Run alone
	waited bool              // the settle wait after it is over; used by Run alone

	turn   chan struct{} // holds one token; whoever has it orders
	newest uint64        // the newest plan begun; guarded by turn
	raised uint64        // the number that the engine is known to hold; guarded by turn
	boot   string        // the life of the engine in which it was raised; guarded by turn
}

// Option sets an optional part of Orders.
type Option func(*Orders)

// WithGuard sets the loopback address of the order guard.
func WithGuard(address string, opts ...orderguard.Option) Option {
	return func(o *Orders) { o.guard, o.flight = address, opts }
}

// WithFencing says that the engine checks fencing numbers.
func WithFencing() Option { return func(o *Orders) { o.checks = true } }

// WithQuiesce sets what empties the engine before its role changes.
func WithQuiesce(quiet QuiesceFunc) Option { return func(o *Orders) { o.quiet = quiet } }

// WithTimeout bounds the wait for one answer of the engine.
func WithTimeout(d time.Duration) Option { return func(o *Orders) { o.timeout = d } }

// New returns the orders to one engine.
func New(engine carawayspread.Engine, lease Lease, clock carawayspread.Clock, opts ...Option) *Orders {
	o := &Orders{
		engine:  engine,
		lease:   lease,
		clock:   clock,
		quiet:   func(context.Context) (func(), error) { return func() {}, nil },
		timeout: defaultTimeout,
		repeats: defaultRepeats,
		turn:    make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.turn <- struct{}{}
	return o
}

// Run acquires the authority over the engine and keeps it until ctx ends. The
// guard stays with the process; runs follow one another, never overlap.
func (o *Orders) Run(ctx context.Context) error {
	if err := o.acquire(ctx); err != nil {
		return err
	}
	return o.lease.Run(ctx)
}

func (o *Orders) acquire(ctx context.Context) (err error) {
	if o.guard == "" || o.waited {
		return nil
	}
	if o.held == nil {
		if o.held, err = orderguard.Acquire(ctx, o.guard, o.clock, o.flight...); err != nil {
			return err
		}
	}
	if err = o.held.Settle(ctx, o.engine); err != nil {
		return err
	}
	o.waited = true
	return nil
}

// Do carries out an order of a plan and returns the engine's state after it.
// Orders of one plan are done in the order of the calls. Any error but
// ErrNoAuthority and ErrOutdated leaves open whether the order took effect.
func (o *Orders) Do(ctx context.Context, plan uint64, order carawayspread.Order) (carawayspread.EngineState, error) {
	select {
	case <-o.turn:
	case <-ctx.Done():
		return carawayspread.EngineState{}, ErrNoAuthority
	}
	defer func() { o.turn <- struct{}{} }()
	if plan < o.newest {
		return carawayspread.EngineState{}, ErrOutdated
	}
	o.newest = plan
	state, err := o.ready(ctx)
	if err != nil {
		return state, err
	}
	if inEffect(order, state) {
		return state, nil
	}
	if order.Kind != carawayspread.OrderSetRole {
		return o.carryOut(ctx, order)
	}
	resume, err := o.quiet(ctx)
	if err != nil {
		return state, trace.Wrap(err, "running work has not ended, nothing sent")
	}
	defer resume()
	if state, err = o.idle(ctx); err != nil {
		return state, err
	}
	return o.carryOut(ctx, order)
}

// ready waits until the engine is not changing and, where it checks fencing
// numbers, holds ours.
func (o *Orders) ready(ctx context.Context) (carawayspread.EngineState, error) {
	state, err := o.settled(ctx)
	if err != nil || !o.checks || (o.raised == o.lease.Epoch() && o.boot == state.Boot) {
		return state, err
	}
	if err := o.raise(ctx, state); err != nil {
		return state, err
	}
	return o.settled(ctx)
}

// raise repeats the engine's last order under our number.
//
// Failure: an order of the last holder arrives after we read the state and
// before our first order. Symptom: it runs together with ours, since the engine
// does not know our number yet. The repeated id changes nothing but the number,
// after which older orders are refused, and the state is read again.
func (o *Orders) raise(ctx context.Context, state carawayspread.EngineState) error {
	order := carawayspread.Order{ID: state.LastID, Kind: carawayspread.OrderSetVersion, Value: state.Version}
	if order.ID == "" {
		order.ID = "first"
	}
	epoch := o.lease.Epoch()
	if _, err := o.send(ctx, order); err != nil {
		return err
	}
	o.raised, o.boot = epoch, state.Boot
	return nil
}

// send gives the order to the engine if the lease lasts until its answer is due.
func (o *Orders) send(ctx context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	order.Fence = o.lease.Epoch()
	if !o.lease.Valid(o.timeout) {
		return carawayspread.EngineState{}, ErrNoAuthority
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.engine.Order(ctx, order)
}
