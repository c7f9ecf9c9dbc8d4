// Package gatewaysettings reads the settings file of a gateway: JSON with
// comments, checked as a whole.
package gatewaysettings

import (
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/decision/fleetbudget"
	"carawayspread/internal/decision/zonereader"
	"carawayspread/internal/version/document"
)

// Settings is one checked settings file. It is immutable.
type Settings struct {
	id              string
	digest          string // of the file's contents
	zone            string
	listen          string
	health          string
	peer            string
	metrics         string
	seeds           []string
	store           string
	grace           time.Duration
	memoryBytes     int64
	retryLimits     fleetbudget.Limits
	placement       string
	rolePolicy      string
	bounds          zonereader.Bounds
	revocationBound time.Duration // zero if none is guaranteed
	cores           float64
	linkMegabits    float64       // per second
	maxLateness     time.Duration // of a timer; zero if the processor is not observed
	descriptors     int64         // that the process may have open; zero if not stated
	maxWaiting      int           // requests
	usage           *Usage
	hedgingShare    float64
	firstStart      bool
	backupLinkShare float64 // zero if no copies of running requests are kept
}

// Usage states where and when the usage of workspaces is reported.
type Usage struct {
	address        string // IP address and port
	windows        carawayspread.UsageWindows
	throughSilence bool
}

// Address returns the IP address and port that receive the reports.
func (u *Usage) Address() string { return u.address }

// ThroughSilence reports whether the process that reports goes on while the table is silent, by promises of other
// processes.
func (u *Usage) ThroughSilence() bool { return u.throughSilence }

// Windows returns the usage windows and when their reports are due.
func (u *Usage) Windows() carawayspread.UsageWindows { return u.windows }

// Role policies that the code refers to by name: RolesStatic changes no roles, RolesBalanced is the
// default.
const (
	RolesStatic   = "static"
	RolesBalanced = "balance"
)

const (
	maxMegabytes = 1 << 20
	megabyte     = 1 << 20
	maxGrace     = time.Hour
	maxWindow    = time.Hour
	maxWaiting   = 4096
	// maxHedgingShare bounds what operators may add to the load of endpoints.
	maxHedgingShare = 0.1
	// defaultBound is what operators are guaranteed if the settings state no bounds: the shortest
	// that any user has asked for.
	defaultBound = 2 * time.Second
	minBound     = 200 * time.Millisecond
	minLateness  = time.Millisecond
	// minDescriptors suffice for the addresses of the process and some connections.
	minDescriptors = 64
	maxDescriptors = 1 << 20
	maxBound       = time.Minute
	// defaultCores and defaultLinkMegabits are the capacity of an instance whose settings state
	// none.
	defaultCores        = 0.3
	defaultLinkMegabits = 1000
)

// Read checks the settings file with that name.
func Read(name string) (*Settings, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(name, body)
}

