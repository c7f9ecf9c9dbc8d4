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
	id        string
	digest    string // of the file
	zone      string
	listen    string
	health    string
	peer      string
	metrics   string
	seeds     []string
	store     string
	grace     time.Duration
	memory    int64
	budget    fleetbudget.Limits
	placement string
	roles     string
	terms     zonereader.Bounds
	revoked   time.Duration // zero where nothing is promised
	cores     float64
	link      float64 // megabits a second
	usage     *Usage
}

// Usage is where the usage of workspaces is reported.
type Usage struct {
	address string // IP number and port
	terms   carawayspread.UsageWindows
}

// Address returns IP number and port that take the reports.
func (u *Usage) Address() string { return u.address }

// Windows returns the windows and when their reports are due.
func (u *Usage) Windows() carawayspread.UsageWindows { return u.terms }

// Role policies that have a meaning here: RolesStatic changes none, and
// RolesBalanced is the default.
const (
	RolesStatic   = "static"
	RolesBalanced = "balance"
)

const (
	maxMegabytes = 1 << 20
	megabyte     = 1 << 20
	maxGrace     = time.Hour
	maxWindow    = time.Hour
	// usualTerm is what operators are promised where the settings do not say:
	// the shortest that any user has asked for.
	usualTerm = 2 * time.Second
	leastTerm = 200 * time.Millisecond
	maxTerm   = time.Minute
	// usualCores and usualLink stand for an instance whose settings do not say what
	// it can carry.
	usualCores = 0.3
	usualLink  = 1000
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
		digest: digest(body), placement: "estimate", roles: RolesBalanced, cores: usualCores, link: usualLink,
		terms: zonereader.Bounds{Drain: usualTerm, ConfigApply: usualTerm},
	}
	root := document.Parse(name, body).Object("instance", "addresses", "store", "seeds", "grace", "memoryMegabytes", "retries", "placement", "rolePolicy", "promises", "limits", "usage")
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
	s.memory = root.Need("memoryMegabytes").Int(1, maxMegabytes) * megabyte
	retries := root.Need("retries").Object("ratio", "slack", "window")
	s.budget.Ratio = retries.Need("ratio").Number()
	s.budget.Slack = retries.Need("slack").Number()
	s.budget.Window = retries.Need("window").Duration(time.Second, maxWindow)
	if s.budget.Ratio < 0 || s.budget.Slack < 0 {
		retries.Fail("ratio and slack must not be negative")
	}
	if placement := root.Field("placement"); placement.Exists() {
		s.placement = placement.Text()
	}
	if roles := root.Field("rolePolicy"); roles.Exists() {
		s.roles = roles.Text()
	}
	s.promises(root)
	s.limits(root)
	s.reports(root)
	if err := root.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// digest names the contents of a settings file, for people who compare processes.
func digest(body []byte) string {
	h := fnv.New32a()
	_, _ = h.Write(body)
	return fmt.Sprintf("%08x", h.Sum32())
}

// Digest names the contents of the file: equal where files are.
func (s *Settings) Digest() string { return s.digest }

func (s *Settings) promises(root document.Node) {
	if !root.Field("promises").Exists() {
		return
	}
	promises := root.Field("promises").Object("leaving", "inForce", "revoked")
	s.terms.Drain = promises.Need("leaving").Duration(leastTerm, maxTerm)
	s.terms.ConfigApply = promises.Need("inForce").Duration(leastTerm, maxTerm)
	if revoked := promises.Field("revoked"); revoked.Exists() {
		s.revoked = revoked.Duration(leastTerm, maxTerm)
	}
}

func (s *Settings) limits(root document.Node) {
	if !root.Field("limits").Exists() {
		return
	}
	limits := root.Field("limits").Object("cores", "linkMegabits")
	s.cores = limits.Need("cores").Number()
	s.link = limits.Need("linkMegabits").Number()
	if s.cores <= 0 || s.link <= 0 {
		limits.Fail("cores and linkMegabits must be positive")
	}
}

func (s *Settings) reports(root document.Node) {
	if !root.Field("usage").Exists() {
		return
	}
	usage := root.Field("usage").Object("address", "window", "due")
	address := usage.Need("address").Address()
	length := usage.Need("window").Duration(time.Second, maxWindow)
	due := usage.Need("due").Duration(time.Second, maxWindow)
	s.usage = &Usage{address: address, terms: carawayspread.NewUsageWindows(max(length, time.Second), due)}
}

// Usage returns where usage is reported; nil where it is not.
func (s *Settings) Usage() *Usage { return s.usage }

// Bounds returns what operators are promised.
func (s *Settings) Bounds() zonereader.Bounds { return s.terms }

// RevocationBound returns the time in which a revoked API key must have stopped everywhere;
// zero where none is promised.
func (s *Settings) RevocationBound() time.Duration { return s.revoked }

// Capacity returns what the instance can carry, to be compared with others:
// thousandths of a core times megabits a second, so that neither alone decides.
func (s *Settings) Capacity() uint32 {
	return uint32(min(math.MaxUint32, s.cores*1000*s.link))
}

// ID returns the name of the instance.
func (s *Settings) ID() string { return s.id }

// Zone returns the availability zone of the instance.
func (s *Settings) Zone() string { return s.zone }

// Listen returns IP number and port for callers.
func (s *Settings) Listen() string { return s.listen }

// Health returns IP number and port at which the balancer asks for readiness.
func (s *Settings) Health() string { return s.health }

// Peer returns IP number and port, over UDP, for the other gateways.
func (s *Settings) Peer() string { return s.peer }

// Metrics returns IP number and port of the metrics.
func (s *Settings) Metrics() string { return s.metrics }

// Seeds returns peer addresses of gateways that may be there; not to be
// modified.
func (s *Settings) Seeds() []string { return s.seeds }

// Store returns IP number and port of the platform's store.
func (s *Settings) Store() string { return s.store }

// Grace returns how long the process may take to end.
func (s *Settings) Grace() time.Duration { return s.grace }

// Memory returns the bytes that the process may use.
func (s *Settings) Memory() int64 { return s.memory }

// RetryLimits returns what may be sent beyond first attempts.
func (s *Settings) RetryLimits() fleetbudget.Limits { return s.budget }

// RolePolicy returns the name of a registered role policy.
func (s *Settings) RolePolicy() string { return s.roles }

// Placement returns the name of a registered placer.
func (s *Settings) Placement() string { return s.placement }
