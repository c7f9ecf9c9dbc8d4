// Package entryd assembles the entry daemon, which accepts callers' requests: data path,
// administration API, control service and the state of the fleet.
package entryd

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/report"
	"carawayspread/internal/controller/partexchange"
	"carawayspread/internal/controller/startreserve"
	"carawayspread/internal/controller/trial"
	"carawayspread/internal/daemon/base"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/decision/retrybudget"
	"carawayspread/internal/process/admin"
	"carawayspread/internal/process/entry"
	"carawayspread/internal/process/fleet"
	"carawayspread/internal/process/ledger"
	"carawayspread/internal/process/loads"
	"carawayspread/internal/process/watch"
)

// Daemon is an entry process.
type Daemon struct {
	base          *base.Base
	entry         *entry.Entry
	data          *server.Server
	admin         *server.Server
	control       *server.Server
	reports       *report.Socket
	ledger        *ledger.Ledger
	exchange      *partexchange.Exchange
	reserve       retrybudget.Reserve
	startReserve  *startreserve.Claimer
	configChanged chan struct{} // signals planRoles; capacity 1
	directory     atomic.Pointer[directory]
	loads         *loads.Completer // used by handleReport only
	routed        atomic.Int64     // number of endpoints that the entry routes to
	mu            sync.Mutex       // serializes updates of the entry's endpoints
}

// directory maps the endpoint hashes in reports to endpoints. It is immutable.
type directory struct {
	instances []carawayspread.Instance
	byHash    map[string]map[uint32]carawayspread.InstanceEndpoint // by instance identifier
}

// New returns a daemon and starts to listen on its addresses.
func New(b *base.Base, opts ...entry.Option) (*Daemon, error) {
	d := &Daemon{base: b, loads: loads.New(), configChanged: make(chan struct{}, 1)}
	d.directory.Store(&directory{})
	s := b.Settings()
	d.exchange = partexchange.New(b.Table(), b.Clock(), b.Log())
	d.startReserve = startreserve.New(b.Table(), b.Clock(), b.Log(), s.ID(), retrybudget.RestoreTime)
	d.ledger = ledger.New(b.Table(), b.Objects(), b.Clock(), ledger.WithInstances(s.ID(), d.isListed))
	opts = append([]entry.Option{
		entry.WithClock(b.Clock()), entry.WithLog(b.Log()), entry.WithLedger(d.ledger),
		entry.WithBodyLimit(s.Limits().BodyBytes()), entry.WithStall(s.Timeouts().BetweenBytes()),
		entry.WithTrials(trial.New(b.Table(), b.Clock(), s.ID()+"/"+uuid.NewString())),
		entry.WithPartExchange(d.exchange),
	}, opts...)
	d.entry = entry.New(b.Config(), moduleFactory(s.Zone(), b.Clock(), &d.reserve), opts...)
	b.OnAdopted(func(*carawayspread.Config) { d.configAdopted() })
	return d, trace.Wrap(d.listen())
}

// isListed reports whether the instance is in the instance list. It returns true while no list is
// known.
func (d *Daemon) isListed(id string) bool {
	instances := d.base.Instances()
	return len(instances) == 0 || slices.ContainsFunc(instances, func(i carawayspread.Instance) bool { return i.ID == id })
}

func (d *Daemon) listen() error {
	s := d.base.Settings()
	ready := func() bool { return !d.entry.Draining() && d.RoutedEndpoints() > 0 && d.startReserve.Asked() }
	callers := http.NewServeMux()
	callers.Handle("/", d.entry)
	server.HandleHealth(callers, ready)
	operators := http.NewServeMux()
	operators.Handle("/admin/", d.adminHandler())
	server.HandleHealthAndMetrics(operators, ready, d.entry.Metrics(), d.base.Metrics())
	peers := http.NewServeMux()
	server.HandleHealthAndMetrics(peers, ready, d.entry.Metrics(), d.base.Metrics())
	peers.Handle(control.ControlPathPrefix, control.NewControlServer(d))
	var err error
	if d.data, err = d.base.ListenForCallers(s.Listen(), callers); err != nil {
		return err
	}
	if d.admin, err = d.base.Listen(s.Admin(), operators); err != nil {
		return err
	}
	if d.control, err = d.base.Listen(s.Control(), peers, server.WithBodyLimit(server.QueryLimit)); err != nil {
		return err
	}
	d.reports, err = report.Listen(d.control.Address())
	return err
}

// adminHandler returns the administration API, based on the configuration and instance list of this
// entry.
func (d *Daemon) adminHandler() http.Handler {
	instances := func(context.Context) ([]carawayspread.Instance, error) { return d.base.Instances(), nil }
	return admin.New(d.base.Changes(), d.base.Config(), fleet.New(instances, fleet.Dial), d.base.Clock(), admin.WithLogger(d.base.Log()))
}

