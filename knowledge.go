package carawayspread

import (
	"errors"
	"time"
)

// ErrDeltaMismatch means that changes received from a peer do not apply to the version held here;
// the full contents must be requested.
var ErrDeltaMismatch = errors.New("the changes do not apply to the version held here")

// ErrTooSoon means that a store or a peer was not queried because the last query is too recent or
// still running.
var ErrTooSoon = errors.New("the last query is too recent or still running")

// Resource is a kind of data that processes follow in the platform's store.
type Resource int

// Resources that are followed.
const (
	ResourceRoutes    Resource = iota
	ResourceEndpoints          // the endpoints
	ResourceCount              // number of resources
)

// String returns the name of the resource in logs.
func (m Resource) String() string {
	if m == ResourceEndpoints {
		return "endpoints"
	}
	return "routes"
}

// Document is the contents of one resource, in the platform's encoding, or changes to them.
type Document struct {
	Version uint64 // grows with each change; zero if nothing is known
	// Since is the version that the changes in Body start from; zero if Body is complete.
	Since uint64
	Body  []byte // opaque to all but the platform's adapter
}

// Knowledge is the state that a process has learned from the platform's store and can pass on to a
// peer.
type Knowledge struct {
	Routes    Document
	Endpoints Document // the endpoints
	// StoreTime is the latest possible reading of the store's monotonic clock at the time of
	// passing this on; zero if unknown.
	StoreTime time.Duration
}

// ResourceStatus states which version of a resource a process holds, without the contents.
type ResourceStatus struct {
	Version uint64        // as in Document, or a later one with the same contents
	Digest  uint64        // equal if the contents are equal
	Age     time.Duration // since the store confirmed it, by the sender's clock
	// StoreTime is the reading of the store's monotonic clock at which this was known to be the
	// newest; zero if unknown. A delay of the message does not make it appear newer.
	StoreTime time.Duration
}

// PeerStatus is what a process reports about itself to its peers.
type PeerStatus struct {
	Zone         string
	Capacity     uint32 // of its instance; only for comparison between processes
	CanReadStore bool   // the store answers this process, and it is not shutting down
	FleetSize    int    // processes that share the limits of the fleet, as it counts them, itself included
	Resources    [ResourceCount]ResourceStatus
	// StoreEpoch is the time from the start of 1970 to the moment at which the store's monotonic
	// clock read zero, by this process's wall clock; zero if unknown.
	StoreEpoch time.Duration
	// MayHoldUsageLease says that the process may hold the lease for usage reports.
	MayHoldUsageLease bool
}
