package dev

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"carawayspread"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/standin/engine"
	"carawayspread/internal/standin/instances"
	"carawayspread/internal/standin/objects"
	"carawayspread/internal/standin/plain"
	"carawayspread/internal/standin/table"
	"carawayspread/internal/standin/weights"
)

const (
	enginesPerZone = 2
	tokenEvery     = 5 * time.Millisecond
	prefillRate    = 20_000 // tokens per second
	plainDelay     = 2 * time.Millisecond
	engineRestart  = 2 * time.Second
	roleChange     = 3 * time.Second
	weightEvery    = 500 * time.Millisecond
	weightBurst    = 2
	weightBytes    = 1 << 20
)

// platform is the set of stand-ins of a fleet with their addresses.
type platform struct {
	Table, Objects, InstanceList, Weights string

	list    *instances.List
	servers []*server.Server
}

func newPlatform(clock carawayspread.Clock) (*platform, error) {
	p := &platform{list: instances.New(clock, 0)}
	for _, standin := range []struct {
		address *string
		handler http.Handler
	}{
		{&p.Table, table.New(clock)},
		{&p.Objects, objects.New(clock)},
		{&p.InstanceList, p.list},
		{&p.Weights, weights.New(clock, weightEvery, weightBurst, weightBytes)},
	} {
		address, err := p.serve(standin.handler)
		if err != nil {
			return nil, err
		}
		*standin.address = address
	}
	return p, nil
}

func (p *platform) serve(handler http.Handler) (string, error) {
	s, err := server.Listen("127.0.0.1:0", handler)
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.servers = append(p.servers, s)
	return s.Address(), nil
}

// addEndpoints starts to listen for the endpoints of one availability zone.
func (p *platform) addEndpoints(zone string) ([]endpointRow, error) {
	rows := []endpointRow{}
	for i := range enginesPerZone {
		e := engine.New(engine.Models("stand-in"), engine.ChecksFence(), engine.TokenEvery(tokenEvery),
			engine.PrefillRate(prefillRate), engine.Restart(engineRestart), engine.RoleChange(roleChange))
		address, err := p.serve(e)
		if err != nil {
			return nil, err
		}
		id := zone + "-engine-" + string(rune('1'+i))
		rows = append(rows, endpointRow{ID: id, Service: "assistant", Kind: string(carawayspread.KindModel), Address: address})
	}
	address, err := p.serve(plain.New(plainDelay))
	if err != nil {
		return nil, err
	}
	return append(rows, endpointRow{ID: zone + "-records", Service: "records", Kind: string(carawayspread.KindPlain), Address: address}), nil
}

func (p *platform) run(ctx context.Context) error {
	var group run.Group
	for _, s := range p.servers {
		group.Add(s.Run, func(error) { _ = s.Shutdown(ctx) })
	}
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
	return group.Run()
}
