// Package entryd composes the daemon that takes callers' requests: data path,
// administration, control service, and what it knows of the fleet.
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
	"carawayspread/internal/controller/trial"
	"carawayspread/internal/daemon/base"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/process/admin"
	"carawayspread/internal/process/entry"
	"carawayspread/internal/process/fleet"
	"carawayspread/internal/process/ledger"
	"carawayspread/internal/process/loads"
	"carawayspread/internal/process/watch"
)

// Daemon is one entry process.
type Daemon struct {
	base    *base.Base
	entry   *entry.Entry
	data    *server.Server
	admin   *server.Server
	control *server.Server
	reports *report.Socket
	ledger  *ledger.Ledger
	changed chan struct{} // holds one word that the configuration changed
	known   atomic.Pointer[directory]
	loads   *loads.Completer // used by reported alone
	routed  atomic.Int64     // endpoints that the entry was given
	mu      sync.Mutex       // serialises updates of the entry's endpoints
}

// directory resolves the endpoints that reports name by their hash; immutable.
type directory struct {
	instances []carawayspread.Instance
	byHash    map[string]map[uint32]carawayspread.InstanceEndpoint // by instance
}

// New opens the daemon's addresses.
func New(b *base.Base, opts ...entry.Option) (*Daemon, error) {
	d := &Daemon{base: b, loads: loads.New(), changed: make(chan struct{}, 1)}
	d.known.Store(&directory{})
	s := b.Settings()
	d.ledger = ledger.New(b.Table(), b.Objects(), b.Clock(), ledger.WithInstances(s.ID(), d.isListed))
	opts = append([]entry.Option{
		entry.WithClock(b.Clock()), entry.WithLog(b.Log()), entry.WithLedger(d.ledger),
		entry.WithBodyLimit(s.Limits().BodyBytes()), entry.WithStall(s.Timeouts().BetweenBytes()),
		entry.WithTrials(trial.New(b.Table(), b.Clock(), s.ID()+"/"+uuid.NewString())),
	}, opts...)
	d.entry = entry.New(b.Config(), decisions(s.Zone(), b.Clock()), opts...)
	b.OnAdopted(func(*carawayspread.Config) { d.adopted() })
	return d, trace.Wrap(d.listen())
}

// isListed reports whether the instance is in the list; true while none is known.
func (d *Daemon) isListed(id string) bool {
	instances := d.base.Instances()
	return len(instances) == 0 || slices.ContainsFunc(instances, func(i carawayspread.Instance) bool { return i.ID == id })
}

func (d *Daemon) listen() error {
	s := d.base.Settings()
	ready := func() bool { return !d.entry.Draining() && d.Known() > 0 }
	callers := http.NewServeMux()
	callers.Handle("/", d.entry)
	server.ObserveHealth(callers, ready)
	operators := http.NewServeMux()
	operators.Handle("/admin/", d.administration())
	server.Observe(operators, ready, d.entry.Metrics(), d.base.Metrics())
	peers := http.NewServeMux()
	server.Observe(peers, ready, d.entry.Metrics(), d.base.Metrics())
	peers.Handle(control.ControlPathPrefix, control.NewControlServer(d))
	var err error
	if d.data, err = d.base.Listen(s.Listen(), callers); err != nil {
		return err
	}
	if d.admin, err = d.base.Listen(s.Admin(), operators); err != nil {
		return err
	}
	if d.control, err = d.base.Listen(s.Control(), peers); err != nil {
		return err
	}
	d.reports, err = report.Listen(d.control.Address())
	return err
}

// administration returns the administration API over what this entry knows.
func (d *Daemon) administration() http.Handler {
	listed := func(context.Context) ([]carawayspread.Instance, error) { return d.base.Instances(), nil }
	client := &http.Client{}
	dial := func(address string) control.Control {
		return control.NewControlProtobufClient("http://"+address, client)
	}
	return admin.New(d.base.Changes(), d.base.Config(), fleet.New(listed, dial), d.base.Clock(), admin.WithLogger(d.base.Log()))
}

// Run serves until ctx ends, then refuses new requests and returns when the
// last one has its answer.
func (d *Daemon) Run(ctx context.Context) error {
	group := d.base.Group(ctx, d.listed, d.data, d.admin, d.control)
	group.Go(d.entry.Run)
	group.Go(d.ledger.Run)
	group.Go(func(work context.Context) error { return d.reports.Receive(work, d.reported) })
	group.Go(d.planRoles)
	group.Go(func(work context.Context) error { return d.leaveAfter(ctx, work) })
	d.base.Log().WithField("listen", d.data.Address()).WithField("admin", d.admin.Address()).WithField("control", d.control.Address()).Info("entry serves")
	err := group.Wait(ctx)
	d.entry.Close()
	d.base.Log().Info("entry ended")
	return trace.Wrap(err)
}

// leaveAfter returns when ctx has ended and every request has its answer.
//
// The dispatchers and the watch must live until then: a queued request that nobody
// sends would hold up the shutdown for ever.
func (d *Daemon) leaveAfter(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return work.Err()
	}
	d.entry.Drain()
	d.base.Log().Info("entry leaves")
	return d.base.Finish(work, d.data, d.data.Shutdown)
}

func (d *Daemon) adopted() {
	d.update()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// update applies the instance list and the configuration to the entry.
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

func (d *Daemon) listed(instances []carawayspread.Instance) {
	next := &directory{instances: instances, byHash: map[string]map[uint32]carawayspread.InstanceEndpoint{}}
	for _, instance := range instances {
		byHash := map[uint32]carawayspread.InstanceEndpoint{}
		for _, endpoint := range instance.Endpoints {
			byHash[report.Hash(endpoint.ID)] = endpoint
		}
		next.byHash[instance.ID] = byHash
	}
	d.known.Store(next)
	d.update()
}

// reported passes a load report on. Its calls do not overlap. The loads are
// those that the sidecar counted itself when it sent the report.
func (d *Daemon) reported(r *control.LoadReport) {
	d.base.Config().ObserveVersion(carawayspread.Version(r.GetConfigVersion()))
	if !d.loads.Complete(r) {
		return
	}
	byHash := d.known.Load().byHash[r.GetInstance()]
	now := d.base.Clock().Now()
	for i, state := range r.GetEndpoints() {
		if endpoint, ok := byHash[state.GetEndpointHash()]; ok {
			d.entry.Reported(endpoint.Service, reportOf(r, i, endpoint.ID, now))
		}
	}
}

// reportOf returns the report of the endpoint at that place.
func reportOf(r *control.LoadReport, i int, id carawayspread.EndpointID, now time.Time) carawayspread.EndpointReport {
	state := r.GetEndpoints()[i]
	seen := carawayspread.EndpointReport{
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
		seen.Waiting = int(r.GetWaiting()[i])
	}
	if len(r.GetFlags()) > 0 {
		flag := r.GetFlags()[i]
		seen.Draining = seen.Draining || flag&control.EndpointFlag_ENDPOINT_FLAG_DRAINING != 0
		seen.Crashed = flag&control.EndpointFlag_ENDPOINT_FLAG_CRASHED != 0
	}
	return seen
}

// Instance returns the daemon's row of the instance list, with the addresses
// that are really open.
func (d *Daemon) Instance() carawayspread.Instance {
	row := d.base.Settings().Instance()
	row.Address = d.data.Address()
	row.Control = d.control.Address()
	return row
}

// Admin returns IP number and port of the administration API.
func (d *Daemon) Admin() string { return d.admin.Address() }

// Known returns the number of endpoints that the entry routes to.
func (d *Daemon) Known() int { return int(d.routed.Load()) }
