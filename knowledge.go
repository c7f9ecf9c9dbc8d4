package carawayspread

import (
	"errors"
	"time"
)

// ErrDeltaMismatch says that changes which a peer handed on do not fit what is known here;
// the whole is to be asked for.
var ErrDeltaMismatch = errors.New("changes do not fit what is known")

// ErrTooSoon says that a question was not asked, since one was asked a moment before.
var ErrTooSoon = errors.New("asked a moment before")

// Resource is one thing that processes learn from the platform's store.
type Resource int

// The matters that are followed.
const (
	ResourceRoutes    Resource = iota
	ResourceEndpoints          // the endpoints
	ResourceCount              // how many there are
)

// String returns the matter's name in logs.
func (m Resource) String() string {
	if m == ResourceEndpoints {
		return "endpoints"
	}
	return "routes"
}

// Document is what a process knows of one matter, as the platform wrote it.
type Document struct {
	Version uint64 // grows with each change; zero where nothing is known
	// Since is the version from which the body holds the changes; zero where it holds all.
	Since uint64
	Body  []byte // read by the platform's translation alone
}

// Knowledge is what a process has learnt from the platform's store and can hand
// on to a peer.
type Knowledge struct {
	Routes    Document
	Endpoints Document // the endpoints
	// StoreTime is the latest that the store's steady clock can show as this is
	// handed on; zero where it is not known.
	StoreTime time.Duration
}

// ResourceStatus is what a process says that it knows of one matter, without the contents.
type ResourceStatus struct {
	Version uint64        // as in Document, or a later one under which nothing had changed
	Digest  uint64        // equal where the contents are
	Age     time.Duration // since the store confirmed it, by the clock of the process that says so
	// StoreTime is what the store's steady clock showed when this was the newest; zero
	// where nothing shows it. A message that arrives late makes it no newer.
	StoreTime time.Duration
}

// PeerStatus is what a process tells its peers of itself.
type PeerStatus struct {
	Zone         string
	Capacity     uint32 // what its instance can carry, to be compared only
	CanReadStore bool   // the store answers it, and it stays
	FleetSize    int    // processes that it hears itself, itself included
	Resources    [ResourceCount]ResourceStatus
	// StoreEpoch is the time from the start of 1970, by this process's time of day, to the
	// moment at which the store's steady clock showed zero; zero where it is not known.
	StoreEpoch time.Duration
	// MayHoldUsageLease says that it may hold the lease of usage reports.
	MayHoldUsageLease bool
}