// Run serves until ctx ends, then refuses new requests and returns when the running ones are
// answered.
func (d *Daemon) Run(ctx context.Context) error {
	group := d.base.Group(ctx, d.instancesChanged, d.data, d.admin, d.control)
	group.Go(d.entry.Run)
	group.Go(d.ledger.Run)
	group.Go(func(runCtx context.Context) error { return d.startReserve.Run(runCtx, d.reserve.Grant) })
	group.Go(func(runCtx context.Context) error { return d.exchange.Run(runCtx, d.entry.Parts()) })
	group.Go(func(runCtx context.Context) error { return d.reports.Receive(runCtx, d.handleReport) })
	group.Go(d.planRoles)
	group.Go(func(runCtx context.Context) error { return d.drainAfter(ctx, runCtx) })
	d.base.Log().WithField("listen", d.data.Address()).WithField("admin", d.admin.Address()).WithField("control", d.control.Address()).Info("entry serves")
	err := group.Wait(ctx)
	d.entry.Close()
	d.base.Log().Info("entry stopped")
	return trace.Wrap(err)
}

// drainAfter waits until ctx ends, and then until all requests are answered.
//
// The dispatchers and the watch of the instance list must run until then. Otherwise queued requests
// would never be sent, and the shutdown would wait for them forever.
func (d *Daemon) drainAfter(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return runCtx.Err()
	}
	d.entry.Shutdown(d.base.AbortTime())
	d.base.Log().Info("entry is draining")
	return d.base.FinishRequests(runCtx, d.data, d.data.Shutdown)
}

// configAdopted applies a changed configuration to the entry and wakes planRoles.
func (d *Daemon) configAdopted() {
	d.update()
	select {
	case d.configChanged <- struct{}{}:
	default:
	}
}

// update applies the current instance list and configuration to the entry.
func (d *Daemon) update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cfg := d.base.Config().Held()
	endpoints := watch.Endpoints(d.base.Instances())
	d.entry.Update(cfg, endpoints, len(watch.ControlAddresses(d.base.Instances(), carawayspread.InstanceEntry)))
	routed := 0
	for _, endpoint := range endpoints {
		if _, ok := cfg.Service(endpoint.Service()); ok {
			routed++
		}
	}
	d.routed.Store(int64(routed))
}

func (d *Daemon) instancesChanged(instances []carawayspread.Instance) {
	next := &directory{instances: instances, byHash: map[string]map[uint32]carawayspread.InstanceEndpoint{}}
	for _, instance := range instances {
		byHash := map[uint32]carawayspread.InstanceEndpoint{}
		for _, endpoint := range instance.Endpoints {
			byHash[report.Hash(endpoint.ID)] = endpoint
		}
		next.byHash[instance.ID] = byHash
	}
	d.directory.Store(next)
	d.update()
}

// handleReport passes a load report on to the entry. Its calls must not overlap. The loads are those
// that the sidecar counted when it sent the report.
func (d *Daemon) handleReport(r *control.LoadReport) {
	d.base.Config().ObserveVersion(carawayspread.Version(r.GetConfigVersion()))
	if !d.loads.Complete(r) {
		return
	}
	byHash := d.directory.Load().byHash[r.GetInstance()]
	now := d.base.Clock().Now()
	for i, state := range r.GetEndpoints() {
		if endpoint, ok := byHash[state.GetEndpointHash()]; ok {
			d.entry.Reported(endpoint.Service, endpointReport(r, i, endpoint.ID, now))
		}
	}
}

// endpointReport returns the report of the endpoint at index i of r.
func endpointReport(r *control.LoadReport, i int, id carawayspread.EndpointID, now time.Time) carawayspread.EndpointReport {
	state := r.GetEndpoints()[i]
	converted := carawayspread.EndpointReport{
		Endpoint:    id,
		MeasuredAt:  now,
		Running:     int(r.GetRunning()[i]),
		Slots:       max(1, int(state.GetSlots())),
		Role:        report.DecodeRole(state.GetRole()),
		Models:      state.GetModels(),
		Draining:    r.GetDraining(),
		PrefillRate: float64(state.GetPrefillRate()),
		DecodeRate:  float64(state.GetDecodeRate()),
	}
	if len(r.GetWaiting()) > 0 {
		converted.Waiting = int(r.GetWaiting()[i])
	}
	if len(r.GetFlags()) > 0 {
		flag := r.GetFlags()[i]
		converted.Draining = converted.Draining || flag&control.EndpointFlag_ENDPOINT_FLAG_DRAINING != 0
		converted.Crashed = flag&control.EndpointFlag_ENDPOINT_FLAG_CRASHED != 0
	}
	return converted
}

// Instance returns the daemon's entry in the instance list, with the addresses on which it actually
// listens.
func (d *Daemon) Instance() carawayspread.Instance {
	row := d.base.Settings().Instance()
	row.Address = d.data.Address()
	row.Control = d.control.Address()
	return row
}

// AdminAddress returns the IP address and port of the administration API.
func (d *Daemon) AdminAddress() string { return d.admin.Address() }

// RoutedEndpoints returns the number of endpoints that the entry routes to.
func (d *Daemon) RoutedEndpoints() int { return int(d.routed.Load()) }
