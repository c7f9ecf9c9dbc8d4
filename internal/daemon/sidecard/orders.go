package sidecard

import (
	"context"
	"net/http"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/engine"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/controller/lease"
	"carawayspread/internal/controller/orders"
	"carawayspread/internal/controller/planfollower"
	"carawayspread/internal/controller/planstore"
	"carawayspread/internal/version/settings"
)

// orderTimeout limits the wait for the reply to an order. The outcome of an order that takes longer,
// such as loading a model, is read from the state of the engine.
const orderTimeout = 2 * time.Second

// followers returns the followers that execute the role plans, one for each model service that the
// engines next to this sidecar belong to.
func (d *Daemon) followers() []*planfollower.Follower {
	byService := map[string]map[carawayspread.EndpointID]planfollower.Engine{}
	for _, e := range d.base.Settings().Endpoints() {
		if e.Kind() != carawayspread.KindModel {
			continue
		}
		if byService[e.Service()] == nil {
			byService[e.Service()] = map[carawayspread.EndpointID]planfollower.Engine{}
		}
		byService[e.Service()][e.ID()] = d.newOrders(e)
	}
	list := []*planfollower.Follower{}
	for service, engines := range byService {
		list = append(list, planfollower.New(planstore.New(d.base.Table(), service), engines, d.base.Clock(), d.base.Log()))
	}
	return list
}

// newOrders returns the sender of orders to one engine. Its lease is named after the endpoint, so that
// a restarted sidecar contends for the same lease as its predecessor.
func (d *Daemon) newOrders(e settings.Endpoint) *orders.Orders {
	opts := []orders.Option{
		orders.WithTimeout(orderTimeout),
		orders.WithQuiesce(func(ctx context.Context) (func(), error) { return d.quiesce(ctx, e.ID()) }),
	}
	if e.OrderGuard() != "" {
		opts = append(opts, orders.WithGuard(e.OrderGuard()))
	}
	if e.ChecksFence() {
		opts = append(opts, orders.WithFencing())
	}
	client := engine.New(e.Address(), &http.Client{Transport: framed.New(http.DefaultTransport.(*http.Transport), framed.AllowUnmarked())})
	engineLease := lease.New(d.base.Table(), d.base.Clock(), "engine/"+string(e.ID()))
	return orders.New(client, engineLease, d.base.Clock(), opts...)
}

// quiesce makes an endpoint refuse new requests and waits until none runs there. Entries learn of it
// from the refusals, after which they send the requests to other endpoints, and from the next report.
// The returned function admits requests again and reports that at once.
func (d *Daemon) quiesce(ctx context.Context, id carawayspread.EndpointID) (func(), error) {
	resume, err := d.sidecar.Quiesce(ctx, id)
	if err != nil {
		return nil, err
	}
	return func() {
		resume()
		d.requestReport()
	}, nil
}

// requestReport makes sendReports send a report without waiting for its interval.
func (d *Daemon) requestReport() {
	select {
	case d.reportNow <- struct{}{}:
	default:
	}
}
