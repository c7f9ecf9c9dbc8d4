package gatewayd

import (
	"context"
	"net"
	"net/http"
	"time"

	"carawayspread/internal/connection/callers"
	"carawayspread/internal/daemon/server"
)

const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	// idleTimeout exceeds the idle timeout that operators configure for callers, so that callers
	// close idle connections first. Otherwise the gateway could close a connection on which a
	// caller has just sent a request.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

func (d *Daemon) listen() error {
	var err error
	if d.listener, err = callers.Listen(d.settings.Listen(), d.clock); err != nil {
		return err
	}
	d.setUpIntake()
	if err := callers.BoundReceiveBuffers(d.listener, d.shares.ReceiveBuffer); err != nil {
		d.log.WithError(err).Warn("cannot bound receive buffers; the kernel holds more of what is not read")
	}
	d.limitConnections()
	d.callers = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ConnState: d.setState,
		ConnContext: callers.ConnContext,
		BaseContext: func(net.Listener) context.Context { return d.requestCtx },
	}
	health := http.NewServeMux()
	health.HandleFunc("GET /{path...}", d.serveReadiness)
	if d.health, err = server.Listen(d.settings.Health(), health, server.WithBodyLimit(server.QueryLimit), d.withAccounts()); err != nil {
		return err
	}
	d.control = server.New(d.peers.Listener(), d.learner.Handler(), server.WithBodyLimit(server.QueryLimit), d.withAccounts())
	observe := http.NewServeMux()
	server.HandleHealthAndMetrics(observe, d.Ready, d.gateway.Metrics())
	d.metrics, err = server.Listen(d.settings.Metrics(), observe, server.WithBodyLimit(server.QueryLimit), d.withAccounts())
	return err
}

// setState is the ConnState hook of the server for callers.
func (d *Daemon) setState(conn net.Conn, state http.ConnState) {
	callers.ConnState(conn, state)
	d.connections.setState(conn, state)
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
