// Package gatewaysettings reads the settings file of a gateway: JSON with
// comments, checked as a whole.
package gatewaysettings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"carawayspread/internal/request/fleetbudget"
	"carawayspread/internal/version/document"
)

// Settings is one checked settings file. It is immutable.
type Settings struct {
	id        string
	zone      string
	listen    string
	health    string
	peer      string
	metrics   string
	seeds     []string
	store     string
	grace     time.Duration
	memory    int64
	budget    fleetbudget.Terms
	placement string
	roles     string
}

// Role policies that have a meaning here: RolesAsFound changes none, and
// RolesBalanced is the default.
const (
	RolesAsFound  = "static"
	RolesBalanced = "balance"
)

const (
	maxMegabytes = 1 << 20
	megabyte     = 1 << 20
	maxGrace     = time.Hour
	maxWindow    = time.Hour
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
	s := &Settings{placement: "estimate", roles: RolesBalanced}
	root := document.Parse(name, body).Object("instance", "addresses", "store", "seeds", "grace", "memoryMegabytes", "retries", "placement", "rolePolicy")
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
	if err := root.Err(); err != nil {
		return nil, err
	}
	return s, nil
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

// Budget returns what may be sent beyond first attempts.
func (s *Settings) Budget() fleetbudget.Terms { return s.budget }

// RolePolicy returns the name of a registered role policy.
func (s *Settings) RolePolicy() string { return s.roles }

// Placement returns the name of a registered placer.
func (s *Settings) Placement() string { return s.placement }
