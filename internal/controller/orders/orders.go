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
	defaultTimeout     = 2 * time.Second        // for one response of the engine
	pollEvery          = 200 * time.Millisecond // of the state of an engine
	defaultMaxAttempts = 3
)

// Errors after which the engine is unchanged.
var (
	// ErrNoAuthority is returned while this sidecar may not send orders to the engine.
	ErrNoAuthority = errors.New("no authority over the engine, nothing sent")
	// ErrOutdated is returned for an order of a plan older than one whose orders have begun.
	ErrOutdated = errors.New("order belongs to an outdated plan, nothing sent")
)

// Lease is the lease on the engine.
type Lease interface {
	// Run acquires and renews the lease until ctx ends.
	Run(ctx context.Context) error
	// Valid reports whether the lease is held now and will be for the margin.
	Valid(margin time.Duration) bool
	// Epoch returns the fencing token; zero while the lease is not held.
	Epoch() uint64
}

// QuiesceFunc stops new requests at the engine, waits until none is running, and returns a function
// that admits requests again.
type QuiesceFunc func(ctx context.Context) (resume func(), err error)

// Orders sends orders to one engine. It is safe for concurrent use.
type Orders struct {
	engine       carawayspread.Engine
	lease        Lease
	clock        carawayspread.Clock
	quiesce      QuiesceFunc
	guardAddress string // empty if the deployment has none
	guardOpts    []orderguard.Option
	checksFence  bool // the engine checks fencing tokens
	timeout      time.Duration
	maxAttempts  int

	heldGuard    *orderguard.Guard // nil until acquired; used by Run only
	guardSettled bool              // the settle wait is over; used by Run only

	sem         chan struct{} // holds one token; its owner may send orders
	newestPlan  uint64        // newest plan with an order; guarded by sem
	raisedFence uint64        // fencing token that the engine is known to have; guarded by sem
	raisedBoot  string        // boot id of the engine when it was raised; guarded by sem
}

// Option configures Orders.
type Option func(*Orders)

// WithGuard sets the loopback address of the order guard.
func WithGuard(address string, opts ...orderguard.Option) Option {
	return func(o *Orders) { o.guardAddress, o.guardOpts = address, opts }
}

// WithFencing declares that the engine checks fencing tokens.
func WithFencing() Option { return func(o *Orders) { o.checksFence = true } }

// WithQuiesce sets the function that quiesces the engine before a role change.
func WithQuiesce(quiesce QuiesceFunc) Option { return func(o *Orders) { o.quiesce = quiesce } }

// WithTimeout sets the timeout of one call to the engine.
func WithTimeout(d time.Duration) Option { return func(o *Orders) { o.timeout = d } }

// New returns the Orders of one engine.
func New(engine carawayspread.Engine, lease Lease, clock carawayspread.Clock, opts ...Option) *Orders {
	o := &Orders{
		engine:      engine,
		lease:       lease,
		clock:       clock,
		quiesce:     func(context.Context) (func(), error) { return func() {}, nil },
		timeout:     defaultTimeout,
		maxAttempts: defaultMaxAttempts,
		sem:         make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.sem <- struct{}{}
	return o
}

// Run acquires the authority over the engine and keeps it until ctx ends. The order guard is kept
// until the process ends. Run may be called again after it has returned, but not concurrently.
func (o *Orders) Run(ctx context.Context) error {
	if err := o.acquire(ctx); err != nil {
		return err
	}
	return o.lease.Run(ctx)
}

func (o *Orders) acquire(ctx context.Context) (err error) {
	if o.guardAddress == "" || o.guardSettled {
		return nil
	}
	if o.heldGuard == nil {
		if o.heldGuard, err = orderguard.Acquire(ctx, o.guardAddress, o.clock, o.guardOpts...); err != nil {
			return err
		}
	}
	if err = o.heldGuard.Settle(ctx, o.engine); err != nil {
		return err
	}
	o.guardSettled = true
	return nil
}

// Do executes an order of a plan and returns the engine's state after it. Orders of
// one plan are executed one at a time, in the order of the calls. After any error other than
// ErrNoAuthority and ErrOutdated the order may or may not have taken effect.
func (o *Orders) Do(ctx context.Context, plan uint64, order carawayspread.Order) (carawayspread.EngineState, error) {
	select {
	case <-o.sem:
	case <-ctx.Done():
		return carawayspread.EngineState{}, ErrNoAuthority
	}
	defer func() { o.sem <- struct{}{} }()
	if plan < o.newestPlan {
		return carawayspread.EngineState{}, ErrOutdated
	}
	o.newestPlan = plan
	state, err := o.prepare(ctx)
	if err != nil {
		return state, err
	}
	if inEffect(order, state) {
		return state, nil
	}
	if order.Kind != carawayspread.OrderSetRole {
		return o.execute(ctx, order)
	}
	resume, err := o.quiesce(ctx)
	if err != nil {
		return state, trace.Wrap(err, "running requests have not ended, nothing sent")
	}
	defer resume()
	if state, err = o.awaitIdle(ctx); err != nil {
		return state, err
	}
	return o.execute(ctx, order)
}

// prepare waits until the engine is not changing and, if it checks fencing tokens, has the token of
// this sidecar.
func (o *Orders) prepare(ctx context.Context) (carawayspread.EngineState, error) {
	state, err := o.awaitStable(ctx)
	if err != nil || !o.checksFence || (o.raisedFence == o.lease.Epoch() && o.raisedBoot == state.Boot) {
		return state, err
	}
	if err := o.raiseFence(ctx, state); err != nil {
		return state, err
	}
	return o.awaitStable(ctx)
}

// raiseFence sends the engine's last order again with the fencing token of this sidecar.
//
// An order of the previous holder may arrive after this sidecar has read the state and before its
// first order. It would run concurrently with that order, since the engine does not know the newer
// token yet. An order with a known id changes nothing but the token; afterwards the engine rejects
// older orders, and the state is read again.
func (o *Orders) raiseFence(ctx context.Context, state carawayspread.EngineState) error {
	order := carawayspread.Order{ID: state.LastID, Kind: carawayspread.OrderSetVersion, Value: state.Version}
	if order.ID == "" {
		order.ID = "first"
	}
	epoch := o.lease.Epoch()
	if _, err := o.send(ctx, order); err != nil {
		return err
	}
	o.raisedFence, o.raisedBoot = epoch, state.Boot
	return nil
}

// send sends the order to the engine if the lease is valid for at least the timeout.
func (o *Orders) send(ctx context.Context, order carawayspread.Order) (carawayspread.EngineState, error) {
	order.Fence = o.lease.Epoch()
	if !o.lease.Valid(o.timeout) {
		return carawayspread.EngineState{}, ErrNoAuthority
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.engine.Order(ctx, order)
}
