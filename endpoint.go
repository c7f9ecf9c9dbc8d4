package carawayspread

import "time"

// EndpointID names one worker for its whole life; it is never reused.
type EndpointID string

// Role is the part of the work that an engine takes.
type Role string

// Roles of engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Endpoint is one worker as entries know it.
type Endpoint struct {
	id      EndpointID
	service string
	zone    string
	address string // IP number and port of the sidecar before it
	leaving bool   // takes no new work
}

// NewEndpoint returns an endpoint reached through the sidecar at address.
func NewEndpoint(id EndpointID, service, zone, address string, leaving bool) Endpoint {
	return Endpoint{id: id, service: service, zone: zone, address: address, leaving: leaving}
}

// ID returns the name of the endpoint.
func (e Endpoint) ID() EndpointID { return e.id }

// Service returns the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() string { return e.zone }

// Address returns IP number and port of the sidecar before the endpoint.
func (e Endpoint) Address() string { return e.address }

// Leaving reports whether the endpoint takes no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// Report is what a sidecar last said of one endpoint. It is seconds old when
// it arrives and is kept as a hint, never as a proof.
type Report struct {
	Endpoint EndpointID
	Taken    time.Time // by the clock of the receiver, less the age that the sender states
	Running  int       // requests on the endpoint; not negative
	Waiting  int       // requests queued before it; not negative
	Slots    int       // requests that it can batch; at least 1
	Role     Role
	Models   []string // resident models; empty when unknown
	Draining bool
	Crashed  bool // the endpoint is down
	// PrefillRate and DecodeRate are measured tokens a second, zero when unknown.
	PrefillRate float64
	DecodeRate  float64
}
