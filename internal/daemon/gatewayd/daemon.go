// Package gatewayd assembles the gateway daemon, which accepts callers' requests by route and sends
// them to endpoints directly, without sidecars.
package gatewayd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/knowledge"
	"carawayspread/internal/connection/peers"
	"carawayspread/internal/connection/storetime"
	"carawayspread/internal/controller/buildrecords"
	"carawayspread/internal/controller/quarantinelog"
	"carawayspread/internal/controller/rolecontroller"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/decision/clocksync"
	"carawayspread/internal/decision/connlimit"
	"carawayspread/internal/decision/intake"
	"carawayspread/internal/decision/origin"
	"carawayspread/internal/decision/runbackups"
	"carawayspread/internal/decision/runmoves"
	"carawayspread/internal/decision/standstill"
	"carawayspread/internal/decision/zonereader"
	"carawayspread/internal/process/decisionlog"
	"carawayspread/internal/process/follower"
	"carawayspread/internal/process/gateway"
	"carawayspread/internal/version/gatewaysettings"

	// The modules that the daemon runs register themselves.
	_ "carawayspread/internal/decision/baselineplacement"
	_ "carawayspread/internal/decision/ejection"
	_ "carawayspread/internal/decision/placement"
	_ "carawayspread/internal/decision/rolebalance"
	_ "carawayspread/internal/decision/rolepolicy"
)

// Ports are the adapters between the gateway and the platform.
type Ports struct {
	Transport carawayspread.EndpointTransport
	// Connections returns how many connections the transport has established; nil if it is not known.
	Connections func() uint64
	// Prober checks endpoints that broke off an answer. It is nil if they are not checked.
	Prober   carawayspread.EndpointProber
	Protocol carawayspread.Protocol
	// Source reads what operators and endpoints publish, and passes it to the sink.
	Source func(sink *Daemon) follower.Source
	// Table stores the lease for orders to engines, and Engine returns the client that sends them.
	Table  carawayspread.Table
	Engine func(carawayspread.Endpoint) carawayspread.Engine
	// Mover copies requests that run between engines. It is nil if none move.
	Mover carawayspread.RunMover
	// Uptime and StoreTime are the clocks with which the source observes the time of the store.
	Uptime    carawayspread.Uptime
	StoreTime *storetime.Clock
	// Usage accepts usage reports. It is nil if none are wanted.
	Usage carawayspread.UsageSink
}

// Daemon is a gateway process.
type Daemon struct {
	settings       *gatewaysettings.Settings
	clock          carawayspread.Clock
	log            log.Interface
	decisionLog    *decisionlog.Log
	gateway        *gateway.Gateway
	peers          *peers.Socket
	placer         carawayspread.Placer
	election       *zonereader.Election
	follower       *follower.Follower
	learner        *knowledge.Learner
	roleController *rolecontroller.Controller // nil if roles do not change
	quarantineLog  *quarantinelog.Log         // nil without a table
	partLog        *quarantinelog.Log         // nil without a table
	origins        *origin.Origins
	buildRecords   *buildrecords.Records // nil without a table
	syncedClock    *clocksync.Clock
	usage          *usageAccounting // nil if no usage is reported
	endpointsKnown atomic.Bool
	draining       atomic.Bool

	// requestCtx is the parent context of all requests of callers.
	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc

	callers     *http.Server
	connections *connections
	listener    *callers.Listener
	connLimit   *connlimit.Limit
	intake      *intake.Intake
	shares      intake.Shares
	lastCounts  intake.Counts // that were logged; used by the goroutine of the timers only
	standstill  *standstill.Detector
	acceptEnded chan struct{} // closed when no further connection is accepted
	health      *server.Server
	metrics     *server.Server
	control     *server.Server // for peers
}

