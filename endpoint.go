package carawayspread

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// EndpointID identifies one worker. A worker that starts again may keep its identifier, and then knows
// nothing of before.
type EndpointID string

// Role is the part of the work that an engine does: prefill, decode or both.
type Role string

// Roles of engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Endpoint is one worker as entries see it.
type Endpoint struct {
	id      EndpointID
	service string
	zone    string
	address string // IP address and port of its sidecar, or its own if it has none
	leaving bool   // takes no new work
	role    Role   // as last reported; empty for plain services
	slots   int    // requests that it runs concurrently; zero if unknown
	version string // of its software; empty if unknown
	build   BuildID
}

// EndpointOption sets an optional part of an Endpoint.
type EndpointOption func(*Endpoint)

// WithRole sets the role of an engine.
func WithRole(role Role) EndpointOption { return func(e *Endpoint) { e.role = role } }

// WithSlots sets how many requests the endpoint runs concurrently.
func WithSlots(n int) EndpointOption { return func(e *Endpoint) { e.slots = n } }

// WithVersion sets the version of the endpoint's software.
func WithVersion(version string) EndpointOption { return func(e *Endpoint) { e.version = version } }

// NewEndpoint returns an endpoint that is reached at address.
func NewEndpoint(id EndpointID, service, zone, address string, leaving bool, opts ...EndpointOption) Endpoint {
	e := Endpoint{id: id, service: service, zone: zone, address: address, leaving: leaving}
	for _, opt := range opts {
		opt(&e)
	}
	e.build = NewBuildID(service, e.version)
	return e
}

const (
	// MaxSlots bounds the slots of an endpoint, like the running requests that processes tell each other.
	MaxSlots = 1 << 20
	// maxNameBytes bounds the names of endpoints, which travel in headers and datagrams.
	maxNameBytes = 256
)

// broadcast is the address of all machines of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Validate returns an error if no worker can be reached with these values, or if they are out of range.
func (e Endpoint) Validate() error {
	for _, name := range [...]struct{ field, text string }{{"id", string(e.id)}, {"service", e.service}} {
		text := name.text
		if text == "" || len(text) > maxNameBytes || !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
			return fmt.Errorf("%s: not 1 to %d bytes of text, is %.40q", name.field, maxNameBytes, text)
		}
	}
	if err := validateAddress(e.address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.slots < 0 || e.slots > MaxSlots {
		return fmt.Errorf("slots: not from 0 to %d, are %d", MaxSlots, e.slots)
	}
	return nil
}

// validateAddress returns an error if the text is not the IP address and port of one machine.
func validateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	ip := address.Addr().Unmap()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return fmt.Errorf("not of one machine's port, is %s", address)
	}
	return nil
}

// Drained returns a copy of the endpoint that takes no new work.
func (e Endpoint) Drained() Endpoint {
	e.leaving = true
	return e
}

// ID returns the identifier of the endpoint.
func (e Endpoint) ID() EndpointID { return e.id }

// Service returns the name of the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() string { return e.zone }

// Address returns the IP address and port of the endpoint's sidecar, or of the endpoint itself if
// it has none.
func (e Endpoint) Address() string { return e.address }

// Role returns the role of the engine; empty for plain services.
func (e Endpoint) Role() Role { return e.role }

// Slots returns how many requests the endpoint runs concurrently; zero if unknown.
func (e Endpoint) Slots() int { return e.slots }

// Version returns the version of the endpoint's software; empty if unknown.
func (e Endpoint) Version() string { return e.version }

// Build identifies the software that the endpoint runs; zero if unknown.
func (e Endpoint) Build() BuildID { return e.build }

// Leaving reports whether the endpoint takes no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// EndpointReport is the last state of one endpoint that its sidecar reported. It is seconds old
// when it arrives and is only a hint, never proof.
type EndpointReport struct {
	Endpoint   EndpointID
	MeasuredAt time.Time // by the receiver's clock, minus the age that the sender states
	Running    int       // requests on the endpoint; not negative
	Waiting    int       // requests queued in front of it; not negative
	Slots      int       // requests that it can run in one batch; at least 1
	Role       Role
	Models     []string // loaded models; empty if unknown
	Draining   bool
	Crashed    bool // the endpoint is down
	// PrefillRate and DecodeRate are measured tokens per second; zero if unknown.
	PrefillRate float64
	DecodeRate  float64
}
