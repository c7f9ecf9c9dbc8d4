package carawayspread

import "time"

// ServiceRoles is the state of the engines of one service and the demand for them.
type ServiceRoles struct {
	Service string
	Engines []RoleState
	Demand  Demand
	// Endpoints holds the engines by identifier, to send orders to them.
	Endpoints map[EndpointID]Endpoint
}

// RoleSource is a Placer that also provides the input of role policies.
type RoleSource interface {
	// Roles returns the state of each service whose engines have different roles. The demand is
	// that since the previous call, so there must be only one caller.
	Roles() []ServiceRoles
	// Suspend stops the use of an engine that changes its role, here and at peers, until its entry
	// in the list shows another role, but for no longer than d.
	Suspend(id EndpointID, d time.Duration)
}
