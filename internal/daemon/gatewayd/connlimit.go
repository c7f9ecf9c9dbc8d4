package gatewayd

import (
	"context"

	"carawayspread/internal/decision/connlimit"
	"carawayspread/internal/decision/standstill"
	"carawayspread/internal/process/decisionlog"
)

// connectionBytes is the memory of a connection with its request, and connectionShare the share of the memory
// of a process that all connections may take.
const (
	connectionBytes = 32 << 10
	connectionShare = 0.5
)

// limitConnections makes the listener close connections unread that the process could not serve. A process
// that is leaving serves all that it still gets.
func (d *Daemon) limitConnections() {
	d.connLimit = connlimit.New(max(1, int(connectionShare*float64(d.settings.Memory())/connectionBytes)), d.settings.MaxLateness())
	shed := d.gateway.Metrics().NewCounter("gateway_connections_shed_total")
	d.listener.SetAdmission(func() bool {
		if d.draining.Load() || d.connLimit.Accept(d.connections.open()) {
			return true
		}
		shed.Inc()
		return false
	})
}

// runTimers observes how late timers fire, which shows whether the processor keeps up and when the process stood
// still.
func (d *Daemon) runTimers(ctx context.Context) error {
	accepting := true
	for {
		expected := d.clock.Now().Add(standstill.Interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(standstill.Interval):
		}
		d.standstill.Fired()
		if d.settings.MaxLateness() == 0 {
			continue
		}
		late := d.clock.Now().Sub(expected)
		share := d.connLimit.Fired(late)
		if accepting != (share == 1) {
			accepting = share == 1
			d.decisionLog.Write(decisionlog.Start("connections").Int("acceptedPercent", int64(100*share)).Ms("late", late).Int("open", int64(d.connections.open())))
		}
	}
}