// Parse checks a settings file. Its error lists every finding.
func Parse(name string, body []byte) (*Settings, error) {
	s := &Settings{
		digest: digest(body), placement: "estimate", rolePolicy: RolesBalanced, cores: defaultCores, linkMegabits: defaultLinkMegabits,
		bounds: zonereader.Bounds{Drain: defaultBound, ConfigApply: defaultBound},
	}
	root := document.Parse(name, body).Object("instance", "addresses", "store", "seeds", "grace", "memoryMegabytes", "retries", "placement", "rolePolicy", "promises", "limits", "usage", "firstStart", "runBackups", "hedging")
	instance := root.Need("instance").Object("id", "zone")
	s.id = instance.Need("id").Text()
	s.zone = instance.Need("zone").Text()
	addresses := root.Need("addresses").Object("listen", "health", "peer", "metrics")
	s.listen = addresses.Need("listen").Address()
	s.health = addresses.Need("health").Address()
	s.peer = addresses.Need("peer").Address()
	s.metrics = addresses.Need("metrics").Address()
	s.store = root.Need("store").Address()
	seeds, _ := root.Need("seeds").Items()
	for _, seed := range seeds {
		s.seeds = append(s.seeds, seed.Address())
	}
	s.grace = root.Need("grace").Duration(time.Second, maxGrace)
	s.memoryBytes = root.Need("memoryMegabytes").Int(1, maxMegabytes) * megabyte
	retries := root.Need("retries").Object("ratio", "slack", "window")
	s.retryLimits.Ratio = retries.Need("ratio").Number()
	s.retryLimits.Slack = retries.Need("slack").Number()
	s.retryLimits.Window = retries.Need("window").Duration(time.Second, maxWindow)
	if s.retryLimits.Ratio < 0 || s.retryLimits.Slack < 0 {
		retries.Fail("ratio and slack must not be negative")
	}
	if first := root.Field("firstStart"); first.Exists() {
		s.firstStart = first.Bool()
	}
	if placement := root.Field("placement"); placement.Exists() {
		s.placement = placement.Text()
	}
	if roles := root.Field("rolePolicy"); roles.Exists() {
		s.rolePolicy = roles.Text()
	}
	s.readBounds(root)
	s.readLimits(root)
	s.readUsage(root)
	s.readRunBackups(root)
	s.readHedging(root)
	if err := root.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// digest returns a short hash of a settings file, by which operators compare processes.
func digest(body []byte) string {
	h := fnv.New32a()
	_, _ = h.Write(body)
	return fmt.Sprintf("%08x", h.Sum32())
}

// Digest returns a hash of the file's contents; equal files have equal digests.
func (s *Settings) Digest() string { return s.digest }

func (s *Settings) readBounds(root document.Node) {
	if !root.Field("promises").Exists() {
		return
	}
	promises := root.Field("promises").Object("leaving", "inForce", "revoked")
	s.bounds.Drain = promises.Need("leaving").Duration(minBound, maxBound)
	s.bounds.ConfigApply = promises.Need("inForce").Duration(minBound, maxBound)
	if revoked := promises.Field("revoked"); revoked.Exists() {
		s.revocationBound = revoked.Duration(minBound, maxBound)
	}
}

func (s *Settings) readLimits(root document.Node) {
	if !root.Field("limits").Exists() {
		return
	}
	limits := root.Field("limits").Object("cores", "linkMegabits", "maxLateness", "descriptors", "waiting")
	s.cores = limits.Need("cores").Number()
	s.linkMegabits = limits.Need("linkMegabits").Number()
	if s.cores <= 0 || s.linkMegabits <= 0 {
		limits.Fail("cores and linkMegabits must be positive")
	}
	if lateness := limits.Field("maxLateness"); lateness.Exists() {
		s.maxLateness = lateness.Duration(minLateness, time.Second)
	}
	if descriptors := limits.Field("descriptors"); descriptors.Exists() {
		s.descriptors = descriptors.Int(minDescriptors, maxDescriptors)
	}
	if waiting := limits.Field("waiting"); waiting.Exists() {
		s.maxWaiting = int(waiting.Int(0, maxWaiting))
	}
}

func (s *Settings) readUsage(root document.Node) {
	if !root.Field("usage").Exists() {
		return
	}
	usage := root.Field("usage").Object("address", "window", "due", "throughSilence")
	address := usage.Need("address").Address()
	length := usage.Need("window").Duration(time.Second, maxWindow)
	due := usage.Need("due").Duration(time.Second, maxWindow)
	s.usage = &Usage{address: address, windows: carawayspread.NewUsageWindows(max(length, time.Second), due)}
	if through := usage.Field("throughSilence"); through.Exists() {
		s.usage.throughSilence = through.Bool()
	}
}

func (s *Settings) readHedging(root document.Node) {
	if !root.Field("hedging").Exists() {
		return
	}
	hedging := root.Field("hedging").Object("share")
	s.hedgingShare = hedging.Need("share").Number()
	if s.hedgingShare < 0 || s.hedgingShare > maxHedgingShare {
		hedging.Fail("share must be from 0 to %v", maxHedgingShare)
	}
}

// HedgingShare returns the share of requests that may get a second attempt while the first one runs.
func (s *Settings) HedgingShare() float64 { return s.hedgingShare }

// Usage returns where and when usage is reported; nil if it is not.
func (s *Settings) Usage() *Usage { return s.usage }

// Bounds returns the bounds that operators are guaranteed.
func (s *Settings) Bounds() zonereader.Bounds { return s.bounds }

// RevocationBound returns the time within which a revoked API key must be refused everywhere; zero
// if none is guaranteed.
func (s *Settings) RevocationBound() time.Duration { return s.revocationBound }

// MaxLateness returns how late timers may fire before new connections are shed; zero if none are.
func (s *Settings) MaxLateness() time.Duration { return s.maxLateness }

// Descriptors returns how many descriptors the process may have open; zero if that is not stated.
func (s *Settings) Descriptors() int64 { return s.descriptors }

// MaxWaiting returns how many requests of each service may wait for room at engines; zero if none may.
func (s *Settings) MaxWaiting() int { return s.maxWaiting }

// Capacity returns the capacity of the instance for comparison with other instances: thousandths of
// a core times megabits per second, so that neither alone decides.
func (s *Settings) Capacity() uint32 {
	return uint32(min(math.MaxUint32, s.cores*1000*s.linkMegabits))
}

// ID returns the name of the instance.
func (s *Settings) ID() string { return s.id }

// Zone returns the availability zone of the instance.
func (s *Settings) Zone() string { return s.zone }

// Listen returns the IP address and port for callers.
func (s *Settings) Listen() string { return s.listen }

// Health returns the IP address and port of the load balancer's readiness checks.
func (s *Settings) Health() string { return s.health }

// Peer returns the IP address and UDP port for the other gateways.
func (s *Settings) Peer() string { return s.peer }

// Metrics returns the IP address and port of the metrics.
func (s *Settings) Metrics() string { return s.metrics }

// Seeds returns peer addresses of gateways that may be running; not to be modified.
func (s *Settings) Seeds() []string { return s.seeds }

// Store returns the IP address and port of the platform's store.
func (s *Settings) Store() string { return s.store }

// Grace returns how long the process may take to shut down.
func (s *Settings) Grace() time.Duration { return s.grace }

// Memory returns the bytes that the process may use.
func (s *Settings) Memory() int64 { return s.memoryBytes }

// RetryLimits returns the limits on attempts beyond the first of each request.
func (s *Settings) RetryLimits() fleetbudget.Limits { return s.retryLimits }

// RolePolicy returns the name of a registered role policy.
func (s *Settings) RolePolicy() string { return s.rolePolicy }

// Placement returns the name of a registered placer.
func (s *Settings) Placement() string { return s.placement }

// FirstStart reports whether the whole system starts for the first time.
func (s *Settings) FirstStart() bool { return s.firstStart }