// New returns a daemon and starts to listen on its addresses. The decision log is written to out.
func New(s *gatewaysettings.Settings, clock carawayspread.Clock, l log.Interface, out io.Writer, ports Ports) (*Daemon, error) {
	d := &Daemon{
		settings: s, clock: clock, log: l.WithField("instance", s.ID()), decisionLog: decisionlog.New(out),
		acceptEnded: make(chan struct{}), connections: newConnections(),
	}
	d.requestCtx, d.cancelRequests = context.WithCancelCause(context.Background())
	var err error
	if d.peers, err = peers.Listen(s.Peer(), s.Seeds(), clock); err != nil {
		return nil, trace.Wrap(err)
	}
	newPlacer, known := carawayspread.Placers.Get(s.Placement())
	if !known {
		d.log.WithField("placement", s.Placement()).Warn("unknown placement; using the default")
	}
	d.syncedClock = clocksync.New(clock, ports.StoreTime.Now)
	d.placer = newPlacer(carawayspread.Environment{
		Clock: clock, Zone: s.Zone(), Broadcast: d.peers.Broadcast,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.newOrigins(ports)
	uptimeClock := carawayspread.UptimeClock(ports.Uptime, clock)
	d.standstill = standstill.New(uptimeClock)
	retryLimits, claimRetry := d.setUpRetries(ports, uptimeClock)
	d.gateway = gateway.New(ports.Transport, ports.Protocol, d.placer, clock, d.decisionLog,
		gateway.WithConfigFreshness(freshness{d}, s.RevocationBound(), s.Bounds().ConfigApply),
		gateway.WithUsage(d.countRequest),
		gateway.WithMemory(s.Memory()),
		gateway.WithRetryBudget(retryLimits, d.peers.Fleet),
		gateway.WithRetryClaims(claimRetry),
		gateway.WithRetryClock(uptimeClock, d.standstill.WaitingSince),
		gateway.WithFeedback(d.peers.BroadcastFeedback, d.peers.Membership),
		gateway.WithListAge(d.listAge),
		gateway.WithWaiting(s.MaxWaiting()),
		gateway.WithListVersion(d.listVersion),
		gateway.WithOrigins(d.origins, d.peers),
		gateway.WithCrashReporter(func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
			d.peers.BroadcastCrash(peers.Crash{Fingerprint: fingerprint, Endpoint: string(id), Withdrawn: withdrawn})
		}),
		gateway.WithProofReporter(d.peers.BroadcastProof),
		gateway.WithAnswerReporter(d.peers.BroadcastAnswered),
		gateway.WithPartReporters(d.peers.BroadcastPartCrashes, d.peers.BroadcastPartsAnswered),
		gateway.WithTrials(d.claimTrial),
		gateway.WithReconnect(func() bool { return d.connLimit.Reconnect() }),
		gateway.WithRunMoves(runmoves.New(clock, s.Bounds().Drain), ports.Mover),
		gateway.WithRunBackups(d.newRunBackups()),
		gateway.WithEndpointProber(ports.Prober),
		gateway.WithHedging(newHedging(s.HedgingShare(), clock)))
	d.setUpPeers()
	d.setUpRoleController(ports)
	d.setUpFollower(ports)
	d.setUpUsage(ports)
	d.setUpQuarantineLogs(ports)
	d.setUpBuildRecords(ports)
	if ports.Connections != nil {
		d.gateway.Metrics().NewGauge("gateway_connections_opened", func() float64 { return float64(ports.Connections()) })
	}
	d.gateway.Metrics().NewGauge("gateway_fleet_size", func() float64 { return float64(d.peers.FleetSize()) })
	d.gateway.Metrics().NewGauge("gateway_list_version", func() float64 { return float64(d.listVersion()) })
	d.gateway.Metrics().NewGauge(fmt.Sprintf("gateway_settings_info{instance=%q,zone=%q,settings=%q}", s.ID(), s.Zone(), s.Digest()),
		func() float64 { return 1 })
	return d, trace.Wrap(d.listen())
}

// newRunBackups returns the bound on copies of running requests; nil if the settings allow none.
func (d *Daemon) newRunBackups() *runbackups.Backups {
	share := d.settings.BackupLinkShare()
	if share == 0 {
		return nil
	}
	return runbackups.New(d.clock, share, d.peers.Fleet)
}

// setUpRoleController creates the role controller if the policy changes roles and the placer
// provides the state that the controller needs.
func (d *Daemon) setUpRoleController(ports Ports) {
	source, supportsRoles := d.placer.(carawayspread.RoleSource)
	policy, known := carawayspread.RolePolicies.Get(d.settings.RolePolicy())
	if !known {
		d.log.WithField("rolePolicy", d.settings.RolePolicy()).Warn("unknown role policy; using the default")
		policy, _ = carawayspread.RolePolicies.Get(gatewaysettings.RolesBalanced)
	}
	if !supportsRoles || d.settings.RolePolicy() == gatewaysettings.RolesStatic {
		return
	}
	env := carawayspread.Environment{Clock: d.clock, Zone: d.settings.Zone()}
	d.roleController = rolecontroller.New(source, func() carawayspread.RolePolicy { return policy(env) },
		ports.Table, ports.Engine, d.clock, d.decisionLog, d.gateway.Metrics())
}

// CallerAddress returns the IP address and port for callers.
func (d *Daemon) CallerAddress() string { return d.listener.Addr().String() }

// PeerAddress returns the IP address and port for peers.
func (d *Daemon) PeerAddress() string { return d.peers.Address() }

// MetricsAddress returns the IP address and port of the metrics server.
func (d *Daemon) MetricsAddress() string { return d.metrics.Address() }

// Ready reports whether the process can serve callers. It is false from the start of a drain.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.gateway.Routing() != nil && d.endpointsKnown.Load() && d.gateway.CanAuthenticate()
}

