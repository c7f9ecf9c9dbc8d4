package gatewayd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/controller/leasewitnesses"
	"carawayspread/internal/controller/usagepublisher"
	"carawayspread/internal/controller/usagereporter"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

// reportRetryBase and reportRetryLimit limit the wait after the first and after any later report
// without a reply.
const (
	reportRetryBase  = 200 * time.Millisecond
	reportRetryLimit = time.Second
)

// usageAccounting holds what this process needs to count and report the usage of workspaces.
type usageAccounting struct {
	windows   carawayspread.UsageWindows
	ledger    *usage.Ledger
	publisher *usagepublisher.Publisher
	reporter  *usagereporter.Reporter
	witnesses *leasewitnesses.Witnesses             // nil if reports wait while the table is silent
	keyring   atomic.Pointer[carawayspread.Keyring] // whose workspace names the ledger has
}

// setUpUsage creates the usage accounting if usage is to be reported.
func (d *Daemon) setUpUsage(ports Ports) {
	s := d.settings.Usage()
	if s == nil || ports.Usage == nil {
		return
	}
	maxIsolation := d.settings.RevocationBound()
	if maxIsolation == 0 {
		maxIsolation = time.Minute // without a revocation bound, an isolated process keeps serving
	}
	ledger := usage.New(d.peers.ID())
	deps := usagereporter.Deps{
		Ledger: ledger, Fleet: d.peers, Sink: ports.Usage, Table: ports.Table, Uptime: ports.Uptime,
		SyncedTime: d.syncedClock.Now, Workspaces: d.workspaces, MaxIsolation: maxIsolation,
		Backoff: backoff.New(d.clock, reportRetryBase, reportRetryLimit),
		Clock:   d.clock, Log: d.decisionLog, Metrics: d.gateway.Metrics(),
	}
	d.usage = &usageAccounting{
		windows: s.Windows(), ledger: ledger,
		publisher: usagepublisher.New(ledger, d.peers, s.Windows(), d.syncedClock.Now, d.clock),
	}
	if s.ThroughSilence() {
		witnesses := leasewitnesses.New(d.peers, carawayspread.UptimeClock(ports.Uptime, d.clock), usagereporter.ActingLimit)
		d.peers.SetWitnessReceiver(witnesses)
		d.gateway.Metrics().NewGauge("gateway_usage_witnesses", func() float64 { return float64(witnesses.Named()) })
		d.usage.witnesses, deps.Witnesses = witnesses, witnesses
	}
	d.usage.reporter = usagereporter.New(d.settings.ID(), s.Windows(), deps)
}

// runUsage publishes and reports usage until the returned functions are called. stopReports has this
// process hand the reports over to another one, and does not wait. stopCounts ends the reports, which go on
// until the grace period is nearly over while nobody can take them over, then the publishing, and returns
// after the final counts were sent to the collectors.
func (d *Daemon) runUsage(ctx context.Context) (stopReports, stopCounts func()) {
	if d.usage == nil {
		return func() {}, func() {}
	}
	reports, cancelReports := context.WithCancel(ctx)
	counts, cancelCounts := context.WithCancel(ctx)
	var running sync.WaitGroup
	left := make(chan struct{})
	running.Go(func() {
		defer close(left)
		_ = d.usage.reporter.Run(reports) // ends only when it has left or its context has ended
	})
	running.Go(func() { _ = d.usage.publisher.Run(counts) }) // ends only when its context does
	if w := d.usage.witnesses; w != nil {
		running.Go(func() { _ = w.Run(counts) })
	}
	end := d.clock.Now()
	stopReports = sync.OnceFunc(func() {
		end = d.clock.Now().Add(time.Duration(graceForRequests * float64(d.settings.Grace())))
		d.usage.reporter.Leave()
	})
	return stopReports, func() {
		select {
		case <-left:
		case <-ctx.Done():
		case <-d.clock.After(end.Sub(d.clock.Now())):
		}
		cancelReports()
		cancelCounts()
		running.Wait()
	}
}

// workspaces returns the names of the workspaces that have an API key.
func (d *Daemon) workspaces() map[string]bool {
	routing := d.gateway.Routing()
	if routing == nil || routing.Keyring() == nil {
		return nil
	}
	return routing.Keyring().Names()
}

// addWorkspaceNames adds the workspaces of a new keyring to the usage ledger.
func (d *Daemon) addWorkspaceNames(t *carawayspread.Routing) {
	keyring := t.Keyring()
	if d.usage == nil || keyring == nil || d.usage.keyring.Swap(keyring) == keyring {
		return
	}
	d.usage.ledger.AddNames(keyring.Names())
}

// countRequest counts a request that started to run that long ago.
func (d *Daemon) countRequest(workspace string, ago time.Duration) {
	if d.usage == nil {
		return
	}
	now, known := d.syncedClock.Now()
	window := d.usage.windows.Window(now - ago)
	if !known || !d.usage.ledger.Count(window, workspace) {
		d.decisionLog.Write(decisionlog.Start("usage").Text("workspace", workspace).Int("window", window).Text("outcome", "late"))
		d.gateway.Metrics().GetOrCreateCounter("gateway_usage_late_total").Inc()
	}
}

// UsageReceived merges the counts of a peer, and reports whether all counts of the peer for the window
// have arrived and it has closed the window.
func (d *Daemon) UsageReceived(s carawayspread.UsageStatement) bool {
	return d.usage != nil && d.usage.ledger.Merge(s)
}

// Acknowledged records that a peer has all counts of this process for a closed window.
func (d *Daemon) Acknowledged(peer uint64, window int64) {
	if d.usage != nil {
		d.usage.publisher.Acknowledged(peer, window)
	}
}
