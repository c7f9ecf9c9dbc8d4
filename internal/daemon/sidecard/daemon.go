// Package sidecard assembles the sidecar daemon, which runs next to the endpoints of an instance: data
// path, control service, load reports and the state of the endpoints.
package sidecard

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/report"
	"carawayspread/internal/controller/trial"
	"carawayspread/internal/daemon/base"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/process/attempts"
	"carawayspread/internal/process/reporter"
	"carawayspread/internal/process/sidecar"
	"carawayspread/internal/process/watch"
	"carawayspread/internal/version/settings"
)

// Daemon is a sidecar process.
type Daemon struct {
	base      *base.Base
	sidecar   *sidecar.Sidecar
	data      *server.Server
	control   *server.Server
	reports   *report.Socket
	entries   atomic.Pointer[[]netip.AddrPort]
	sidecars  atomic.Int64 // number of sidecars in the instance list
	reporter  *reporter.Reporter
	reportNow chan struct{} // requests an immediate report; capacity 1
}

// New returns a daemon and starts to listen on its addresses.
func New(b *base.Base) (*Daemon, error) {
	d := &Daemon{base: b, reportNow: make(chan struct{}, 1)}
	d.reporter = reporter.New(b.Settings().ID(), b.Clock().Now())
	d.entries.Store(&[]netip.AddrPort{})
	s := b.Settings()
	d.sidecar = sidecar.New(workers(s), sidecar.WithClock(b.Clock()), sidecar.WithLog(b.Log()), sidecar.WithVersionObserver(b.Config().ObserveVersion),
		sidecar.WithCrashRecorder(trial.New(b.Table(), b.Clock(), s.ID()+"/"+uuid.NewString())),
		sidecar.WithDeduplicator(attempts.New(b.Clock())), sidecar.WithBodyLimit(s.Limits().BodyBytes()))
	var err error
	if d.data, err = d.base.ListenForCallers(s.Listen(), d.sidecar); err != nil {
		return nil, trace.Wrap(err)
	}
	mux := http.NewServeMux()
	server.HandleHealthAndMetrics(mux, func() bool { return !d.sidecar.Draining() }, d.sidecar.Metrics(), b.Metrics())
	mux.Handle(control.ControlPathPrefix, control.NewControlServer(d))
	if d.control, err = d.base.Listen(s.Control(), mux, server.WithBodyLimit(server.QueryLimit)); err != nil {
		return nil, trace.Wrap(err)
	}
	if d.reports, err = report.Listen(d.control.Address()); err != nil {
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func workers(s *settings.Settings) []sidecar.Worker {
	list := []sidecar.Worker{}
	for _, e := range s.Endpoints() {
		list = append(list, sidecar.Worker{ID: e.ID(), Service: e.Service(), Kind: e.Kind(), Address: e.Address(), Slots: e.Slots()})
	}
	return list
}

// Run serves until ctx ends, then drains: it refuses new requests, reports that to all entries, and
// returns when the running requests are answered.
func (d *Daemon) Run(ctx context.Context) error {
	group := d.base.Group(ctx, d.instancesChanged, d.data, d.control)
	group.Go(d.sidecar.Run)
	for _, follower := range d.followers() {
		group.Go(follower.Run)
	}
	group.Go(d.sendReports)
	group.Go(func(runCtx context.Context) error { return d.drainAfter(ctx, runCtx) })
	d.base.Log().WithField("listen", d.data.Address()).WithField("control", d.control.Address()).Info("sidecar serves")
	err := group.Wait(ctx)
	_ = d.reports.Close()
	d.sidecar.Close()
	d.base.Log().Info("sidecar stopped")
	return trace.Wrap(err)
}

// drainAfter waits until ctx ends, and then until all requests are answered.
func (d *Daemon) drainAfter(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return runCtx.Err()
	}
	d.base.Log().WithField("running", d.sidecar.Drain("")).Info("sidecar is draining")
	d.report()
	return d.base.FinishRequests(runCtx, d.data, d.sidecar.Wait)
}

func (d *Daemon) instancesChanged(instances []carawayspread.Instance) {
	entries := watch.ControlAddresses(instances, carawayspread.InstanceEntry)
	if old := d.entries.Swap(&entries); !slices.Equal(*old, entries) {
		d.reporter.ForceFull()
	}
	d.sidecars.Store(int64(len(watch.ControlAddresses(instances, carawayspread.InstanceSidecar))))
	for _, instance := range instances {
		if instance.ID == d.base.Settings().ID() && instance.State == carawayspread.InstanceLeaving && !d.sidecar.Draining() {
			d.base.Log().WithField("running", d.sidecar.Drain("")).Info("sidecar is listed as leaving; draining")
			d.report()
		}
	}
}

func (d *Daemon) sendReports(ctx context.Context) error {
	for {
		d.report()
		select {
		case <-d.base.Clock().After(report.Interval(int(d.sidecars.Load()), d.reporter.Bytes())):
		case <-d.reportNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) report() {
	next := d.reporter.Next(d.sidecar.Load(), d.base.Config().Held().Version(), d.sidecar.Draining())
	err := d.reports.Send(next, *d.entries.Load())
	if err != nil {
		d.base.Log().WithError(err).Warn("cannot send load report; the loads that entries know are outdated until the next report")
	}
}

// Instance returns the daemon's entry in the instance list, with the addresses on which it actually
// listens.
func (d *Daemon) Instance() carawayspread.Instance {
	row := d.base.Settings().Instance()
	row.Address = d.data.Address()
	row.Control = d.control.Address()
	return row
}
