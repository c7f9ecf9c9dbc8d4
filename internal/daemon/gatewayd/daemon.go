// Package gatewayd composes the daemon that takes callers' requests by route
// and reaches endpoints without sidecars.
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
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/connection/knowledge"
	"carawayspread/internal/connection/peers"
	"carawayspread/internal/connection/storetime"
	"carawayspread/internal/controller/rolecontroller"
	"carawayspread/internal/daemon/server"
	"carawayspread/internal/decision/clocksync"
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

const (
	headerTime = 10 * time.Second
	bodyTime   = 30 * time.Second
	// idleTime exceeds what operators grant callers, so that it is the caller
	// who closes a connection, never a moment after it has sent a request.
	idleTime    = 90 * time.Second
	headerBytes = 64 << 10
)

// Ports are what the platform's translation brings.
type Ports struct {
	Exchange carawayspread.EndpointTransport
	Protocol carawayspread.Protocol
	// Source reads what operators and endpoints publish, and hands it to the sink.
	Source func(sink *Daemon) follower.Source
	// Table keeps the lease of orders to engines, and Engine gives them.
	Table  carawayspread.Table
	Engine func(carawayspread.Endpoint) carawayspread.Engine
	// Uptime and StoreTime are what the source observes the store's clock with.
	Uptime    carawayspread.Uptime
	StoreTime *storetime.Clock
	// Usage takes reports of usage; nil where none are asked for.
	Usage carawayspread.UsageSink
}

// Daemon is one gateway process.
type Daemon struct {
	settings *gatewaysettings.Settings
	clock    carawayspread.Clock
	log      log.Interface
	lines    *decisionlog.Log
	gateway  *gateway.Gateway
	peers    *peers.Socket
	placer   carawayspread.Placer
	rota     *zonereader.Election
	follower *follower.Follower
	learner  *knowledge.Learner
	keeper   *rolecontroller.Controller // nil where no role changes
	trueTime *clocksync.Clock
	usage    *usageDuty // nil where no usage is reported
	listed   atomic.Bool
	leaving  atomic.Bool

	// serving is the context that all requests of callers descend from.
	serving    context.Context
	endServing context.CancelCauseFunc

	callers     *http.Server
	connections *connections
	listener    *callers.Listener
	served      chan struct{} // closed when no connection is accepted any more
	health      *server.Server
	metrics     *server.Server
	control     *server.Server // for peers
}

