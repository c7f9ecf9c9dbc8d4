// Package base contains what all daemons share: the clients of the platform's services, the
// instance list and the configuration.
package base

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/dynamodb"
	"carawayspread/internal/connection/instancelist"
	"carawayspread/internal/connection/s3"
	"carawayspread/internal/connection/tableclient"
	"carawayspread/internal/decision/intake"
	"carawayspread/internal/process/confsync"
	"carawayspread/internal/process/watch"
	"carawayspread/internal/version/changelog"
	"carawayspread/internal/version/settings"
)

// Base is the common part of one daemon.
type Base struct {
	settings *settings.Settings
	clock    carawayspread.Clock
	log      log.Interface
	set      *metrics.Set
	table    carawayspread.Table
	objects  carawayspread.ObjectStore
	changes  *changelog.Log
	config   *confsync.Syncer
	watch    *watch.Watch
	intake   *intake.Intake
	shares   intake.Shares
	adopted  func(*carawayspread.Config) // called with each adopted configuration; set before Run
}

// New returns the base of a daemon with the settings.
func New(s *settings.Settings, clock carawayspread.Clock, l log.Interface) *Base {
	b := &Base{
		settings: s,
		clock:    clock,
		log:      l.WithField("instance", s.ID()),
		set:      metrics.NewSet(),
		adopted:  func(*carawayspread.Config) {},
	}
	b.setUpIntake()
	p := s.Platform()
	id, secret := credentials()
	client := dynamodb.New("http://"+p.Table(), dynamodb.WithName(p.TableName()), dynamodb.WithRegion(p.AWSRegion()),
		dynamodb.WithCredentials(id, secret))
	b.table = tableclient.NewTable(client, clock, b.set, tableclient.WithTimeouts(s.Timeouts().Table(), s.Timeouts().Table()))
	b.objects = s3.New("http://"+p.Objects(), s3.WithBucket(p.Bucket()), s3.WithRegion(p.AWSRegion()),
		s3.WithCredentials(id, secret))
	b.watch = watch.New(instancelist.New("http://"+p.InstanceList(), instancelist.WithLog(b.log)), clock, b.log)
	t := s.Timeouts()
	b.changes = changelog.New(b.table, b.objects, clock, changelog.WithLogger(b.log), changelog.WithTimeout(t.Table()))
	b.config = confsync.New(b.changes, clock,
		confsync.WithInstance(s.ID()), confsync.WithLogger(b.log), confsync.WithPeers(b.peers),
		confsync.WithTimes(t.ConfigPoll(), t.ConfigFresh(), t.ConfigRefresh()),
		confsync.WithAdopted(func(cfg *carawayspread.Config) { b.adopted(cfg) }))
	return b
}

// OnAdopted sets the function that is called with each configuration when it takes effect. It must
// be called before the daemon runs.
func (b *Base) OnAdopted(adopted func(*carawayspread.Config)) { b.adopted = adopted }

// peers returns the control addresses from which to request the configuration: first those in the
// same availability zone, then those in the same region, then all others. The peers of the settings
// come last; until an instance list was read, they are the only ones.
func (b *Base) peers() []string {
	sameZone, sameRegion, otherRegions := []string{}, []string{}, []string{}
	for _, instance := range b.watch.Instances() {
		if _, err := netip.ParseAddrPort(instance.Control); err != nil || instance.ID == b.settings.ID() {
			continue
		}
		switch {
		case instance.Zone == b.settings.Zone():
			sameZone = append(sameZone, instance.Control)
		case instance.Region == b.settings.Region():
			sameRegion = append(sameRegion, instance.Control)
		default:
			otherRegions = append(otherRegions, instance.Control)
		}
	}
	all := append(append(sameZone, sameRegion...), otherRegions...)
	return append(all, b.settings.Peers()...)
}

// Settings returns the settings of the daemon.
func (b *Base) Settings() *settings.Settings { return b.settings }

// Clock returns the clock of the daemon.
func (b *Base) Clock() carawayspread.Clock { return b.clock }

// Log returns the log of the daemon. Its lines carry the identifier of the instance.
func (b *Base) Log() log.Interface { return b.log }

// Metrics returns the metrics of the platform's clients.
func (b *Base) Metrics() *metrics.Set { return b.set }

// Table returns the client of the platform's table service with all its decorators.
func (b *Base) Table() carawayspread.Table { return b.table }

// Objects returns the platform's object store.
func (b *Base) Objects() carawayspread.ObjectStore { return b.objects }

// Changes returns the log of configuration changes.
func (b *Base) Changes() *changelog.Log { return b.changes }

// Config returns the syncer that keeps the configuration up to date.
func (b *Base) Config() *confsync.Syncer { return b.config }

// Instances returns the newest known instance list. It must not be modified.
func (b *Base) Instances() []carawayspread.Instance { return b.watch.Instances() }
