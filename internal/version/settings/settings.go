// Package settings reads the settings file of a daemon: what a process cannot
// learn from the accepted configuration, such as its own addresses, its
// availability zone and the endpoints beside it.
//
// The file is JSON with comments. Parse checks it as a whole and reports every
// finding with its file, line, column and path.
package settings

import (
	"os"

	"github.com/gravitational/trace"

	"carawayspread"
)

// Settings is one checked settings file. It is immutable.
type Settings struct {
	id     string // unique among all instances, not empty
	role   carawayspread.InstanceRole
	region string
	zone   string

	listen  string // IP address and port for callers, or for entries before a sidecar
	control string // IP address and port of the control service, TCP and UDP
	admin   string // IP address and port of the administration API; entries only

	platform  Platform
	peers     []string // control addresses used while the instance list is down
	endpoints []Endpoint
	limits    Limits
	timeouts  Timeouts

	rolePolicy string // name of a registered policy
}

// Read checks the settings file with that name.
func Read(name string) (*Settings, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(name, body)
}

// ID returns the name of the instance.
func (s *Settings) ID() string { return s.id }

// Role returns which daemon the settings are for.
func (s *Settings) Role() carawayspread.InstanceRole { return s.role }

// Region returns the region of the instance.
func (s *Settings) Region() string { return s.region }

// Zone returns the availability zone of the instance.
func (s *Settings) Zone() string { return s.zone }

// Listen returns the IP address and port of the data path.
func (s *Settings) Listen() string { return s.listen }

// Control returns the IP address and port of the control service.
func (s *Settings) Control() string { return s.control }

// Admin returns the IP address and port of the administration API; empty for sidecars.
func (s *Settings) Admin() string { return s.admin }

// Platform returns the addresses and names of the platform's services.
func (s *Settings) Platform() Platform { return s.platform }

// Peers returns control addresses used while the instance list is down; not to be modified.
func (s *Settings) Peers() []string { return s.peers }

// Endpoints returns the endpoints beside a sidecar; not to be modified.
func (s *Settings) Endpoints() []Endpoint { return s.endpoints }

// RolePolicy returns the name of the policy that plans the engines' roles.
func (s *Settings) RolePolicy() string { return s.rolePolicy }

// Limits returns the bounds on the size of what is received.
func (s *Settings) Limits() Limits { return s.limits }

// Timeouts returns the bounds on waiting.
func (s *Settings) Timeouts() Timeouts { return s.timeouts }

// Instance returns the settings as an entry of the instance list.
func (s *Settings) Instance() carawayspread.Instance {
	instance := carawayspread.Instance{
		ID: s.id, Role: s.role, State: carawayspread.InstanceLive,
		Region: s.region, Zone: s.zone, Address: s.listen, Control: s.control,
	}
	for _, endpoint := range s.endpoints {
		instance.Endpoints = append(instance.Endpoints, carawayspread.InstanceEndpoint{
			ID: endpoint.id, Service: endpoint.service,
		})
	}
	return instance
}
