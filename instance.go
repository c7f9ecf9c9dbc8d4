package carawayspread

import (
	"context"
	"errors"
	"fmt"
)

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving" // gets no new work and shuts down soon
)

// InstanceRole is the kind of daemon that runs on an instance.
type InstanceRole string

// Roles of instances.
const (
	InstanceEntry   InstanceRole = "entry"
	InstanceSidecar InstanceRole = "sidecar"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID      string        `json:"id"` // unique, never reused
	Role    InstanceRole  `json:"role"`
	State   InstanceState `json:"state"`
	Region  string        `json:"region"`
	Zone    string        `json:"zone"`    // the availability zone
	Address string        `json:"address"` // IP address and port of its daemon's data path
	Control string        `json:"control"` // IP address and port of its control service
	// Endpoints are the workers of a sidecar, with their services.
	Endpoints []InstanceEndpoint `json:"endpoints,omitempty"`
}

// Validate returns an error if the row has no identifier, or an address at which nothing can listen. An address that
// the platform does not know yet is empty.
func (i Instance) Validate() error {
	if i.ID == "" {
		return errors.New("id: missing")
	}
	for _, address := range [...]struct{ field, text string }{{"address", i.Address}, {"control", i.Control}} {
		if address.text == "" {
			continue
		}
		if err := validateAddress(address.text); err != nil {
			return fmt.Errorf("%s: %w", address.field, err)
		}
	}
	return nil
}

// InstanceEndpoint is one worker of an instance.
type InstanceEndpoint struct {
	ID      EndpointID `json:"id"`
	Service string     `json:"service"`
}

// InstanceList is the platform's list of instances. It may be outdated.
type InstanceList interface {
	// List returns all instances and the revision of the list. If the caller passes the current
	// revision, List may return a nil slice and the same revision. A row that cannot be used is as it was
	// when it could be, and is left out if it never could.
	List(ctx context.Context, have string) (instances []Instance, revision string, err error)
}
