package sidecard

import (
	"context"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/engine"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/orders"
	"carawayspread/internal/controller/planfollower"
	"carawayspread/internal/controller/planstore"
	"carawayspread/internal/version/settings"
)

// orderTimeout bounds the wait for one answer. The outcome of an order that
// takes longer, as loading a model does, is read back from the engine's state.
const orderTimeout = 2 * time.Second

// followers returns what carries out the plans, one for each service of the
// model engines beside this sidecar.
func (d *Daemon) followers() []*planfollower.Follower {
	byService := map[string]map[carawayspread.EndpointID]planfollower.Engine{}
	for _, e := range d.base.Settings().Endpoints() {
		if e.Kind() != carawayspread.KindModel {
			continue
		}
		if byService[e.Service()] == nil {
			byService[e.Service()] = map[carawayspread.EndpointID]planfollower.Engine{}
		}
		byService[e.Service()][e.ID()] = d.orders(e)
	}
	list := []*planfollower.Follower{}
	for service, engines := range byService {
		list = append(list, planfollower.New(planstore.New(d.base.Table(), service), engines, d.base.Clock(), d.base.Log()))
	}
	return list
}

// orders returns what gives orders to one engine. Its lease is named after the
// endpoint, so that a sidecar that is started anew follows the one before.
func (d *Daemon) orders(e settings.Endpoint) *orders.Orders {
	opts := []orders.Option{
		orders.WithTimeout(orderTimeout),
		orders.WithQuiesce(func(ctx context.Context) (func(), error) { return d.quiet(ctx, e.ID()) }),
	}
	if e.OrderGuard() != "" {
		opts = append(opts, orders.WithGuard(e.OrderGuard()))
	}
	if e.ChecksFence() {
		opts = append(opts, orders.WithFencing())
	}
	client := engine.New(e.Address(), &http.Client{})
	held := lease.New(d.base.Table(), d.base.Clock(), "engine/"+string(e.ID()))
	return orders.New(client, held, d.base.Clock(), opts...)
}

// quiet empties an endpoint. Entries learn of it from refusals, which they send
// elsewhere, and from the next report; that it is open again they are told at
// once.
func (d *Daemon) quiet(ctx context.Context, id carawayspread.EndpointID) (func(), error) {
	resume, err := d.sidecar.Quiesce(ctx, id)
	if err != nil {
		return nil, err
	}
	return func() {
		resume()
		d.askReport()
	}, nil
}

func (d *Daemon) askReport() {
	select {
	case d.nudge <- struct{}{}:
	default:
	}
}
