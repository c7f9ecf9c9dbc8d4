// Package dev runs a complete small fleet in one process on the loopback interface: an entry, a sidecar
// in each availability zone, and stand-ins for the platform and the endpoints. It is meant for trying
// out and for tests, not for production.
package dev

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"text/template"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/daemon/base"
	"carawayspread/internal/daemon/entryd"
	"carawayspread/internal/daemon/sidecard"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/changelog"
	"carawayspread/internal/version/settings"
)

//go:embed entry.jsonc.tmpl
var entryTemplate string

//go:embed sidecar.jsonc.tmpl
var sidecarTemplate string

//go:embed config.jsonc
var initialConfig []byte

// zones are the availability zones of the fleet.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Options holds the addresses for callers and operators.
type Options struct {
	Listen      string // IP address and port for callers
	AdminListen string // IP address and port of the administration API
	Out         io.Writer
}

// Fleet is a small fleet in this process.
type Fleet struct {
	clock    carawayspread.Clock
	platform *platform
	base     *base.Base // of the entry
	entry    *entryd.Daemon
	sidecars []*sidecard.Daemon
}

// templateData is the input of the settings templates.
type templateData struct {
	Options
	Platform  *platform
	Zone      string
	Endpoints []endpointRow
}

type endpointRow struct {
	ID, Service, Kind, Address string
}

// New returns a fleet and starts to listen on all its addresses.
func New(opts Options, clock carawayspread.Clock, l log.Interface) (*Fleet, error) {
	p, err := newPlatform(clock)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Fleet{clock: clock, platform: p}
	for _, zone := range zones {
		if err := f.addSidecar(zone, clock, l); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	s, err := render("entry", entryTemplate, templateData{Options: opts, Platform: p, Zone: zones[0]})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.base = base.New(s, clock, l)
	f.entry, err = entryd.New(f.base)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.list.Put(f.entry.Instance())
	return f, nil
}

func (f *Fleet) addSidecar(zone string, clock carawayspread.Clock, l log.Interface) error {
	endpoints, err := f.platform.addEndpoints(zone)
	if err != nil {
		return err
	}
	s, err := render("sidecar", sidecarTemplate, templateData{Platform: f.platform, Zone: zone, Endpoints: endpoints})
	if err != nil {
		return err
	}
	d, err := sidecard.New(base.New(s, clock, l))
	if err != nil {
		return err
	}
	f.platform.list.Put(d.Instance())
	f.sidecars = append(f.sidecars, d)
	return nil
}

func render(name, text string, data templateData) (*settings.Settings, error) {
	t, err := template.New(name).Parse(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var body bytes.Buffer
	if err := t.Execute(&body, data); err != nil {
		return nil, trace.Wrap(err)
	}
	return settings.Parse(name, body.Bytes())
}

// configure stores the initial configuration and returns when ctx ends.
func (f *Fleet) configure(ctx context.Context) error {
	initial := change.Parse("config.jsonc", initialConfig)
	_, _, err := f.base.Changes().Append(ctx, changelog.Proposal{Change: initial, Actor: "dev", Held: f.base.Config().Held()})
	if err != nil {
		return trace.Wrap(err)
	}
	f.base.Config().ObserveVersion(1)
	<-ctx.Done()
	return nil
}

// CallerAddress returns the IP address and port for callers.
func (f *Fleet) CallerAddress() string { return f.entry.Instance().Address }

// AdminAddress returns the IP address and port of the administration API.
func (f *Fleet) AdminAddress() string { return f.entry.AdminAddress() }

// Ready waits until the entry routes to all endpoints of the fleet. It returns an error if ctx ends
// before.
func (f *Fleet) Ready(ctx context.Context) error {
	for f.entry.RoutedEndpoints() < len(zones)*(enginesPerZone+1) {
		select {
		case <-f.clock.After(readyPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const readyPoll = 5 * time.Millisecond

// announce prints the addresses when the fleet is ready, and returns when ctx ends.
func (f *Fleet) announce(ctx context.Context, out io.Writer) error {
	if f.Ready(ctx) == nil {
		_, _ = fmt.Fprintf(out, "callers:        http://%s\nadministration: http://%s\n", f.CallerAddress(), f.AdminAddress())
	}
	<-ctx.Done()
	return nil
}

// Run serves until ctx ends and all requests are answered. The addresses are printed to out.
func (f *Fleet) Run(ctx context.Context, out io.Writer) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(func() error { return f.entry.Run(ctx) }, func(error) {})
	for _, d := range f.sidecars {
		group.Add(func() error { return d.Run(runCtx) }, func(error) { stop() })
	}
	group.Add(func() error { return f.platform.run(runCtx) }, func(error) { stop() })
	group.Add(func() error { return f.configure(runCtx) }, func(error) { stop() })
	group.Add(func() error { return f.announce(runCtx, out) }, func(error) { stop() })
	return trace.Wrap(group.Run())
}