// New opens the daemon's addresses. Decisions are logged to out.
func New(s *gatewaysettings.Settings, clock carawayspread.Clock, l log.Interface, out io.Writer, ports Ports) (*Daemon, error) {
	d := &Daemon{
		settings: s, clock: clock, log: l.WithField("instance", s.ID()), lines: decisionlog.New(out),
		served: make(chan struct{}), connections: newConnections(),
	}
	d.serving, d.endServing = context.WithCancelCause(context.Background())
	var err error
	if d.peers, err = peers.Listen(s.Peer(), s.Seeds(), clock); err != nil {
		return nil, trace.Wrap(err)
	}
	newPlacer, known := carawayspread.Placers.Get(s.Placement())
	if !known {
		d.log.WithField("placement", s.Placement()).Warn("unknown placement, the default is used")
	}
	d.trueTime = clocksync.New(clock, ports.StoreTime.Now)
	d.placer = newPlacer(carawayspread.Environment{
		Clock: clock, Zone: s.Zone(), Broadcast: d.peers.Broadcast,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.gateway = gateway.New(ports.Exchange, ports.Protocol, d.placer, clock, d.lines,
		gateway.WithConfigFreshness(evidence{d}, s.Revoked(), s.Terms().ConfigApply),
		gateway.WithUsage(d.began),
		gateway.WithRetryBudget(s.Budget(), d.peers.FleetSize),
		gateway.WithFeedback(d.peers.BroadcastFeedback, d.peers.Membership),
		gateway.WithListAge(func() time.Duration {
			age, _ := d.rota.Age(carawayspread.ResourceEndpoints)
			return age
		}),
		gateway.WithCrashReporter(func(fingerprint uint64, id carawayspread.EndpointID, withdrawn bool) {
			d.peers.BroadcastCrash(peers.Crash{Fingerprint: fingerprint, Endpoint: string(id), Withdrawn: withdrawn})
		}),
		gateway.WithAnswerReporter(d.peers.BroadcastAnswered))
	d.peers.SetRefusalTracker(d.gateway)
	d.keep(ports)
	d.follow(ports)
	d.account(ports)
	d.gateway.Metrics().NewGauge(fmt.Sprintf("gateway_settings_info{instance=%q,zone=%q,settings=%q}", s.ID(), s.Zone(), s.Digest()),
		func() float64 { return 1 })
	return d, trace.Wrap(d.listen())
}

// follow prepares the learning of routes and endpoints.
func (d *Daemon) follow(ports Ports) {
	s := d.settings
	d.rota = zonereader.New(d.peers.ID(), s.Zone(), s.Capacity(), s.Terms(), d.clock)
	d.follower = follower.New(ports.Source(d), d.rota, s.Zone(), s.Capacity(), d.peers.Announce, d.clock, ports.StoreTime)
	d.peers.SetStatusFunc(d.presence)
	d.learner = knowledge.New(d.follower, d.peers.PeerAddresses, d.clock, d.log, d.gateway.Metrics(),
		knowledge.WithStoreTime(ports.Uptime, ports.StoreTime.Observe))
	d.gateway.Metrics().NewGauge("gateway_reads_store", func() float64 {
		if d.rota.IsReader() {
			return 1
		}
		return 0
	})
	d.gateway.Metrics().NewGauge("gateway_evidence_seconds", func() float64 {
		age, _ := d.follower.Age()
		return age.Seconds()
	})
	for of := range carawayspread.ResourceCount {
		d.gateway.Metrics().NewGauge(`gateway_confirmed_seconds_ago{of="`+of.String()+`"}`, func() float64 {
			age, _ := d.rota.Age(of)
			return age.Seconds()
		})
	}
}

// evidence is the follower's, which is made after the gateway that asks it.
type evidence struct{ d *Daemon }

func (e evidence) Age() (time.Duration, bool)        { return e.d.follower.Age() }
func (e evidence) Refresh(ctx context.Context) error { return e.d.follower.Refresh(ctx) }

// presence returns how this process stands.
func (d *Daemon) presence() carawayspread.PeerStatus {
	p := d.follower.PeerStatus()
	p.StoreEpoch, _ = d.trueTime.Epoch()
	p.MayHoldUsageLease = d.usage != nil && d.usage.reporter.Holds()
	return p
}

// ApplyLoadUpdates takes the placements of a peer.
func (d *Daemon) ApplyLoadUpdates(from string, notices []carawayspread.LoadUpdate) {
	d.placer.ApplyLoadUpdates(from, notices)
}

// ApplyPeerStatus takes how a peer stands.
func (d *Daemon) ApplyPeerStatus(id uint64, address string, s carawayspread.PeerStatus) {
	d.follower.ObservePeer(id, address, s)
	d.trueTime.ObservePeer(id, s.StoreEpoch)
}

// RecordCrash takes a request that broke an endpoint before a peer.
func (d *Daemon) RecordCrash(c peers.Crash) {
	d.gateway.RecordCrash(c.Fingerprint, carawayspread.EndpointID(c.Endpoint), c.Withdrawn)
}

// ApplyPeerFeedback takes what an answer to a peer says of its endpoint.
func (d *Daemon) ApplyPeerFeedback(f peers.EndpointFeedback) {
	d.gateway.ApplyPeerFeedback(f.Endpoint, f.Feedback)
}

// keep prepares changes of roles, where the policy makes some and the placer
// knows what it needs.
func (d *Daemon) keep(ports Ports) {
	source, knows := d.placer.(carawayspread.RoleSource)
	policy, known := carawayspread.RolePolicies.Get(d.settings.RolePolicy())
	if !known {
		d.log.WithField("rolePolicy", d.settings.RolePolicy()).Warn("unknown role policy, the default is used")
		policy, _ = carawayspread.RolePolicies.Get(gatewaysettings.RolesBalanced)
	}
	if !knows || d.settings.RolePolicy() == gatewaysettings.RolesAsFound {
		return
	}
	env := carawayspread.Environment{Clock: d.clock, Zone: d.settings.Zone()}
	d.keeper = rolecontroller.New(source, func() carawayspread.RolePolicy { return policy(env) },
		ports.Table, ports.Engine, d.clock, d.lines, d.gateway.Metrics())
}

func (d *Daemon) listen() error {
	var err error
	if d.listener, err = callers.Listen(d.settings.Listen(), d.clock); err != nil {
		return err
	}
	d.callers = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTime, ReadTimeout: bodyTime, IdleTimeout: idleTime,
		MaxHeaderBytes: headerBytes, DisableGeneralOptionsHandler: true, ConnState: d.connections.changed,
		BaseContext: func(net.Listener) context.Context { return d.serving },
	}
	health := http.NewServeMux()
	health.HandleFunc("GET /{path...}", d.answerReady)
	if d.health, err = server.Listen(d.settings.Health(), health); err != nil {
		return err
	}
	d.control = server.New(d.peers.Listener(), d.learner.Handler())
	observe := http.NewServeMux()
	server.Observe(observe, d.Ready, d.gateway.Metrics())
	d.metrics, err = server.Listen(d.settings.Metrics(), observe)
	return err
}

func (d *Daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Listen returns IP number and port for callers.
func (d *Daemon) Listen() string { return d.listener.Addr().String() }

// Peer returns IP number and port for peers.
func (d *Daemon) Peer() string { return d.peers.Address() }

// Metrics returns IP number and port of the metrics.
func (d *Daemon) Metrics() string { return d.metrics.Address() }

// Ready reports whether callers are better served here than elsewhere.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.gateway.Routing() != nil && d.listed.Load() && d.gateway.CanAuthenticate()
}

// Library returns where what libraries print goes.
func (d *Daemon) Library() io.Writer { return d.lines.EventWriter("library") }

// Adopt takes a newer set of routes.
func (d *Daemon) Adopt(t *carawayspread.Routing) {
	d.gateway.Adopt(t)
	d.name(t)
}

// SetEndpoints takes all endpoints.
func (d *Daemon) SetEndpoints(endpoints []carawayspread.Endpoint) {
	d.gateway.SetEndpoints(endpoints)
	if len(endpoints) > 0 && !d.listed.Swap(true) {
		d.log.WithField("endpoints", len(endpoints)).Info("endpoints known")
	}
}

// Run serves until ctx ends, then takes no new connections after a while and
// returns when the last request has its answer.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	run := func(f func(context.Context) error) {
		group.Go(func() error {
			if err := f(work); err != nil && work.Err() == nil {
				return err
			}
			return nil
		})
	}
	run(d.lines.Run)
	run(d.peers.Run)
	run(d.follower.RunRoutes)
	run(d.follower.RunEndpoints)
	run(func(ctx context.Context) error { return d.follower.RunPulls(ctx, d.learner) })
	run(d.learner.Run)
	endReports, endCounts := d.runUsage(work)
	if d.settings.Revoked() > 0 || d.usage != nil {
		run(func(ctx context.Context) error { return d.follower.RunStoreClock(ctx, d.learner) })
	}
	if d.keeper != nil {
		run(d.keeper.Run)
	}
	run(func(context.Context) error { return d.control.Run() })
	run(func(context.Context) error { return d.peers.Receive(d) })
	run(func(context.Context) error { return d.health.Run() })
	run(func(context.Context) error { return d.metrics.Run() })
	run(func(context.Context) error {
		defer close(d.served)
		if err := d.callers.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	d.log.WithField("listen", d.Listen()).WithField("health", d.health.Address()).
		WithField("peer", d.peers.Address()).WithField("settings", d.settings.Digest()).Info("start")
	select {
	case <-ctx.Done():
		endReports()
		d.leave()
	case <-work.Done():
	}
	endCounts()
	stop()
	d.peers.Close()
	_ = d.health.Shutdown(work)
	_ = d.metrics.Shutdown(work)
	_ = d.control.Shutdown(work)
	_ = d.callers.Close()
	d.endServing(nil)
	err := group.Wait()
	d.log.WithField("running", d.gateway.Running()).Info("stop")
	return trace.Wrap(err)
}
