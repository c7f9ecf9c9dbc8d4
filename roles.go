package carawayspread

import "time"

// ServiceRoles is what is known of the engines of one service and of the work
// that comes to them.
type ServiceRoles struct {
	Service string
	Engines []RoleState
	Demand  Demand
	// Endpoints holds the engines by identifier, for orders to them.
	Endpoints map[EndpointID]Endpoint
}

// RoleSource is a Placer that knows what role policies need.
type RoleSource interface {
	// Roles returns an account of each service whose engines have different
	// roles. The demand is measured since the call before; there is one caller.
	Roles() []ServiceRoles
	// Suspend keeps an engine that changes its role out of use, here and at peers,
	// until its entry shows another role, and no longer than d.
	Suspend(id EndpointID, d time.Duration)
}
