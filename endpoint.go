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
	address string // IP number and port of the sidecar before it, or its own where there is none
	leaving bool   // takes no new work
	role    Role   // as last heard; empty for plain services
	slots   int    // requests that it runs at once; zero when unknown
}

// EndpointOption sets an optional part of an Endpoint.
type EndpointOption func(*Endpoint)

// WithRole states the part of the work that an engine takes.
func WithRole(role Role) EndpointOption { return func(e *Endpoint) { e.role = role } }

// WithSlots states how many requests the endpoint runs at once.
func WithSlots(n int) EndpointOption { return func(e *Endpoint) { e.slots = n } }

// NewEndpoint returns an endpoint reached at address.
func NewEndpoint(id EndpointID, service, zone, address string, leaving bool, opts ...EndpointOption) Endpoint {
	e := Endpoint{id: id, service: service, zone: zone, address: address, leaving: leaving}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// Drained returns the endpoint as one that takes no new work.
func (e Endpoint) Drained() Endpoint {
	e.leaving = true
	return e
}

// ID returns the name of the endpoint.
func (e Endpoint) ID() EndpointID { return e.id }

// Service returns the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() string { return e.zone }

// Address returns IP number and port of the sidecar before the endpoint, or of
// the endpoint itself where there is none.
func (e Endpoint) Address() string { return e.address }

// Role returns the part of the work that the engine takes; empty for plain
// services.
func (e Endpoint) Role() Role { return e.role }

// Slots returns how many requests the endpoint runs at once; zero when unknown.
func (e Endpoint) Slots() int { return e.slots }

// Leaving reports whether the endpoint takes no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// EndpointReport is what a sidecar last said of one endpoint. It is seconds old when
// it arrives and is kept as a hint, never as a proof.
type EndpointReport struct {
	Endpoint   EndpointID
	MeasuredAt time.Time // by the clock of the receiver, less the age that the sender states
	Running    int       // requests on the endpoint; not negative
	Waiting    int       // requests queued before it; not negative
	Slots      int       // requests that it can batch; at least 1
	Role       Role
	Models     []string // resident models; empty when unknown
	Draining   bool
	Crashed    bool // the endpoint is down
	// PrefillRate and DecodeRate are measured tokens a second, zero when unknown.
	PrefillRate float64
	DecodeRate  float64
}
