package settings

import (
	"time"

	"carawayspread"
)

// Platform holds the addresses and names of the platform's services.
type Platform struct {
	table        string // IP address and port
	tableName    string
	objects      string // IP address and port
	bucket       string
	instanceList string // IP address and port
	weights      string // IP address and port; sidecars only
	awsRegion    string // the region that requests are signed for
}

// Table returns the IP address and port of the table service.
func (p Platform) Table() string { return p.table }

// TableName returns the name of the table.
func (p Platform) TableName() string { return p.tableName }

// Objects returns the IP address and port of the object store.
func (p Platform) Objects() string { return p.objects }

// Bucket returns the bucket in the object store.
func (p Platform) Bucket() string { return p.bucket }

// InstanceList returns the IP address and port of the instance list.
func (p Platform) InstanceList() string { return p.instanceList }

// Weights returns the IP address and port of the weight store; empty for entries.
func (p Platform) Weights() string { return p.weights }

// AWSRegion returns the region that requests to table and objects are signed for.
func (p Platform) AWSRegion() string { return p.awsRegion }

// Endpoint is one worker beside a sidecar.
type Endpoint struct {
	id      carawayspread.EndpointID // unique, never reused
	service string
	kind    carawayspread.Kind
	address string // IP address and port of the worker
	// checksFence states that the worker refuses an order with an old fencing token. A model engine
	// without this has an orderGuard.
	checksFence bool
	orderGuard  string // loopback IP address and port bound while orders are given
	slots       int    // requests that the worker can run at once; at least 1
}

// ID returns the name of the endpoint.
func (e Endpoint) ID() carawayspread.EndpointID { return e.id }

// Service returns the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Kind returns whether the worker is a model engine or a plain service.
func (e Endpoint) Kind() carawayspread.Kind { return e.kind }

// Address returns the IP address and port of the worker.
func (e Endpoint) Address() string { return e.address }

// ChecksFence reports whether the worker refuses outdated fencing tokens.
func (e Endpoint) ChecksFence() bool { return e.checksFence }

// OrderGuard returns the loopback address of the order guard; it may be empty if the worker checks
// fencing tokens or takes no orders.
func (e Endpoint) OrderGuard() string { return e.orderGuard }

// Slots returns how many requests the worker can run at once.
func (e Endpoint) Slots() int { return e.slots }

// Limits bounds the size of what is received.
type Limits struct {
	bodyBytes   int64
	headerBytes int
	memoryBytes int64 // zero if not stated
	descriptors int64 // zero if not stated
}

// BodyBytes returns the size of the largest request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderBytes returns the size of the largest request header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// MemoryBytes returns the bytes that the process may use; zero for those of the machine.
func (l Limits) MemoryBytes() int64 { return l.memoryBytes }

// Descriptors returns how many descriptors the process may have open; zero for what the system allows.
func (l Limits) Descriptors() int64 { return l.descriptors }

// Timeouts holds the bounds on waiting. Each is positive.
type Timeouts struct {
	readHeader, readBody, idle, betweenBytes time.Duration
	table                                    time.Duration
	configPoll, configFresh, configRefresh   time.Duration
	grace                                    time.Duration
}

// ReadHeader bounds the reading of a request's header.
func (t Timeouts) ReadHeader() time.Duration { return t.readHeader }

// ReadBody bounds the reading of a request's body.
func (t Timeouts) ReadBody() time.Duration { return t.readBody }

// Idle bounds how long an unused connection is kept.
func (t Timeouts) Idle() time.Duration { return t.idle }

// BetweenBytes bounds the time between two bytes from a sidecar that runs a request; its heartbeats
// count.
func (t Timeouts) BetweenBytes() time.Duration { return t.betweenBytes }

// Table bounds one request to the table service.
func (t Timeouts) Table() time.Duration { return t.table }

// ConfigPoll is the mean time between two reads of the configuration log.
func (t Timeouts) ConfigPoll() time.Duration { return t.configPoll }

// ConfigFresh is the time since the last confirmation from which on the configuration must be
// confirmed to be the newest again before a request is served.
func (t Timeouts) ConfigFresh() time.Duration { return t.configFresh }

// ConfigRefresh bounds how long a request waits for that confirmation.
func (t Timeouts) ConfigRefresh() time.Duration { return t.configRefresh }

// Grace returns how long the daemon may take to shut down once it has been told to.
func (t Timeouts) Grace() time.Duration { return t.grace }
