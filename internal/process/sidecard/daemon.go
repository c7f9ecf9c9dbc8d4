// Package sidecard composes the daemon beside the endpoints of an instance:
// data path, control service, load reports and the state of the endpoints.
package sidecard

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/report"
	"carawayspread/internal/process/server"
	"carawayspread/internal/process/sidecar"
	"carawayspread/internal/process/watch"
	"carawayspread/internal/version/settings"
)

// Daemon is one sidecar process.
type Daemon struct {
	settings *settings.Settings
	clock    carawayspread.Clock
	log      log.Interface
	sidecar  *sidecar.Sidecar
	data     *server.Server
	control  *server.Server
	reports  *report.Socket
	watch    *watch.Watch
	entries  atomic.Pointer[[]netip.AddrPort]
	sidecars atomic.Int64  // sidecars in the instance list
	sequence atomic.Uint64 // of load reports; starts at the time of the start
	nudge    chan struct{} // asks for a report at once
}

// New opens the daemon's addresses.
func New(s *settings.Settings, list carawayspread.InstanceList, clock carawayspread.Clock, l log.Interface) (*Daemon, error) {
	d := &Daemon{settings: s, clock: clock, log: l.WithField("instance", s.ID()), nudge: make(chan struct{}, 1)}
	d.sequence.Store(uint64(clock.Now().UnixNano()))
	d.entries.Store(&[]netip.AddrPort{})
	d.watch = watch.New(list, clock, d.log)
	d.sidecar = sidecar.New(workers(s), sidecar.WithClock(clock), sidecar.WithLog(d.log))
	var err error
	if d.data, err = server.Listen(s.Listen(), d.sidecar); err != nil {
		return nil, trace.Wrap(err)
	}
	mux := http.NewServeMux()
	server.Observe(mux, func() bool { return !d.sidecar.Draining() })
	mux.Handle(control.ControlPathPrefix, control.NewControlServer(d))
	if d.control, err = server.Listen(s.Control(), mux); err != nil {
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

// Run serves until ctx ends, then drains: it takes no new work, tells every
// entry, and returns when the last request has its answer.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(d.data.Run, func(error) { _ = d.data.Shutdown(context.Background()) })
	group.Add(d.control.Run, func(error) { _ = d.control.Shutdown(context.Background()) })
	group.Add(func() error { return d.sidecar.Run(work) }, func(error) { stop() })
	group.Add(func() error { return d.watch.Run(work, d.listed) }, func(error) { stop() })
	group.Add(func() error { return d.sendReports(work) }, func(error) { stop() })
	group.Add(func() error { return d.drainAfter(ctx, work) }, func(error) { stop() })
	d.log.WithField("listen", d.data.Address()).Info("sidecar serves")
	err := group.Run()
	_ = d.reports.Close()
	d.sidecar.Close()
	d.log.Info("sidecar ended")
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// drainAfter returns when ctx has ended and no request runs any more.
func (d *Daemon) drainAfter(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return work.Err()
	}
	d.log.WithField("running", d.sidecar.Drain("")).Info("sidecar drains")
	d.report()
	return d.sidecar.Wait(work)
}

func (d *Daemon) listed(instances []carawayspread.Instance) {
	entries := watch.Controls(instances, carawayspread.InstanceEntry)
	d.entries.Store(&entries)
	d.sidecars.Store(int64(len(watch.Controls(instances, carawayspread.InstanceSidecar))))
	for _, instance := range instances {
		if instance.ID == d.settings.ID() && instance.State == carawayspread.InstanceLeaving && !d.sidecar.Draining() {
			d.log.WithField("running", d.sidecar.Drain("")).Info("sidecar is listed as leaving and drains")
			d.report()
		}
	}
}

func (d *Daemon) sendReports(ctx context.Context) error {
	for {
		d.report()
		select {
		case <-d.clock.After(report.Interval(int(d.sidecars.Load()))):
		case <-d.nudge:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) report() {
	loads := d.sidecar.Load()
	for _, load := range loads {
		load.Endpoint = ""
	}
	err := d.reports.Send(&control.LoadReport{
		Instance:  d.settings.ID(),
		Sequence:  d.sequence.Add(1),
		Draining:  d.sidecar.Draining(),
		Endpoints: loads,
	}, *d.entries.Load())
	if err != nil {
		d.log.WithError(err).Warn("report not sent")
	}
}

// Instance returns the daemon's row of the instance list, with the addresses
// that are really open.
func (d *Daemon) Instance() carawayspread.Instance {
	row := d.settings.Instance()
	row.Address = d.data.Address()
	row.Control = d.control.Address()
	return row
}
