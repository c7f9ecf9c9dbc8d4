// Package dev runs a whole small fleet on loopback in one process: an entry,
// a sidecar in each availability zone, and stand-ins for the platform and the
// endpoints. It is meant for a first look and for tests, never for service.
package dev

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"text/template"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/connection/instancelist"
	"carawayspread/internal/process/entryd"
	"carawayspread/internal/process/sidecard"
	"carawayspread/internal/version/settings"
)

//go:embed entry.jsonc.tmpl
var entryTemplate string

//go:embed sidecar.jsonc.tmpl
var sidecarTemplate string

// zones are the availability zones of the small fleet.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Options are the addresses that callers and operators use.
type Options struct {
	Listen      string // IP number and port for callers
	AdminListen string // IP number and port of the administration API
	Out         io.Writer
}

// Fleet is the running small fleet.
type Fleet struct {
	platform *platform
	entry    *entryd.Daemon
	sidecars []*sidecard.Daemon
}

type place struct {
	Options
	Platform  *platform
	Zone      string
	Endpoints []endpointRow
}

type endpointRow struct {
	ID, Service, Kind, Address string
}

// New opens all addresses of the fleet.
func New(opts Options, clock carawayspread.Clock, l log.Interface) (*Fleet, error) {
	p, err := newPlatform(clock)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Fleet{platform: p}
	for _, zone := range zones {
		if err := f.addSidecar(zone, clock, l); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	s, err := render("entry", entryTemplate, place{Options: opts, Platform: p, Zone: zones[0]})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.entry, err = entryd.New(s, instancelist.New("http://"+p.InstanceList), clock, l)
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
	s, err := render("sidecar", sidecarTemplate, place{Platform: f.platform, Zone: zone, Endpoints: endpoints})
	if err != nil {
		return err
	}
	d, err := sidecard.New(s, instancelist.New("http://"+f.platform.InstanceList), clock, l)
	if err != nil {
		return err
	}
	f.platform.list.Put(d.Instance())
	f.sidecars = append(f.sidecars, d)
	return nil
}

func render(name, text string, data place) (*settings.Settings, error) {
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

// Listen returns IP number and port for callers.
func (f *Fleet) Listen() string { return f.entry.Instance().Address }

// Admin returns IP number and port of the administration API.
func (f *Fleet) Admin() string { return f.entry.Admin() }

// Run serves until ctx ends and every request has its answer.
func (f *Fleet) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "callers:        http://%s\nadministration: http://%s\n", f.Listen(), f.Admin())
	below, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(func() error { return f.entry.Run(ctx) }, func(error) {})
	for _, d := range f.sidecars {
		group.Add(func() error { return d.Run(below) }, func(error) { stop() })
	}
	group.Add(func() error { return f.platform.run(below) }, func(error) { stop() })
	return trace.Wrap(group.Run())
}
