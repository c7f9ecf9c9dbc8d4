package gatewayd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/connection/backoff"
	"carawayspread/internal/controller/usagepublisher"
	"carawayspread/internal/controller/usagereporter"
	"carawayspread/internal/decision/usage"
	"carawayspread/internal/process/decisionlog"
)

// reportRetryBase and reportRetryLimit bound the first and any later wait after a report
// without an answer.
const (
	reportRetryBase  = 200 * time.Millisecond
	reportRetryLimit = time.Second
)

// usageDuty is the process's part in reporting the usage of workspaces.
type usageDuty struct {
	terms     carawayspread.UsageWindows
	ledger    *usage.Ledger
	publisher *usagepublisher.Publisher
	reporter  *usagereporter.Reporter
	named     atomic.Pointer[carawayspread.Keyring] // whose workspaces the ledger names
}

// account prepares the counting of usage, where it is reported.
func (d *Daemon) account(ports Ports) {
	s := d.settings.Usage()
	if s == nil || ports.Usage == nil {
		return
	}
	servesAlone := d.settings.Revoked()
	if servesAlone == 0 {
		servesAlone = time.Minute // a process that nobody hears serves on
	}
	ledger := usage.New(d.peers.ID())
	d.usage = &usageDuty{
		terms: s.Terms(), ledger: ledger,
		publisher: usagepublisher.New(ledger, d.peers, s.Terms(), d.trueTime.Now, d.clock),
		reporter: usagereporter.New(d.settings.ID(), s.Terms(), usagereporter.Deps{
			Ledger: ledger, Fleet: d.peers, Sink: ports.Usage, Table: ports.Table, Uptime: ports.Uptime,
			SyncedTime: d.trueTime.Now, Workspaces: d.workspaces, MaxIsolation: servesAlone,
			Backoff: backoff.New(d.clock, reportRetryBase, reportRetryLimit),
			Clock:   d.clock, Log: d.lines, Metrics: d.gateway.Metrics(),
		}),
	}
}

// runUsage counts and reports until the functions that it returns are called: the first
// has another process report and does not wait, the second returns when peers were told
// the last counts.
func (d *Daemon) runUsage(ctx context.Context) (endReports, endCounts func()) {
	if d.usage == nil {
		return func() {}, func() {}
	}
	reports, endReports := context.WithCancel(ctx)
	counts, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = d.usage.reporter.Run(reports) }) // both end with their contexts alone
	running.Go(func() { _ = d.usage.publisher.Run(counts) })
	return endReports, func() {
		endReports()
		cancel()
		running.Wait()
	}
}

// workspaces returns the names of those that hold a key.
func (d *Daemon) workspaces() map[string]bool {
	routing := d.gateway.Routing()
	if routing == nil || routing.Keyring() == nil {
		return nil
	}
	return routing.Keyring().Names()
}

func (d *Daemon) name(t *carawayspread.Routing) {
	keyring := t.Keyring()
	if d.usage == nil || keyring == nil || d.usage.named.Swap(keyring) == keyring {
		return
	}
	d.usage.ledger.AddNames(keyring.Names())
}

// began counts a request that began to run so long ago.
func (d *Daemon) began(workspace string, ago time.Duration) {
	if d.usage == nil {
		return
	}
	now, known := d.trueTime.Now()
	window := d.usage.terms.Window(now - ago)
	if !known || !d.usage.ledger.Count(window, workspace) {
		d.lines.Write(decisionlog.Start("usage").Text("workspace", workspace).Int("window", window).Text("outcome", "late"))
		d.gateway.Metrics().GetOrCreateCounter("gateway_usage_late_total").Inc()
	}
}

// UsageReceived takes what a peer counted.
func (d *Daemon) UsageReceived(s carawayspread.UsageStatement) bool {
	return d.usage != nil && d.usage.ledger.Merge(s)
}

// Acknowledged takes note that a peer knows what this process counted in a window.
func (d *Daemon) Acknowledged(peer uint64, window int64) {
	if d.usage != nil {
		d.usage.publisher.Acknowledged(peer, window)
	}
}