// LibraryWriter returns the writer for what libraries print.
func (d *Daemon) LibraryWriter() io.Writer { return d.decisionLog.EventWriter("library") }

// Adopt applies a newer set of routes.
func (d *Daemon) Adopt(t *carawayspread.Routing) {
	d.gateway.Adopt(t)
	d.addWorkspaceNames(t)
	if limit, largest := t.Limits().BodyBytes, d.shares.LargestBody(); limit > largest {
		d.log.WithField("bodyLimit", limit).WithField("largest", largest).WithField("memory", d.settings.Memory()).
			Warn("the memory of the process does not carry a body of the largest size that is allowed")
	}
}

// SetEndpoints applies the list of all endpoints.
func (d *Daemon) SetEndpoints(endpoints []carawayspread.Endpoint) {
	d.gateway.SetEndpoints(endpoints)
	if len(endpoints) > 0 && !d.endpointsKnown.Swap(true) {
		d.log.WithField("endpoints", len(endpoints)).Info("endpoints known")
	}
}

// Run serves until ctx ends. Then it drains: it stops accepting connections after a while, and
// returns when the last request is answered or the grace period is nearly over.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	run := func(f func(context.Context) error) {
		group.Go(func() error {
			if err := f(runCtx); err != nil && runCtx.Err() == nil {
				return err
			}
			return nil
		})
	}
	run(d.decisionLog.Run)
	run(d.peers.Run)
	run(d.runOrigins)
	run(d.runTimers)
	run(d.follower.RunRoutes)
	run(d.follower.RunEndpoints)
	run(func(ctx context.Context) error { return d.follower.RunPulls(ctx, d.learner) })
	run(d.learner.Run)
	stopReports, stopCounts := d.runUsage(runCtx)
	run(func(ctx context.Context) error { return d.follower.RunStoreClock(ctx, d.learner) })
	if d.roleController != nil {
		run(d.roleController.Run)
	}
	if d.quarantineLog != nil {
		run(d.quarantineLog.Run)
		run(d.partLog.Run)
	}
	if d.buildRecords != nil {
		run(d.buildRecords.Run)
	}
	run(func(context.Context) error { return d.control.Run() })
	run(func(context.Context) error { return d.peers.Receive(d) })
	run(func(context.Context) error { return d.health.Run() })
	run(func(context.Context) error { return d.metrics.Run() })
	run(func(context.Context) error {
		defer close(d.acceptEnded)
		if err := d.callers.Serve(callers.Account(d.listener, d.intake.Listener(d.shares.Connections).Open)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	d.log.WithField("listen", d.CallerAddress()).WithField("health", d.health.Address()).
		WithField("peer", d.peers.Address()).WithField("settings", d.settings.Digest()).Info("start")
	select {
	case <-ctx.Done():
		times := d.beginDrain()
		stopReports()
		d.drain(times)
	case <-runCtx.Done():
	}
	stopCounts()
	stop()
	d.peers.Close()
	_ = d.health.Shutdown(runCtx)
	_ = d.metrics.Shutdown(runCtx)
	_ = d.control.Shutdown(runCtx)
	_ = d.callers.Close()
	d.cancelRequests(nil)
	err := group.Wait()
	d.log.WithField("running", d.gateway.Running()).Info("stop")
	return trace.Wrap(err)
}
