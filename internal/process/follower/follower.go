// Package follower keeps a process's routes and endpoints within the guaranteed age, from the
// platform's store or from peers that read it.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/zonereader"
)

// Source reads the platform's store and keeps the newest version of what it read or received from
// peers.
type Source interface {
	// Read reads the full contents of a resource.
	Read(ctx context.Context, resource carawayspread.Resource) error
	// Watch returns when the routes have changed, or after the wait.
	Watch(ctx context.Context, wait time.Duration) error
	// Status returns the version and digest of the contents held of a resource.
	Status(resource carawayspread.Resource) carawayspread.ResourceStatus
	// NewerThan returns the contents that are newer than these versions.
	NewerThan(routes, list uint64) carawayspread.Knowledge
	// Learn applies what is newer than the contents held, and reports whether it applied any.
	Learn(carawayspread.Knowledge) (bool, error)
}

// Puller fetches data from peers.
type Puller interface {
	// Pull fetches and applies the peer's contents of a resource.
	Pull(ctx context.Context, peer string, resource carawayspread.Resource) error
	// PullStoreTime fetches only the peer's bound on the store's monotonic clock.
	PullStoreTime(ctx context.Context, peer string) error
}

// knownVersion is what this process knows about the version of one resource that it holds.
type knownVersion struct {
	// version is the newest version known to have the contents held: the source's own, or that of
	// a peer with the same contents.
	version uint64
	// peerDigest is the digest that a peer reports for the contents pulled from it. It differs from
	// the own digest if this process has kept a newer entry of its own.
	peerDigest uint64
	// sourceVersion is the source's version for which version was recorded.
	sourceVersion uint64
	// storeTime is the reading of the store's clock at which a peer's source had this or an older
	// version as the newest; zero if no peer has reported one.
	storeTime time.Duration
	// storeTimePeer is the address of the peer that reported storeTime.
	storeTimePeer string
}

// peerReport is the status that a peer reports for one resource.
type peerReport struct {
	resource carawayspread.Resource
	peer     string
	status   carawayspread.ResourceStatus
}

// Follower keeps one process's routes and endpoints up to date. Each of its Run functions is called
// once.
type Follower struct {
	source   Source
	election *zonereader.Election
	zone     string
	capacity uint32
	announce func() // sends the status of this process to the peers of the zone
	clock    carawayspread.Clock
	store    StoreClock
	pulls    [carawayspread.ResourceCount]chan peerReport
	wake     [carawayspread.ResourceCount]chan struct{} // signals that a confirmation moved the next call

	mu    sync.Mutex
	known [carawayspread.ResourceCount]knownVersion

	listTime atomic.Int64 // nanoseconds; of the list of endpoints, as in heldStatus or earlier

	refresh refresh
}

// New returns a follower of the source. The store's clock bounds the age of the contents held.
func New(source Source, election *zonereader.Election, zone string, capacity uint32, announce func(), clock carawayspread.Clock, store StoreClock) *Follower {
	f := &Follower{
		source: source, election: election, zone: zone, capacity: capacity, announce: announce, clock: clock, store: store,
	}
	for resource := range f.wake {
		f.wake[resource] = make(chan struct{}, 1)
		f.pulls[resource] = make(chan peerReport, 1)
	}
	return f
}

// NewerThan returns the contents that are newer than these versions, to be passed on to a peer.
func (f *Follower) NewerThan(routes, list uint64) carawayspread.Knowledge {
	known := f.source.NewerThan(routes, list)
	known.StoreTime, _ = f.store.Now()
	return known
}

// Status returns the version and digest of the contents held of a resource.
func (f *Follower) Status(resource carawayspread.Resource) carawayspread.ResourceStatus {
	return f.source.Status(resource)
}

// Learn applies the contents that a peer passed on, and reports whether any of them were newer.
func (f *Follower) Learn(k carawayspread.Knowledge) (bool, error) { return f.source.Learn(k) }

// Stale reports whether neither the store nor a peer has confirmed what this process holds for too
// long.
func (f *Follower) Stale() bool {
	return f.election.Stale(carawayspread.ResourceRoutes) || f.election.Stale(carawayspread.ResourceEndpoints)
}

// PeerStatus returns the status that this process reports to its peers.
func (f *Follower) PeerStatus() carawayspread.PeerStatus {
	s := carawayspread.PeerStatus{Zone: f.zone, Capacity: f.capacity, CanReadStore: f.election.CanRead()}
	for resource := range carawayspread.ResourceCount {
		age, ever := f.election.Age(resource)
		if !ever {
			continue
		}
		s.Resources[resource] = f.heldStatus(resource)
		s.Resources[resource].Age = age
	}
	return s
}

// heldStatus returns the status of the contents held, with the newest version known for them.
func (f *Follower) heldStatus(resource carawayspread.Resource) carawayspread.ResourceStatus {
	f.mu.Lock()
	k := f.known[resource]
	f.mu.Unlock()
	// The version is read after the store time that it is reported with: a later version is as
	// fresh at that time. The other order could report an old version with the store time of a
	// newer one.
	own := f.source.Status(resource)
	if k.sourceVersion == own.Version {
		own.Version = max(own.Version, k.version)
	}
	own.StoreTime = max(own.StoreTime, k.storeTime)
	return own
}

// ObservePeer processes the status that a peer reports about itself.
//
// The version that a peer reports is trusted only for contents that are the same here, and only as
// long as they are. A forged or damaged message costs a call to the store, since this process reads
// for itself if nothing else is newer, and reverts nothing.
func (f *Follower) ObservePeer(id uint64, peer string, s carawayspread.PeerStatus) {
	f.election.ObservePeer(id, s)
	for resource := range carawayspread.ResourceCount {
		r := peerReport{resource: resource, peer: peer, status: s.Resources[resource]}
		if r.status.Version == 0 || f.applyConfirmation(r) {
			continue
		}
		if f.shouldPull(r, s.Zone) {
			select {
			case f.pulls[resource] <- r:
			default: // the peer's next message repeats it
			}
		}
	}
}

// applyConfirmation reports whether the peer holds the same contents as this process, and if so
// takes over its confirmation of them. It records the peer's reading of the store's clock in any
// case.
func (f *Follower) applyConfirmation(r peerReport) bool {
	own := f.source.Status(r.resource)
	f.mu.Lock()
	k := &f.known[r.resource]
	same := r.status.Digest == own.Digest || k.peerDigest != 0 && k.sourceVersion == own.Version && r.status.Digest == k.peerDigest
	if same && own.Version > 0 {
		if k.sourceVersion != own.Version {
			*k = knownVersion{sourceVersion: own.Version, version: own.Version, storeTime: k.storeTime, storeTimePeer: k.storeTimePeer}
		}
		k.version = max(k.version, r.status.Version)
	}
	if (same || own.Version >= r.status.Version) && f.possible(r.status.StoreTime) {
		k.observeStoreTime(r)
	}
	f.mu.Unlock()
	if !same || own.Version == 0 {
		return false
	}
	f.confirm(r)
	return true
}

// observeStoreTime records a peer's reading of the store's clock, up to which the contents held include
// all that was accepted: they are those of the peer or newer ones, as versions in the store never decrease.
func (k *knownVersion) observeStoreTime(r peerReport) {
	if r.status.StoreTime > k.storeTime {
		k.storeTime, k.storeTimePeer = r.status.StoreTime, r.peer
	}
}

// confirm records that the store confirmed the contents held when its clock had the reading that the peer
// reports.
//
// The age that the peer states is not used. It does not include the time that the message waited at a
// process that is paused or behind, which would pass it on as the age of the same contents: such a process
// and its peers would confirm an old list to one another for as long as it is behind.
func (f *Follower) confirm(r peerReport) {
	f.noteListTime()
	age, known := f.store.Age(r.status.StoreTime)
	if !known || !f.possible(r.status.StoreTime) {
		return
	}
	// The allowance for drift makes the age an upper bound. Here it would only add calls to the store.
	drift, _ := f.store.DriftAllowance()
	f.election.Confirm(r.resource, f.clock.Now().Add(-max(0, age-drift)))
	f.wakeUp(r.resource)
}

// shouldPull reports whether the contents that the peer reports are to be pulled from it. Routes
// are pulled from whichever peer has them first, as a change of them is small, while the store
// returns all of them to readers. Endpoints change all the time: a reader gets changes from the
// store as soon, and they are pulled from another zone only if the own zone falls behind.
func (f *Follower) shouldPull(r peerReport, zone string) bool {
	held := f.heldStatus(r.resource).Version
	if r.status.Version <= held {
		return false
	}
	return f.election.Stale(r.resource) || zone == f.zone && !f.election.IsReader() || r.resource == carawayspread.ResourceRoutes && held > 0
}

func (f *Follower) wakeUp(resource carawayspread.Resource) {
	select {
	case f.wake[resource] <- struct{}{}:
	default:
	}
}

// RunPulls pulls newer contents from peers until ctx ends. No resource waits for the transfer of
// another one.
func (f *Follower) RunPulls(ctx context.Context, puller Puller) error {
	var running sync.WaitGroup
	for resource := range carawayspread.ResourceCount {
		running.Go(func() { f.runPulls(ctx, puller, resource) })
	}
	running.Wait()
	return ctx.Err()
}

func (f *Follower) runPulls(ctx context.Context, puller Puller, resource carawayspread.Resource) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.pulls[resource]:
			f.pull(ctx, puller, r)
		}
	}
}

func (f *Follower) pull(ctx context.Context, puller Puller, r peerReport) {
	if f.applyConfirmation(r) || r.status.Version <= f.heldStatus(r.resource).Version {
		return // meanwhile received from another source
	}
	if puller.Pull(ctx, r.peer, r.resource) != nil {
		return // logged by the puller; the peer's next message repeats the report
	}
	own := f.source.Status(r.resource)
	if own.Version < r.status.Version {
		return // the peer passed on an older version than it reported
	}
	f.mu.Lock()
	k := &f.known[r.resource]
	*k = knownVersion{sourceVersion: own.Version, version: own.Version, peerDigest: r.status.Digest, storeTime: k.storeTime, storeTimePeer: k.storeTimePeer}
	if f.possible(r.status.StoreTime) {
		k.observeStoreTime(r)
	}
	f.mu.Unlock()
	f.confirm(r)
}

// possible reports whether the store's clock can have had the reading. A forged one from the future would
// confirm the contents held for as long as the clock takes to get there.
func (f *Follower) possible(storeTime time.Duration) bool {
	latest, known := f.store.Now()
	return !known || storeTime <= latest
}

// RunEndpoints follows the endpoints until ctx ends.
func (f *Follower) RunEndpoints(ctx context.Context) error {
	return f.run(ctx, carawayspread.ResourceEndpoints, func() {
		start := f.clock.Now()
		err := f.source.Read(ctx, carawayspread.ResourceEndpoints)
		f.recordCall(carawayspread.ResourceEndpoints, start, start, err)
	})
}

// RunRoutes follows the routes until ctx ends.
func (f *Follower) RunRoutes(ctx context.Context) error {
	return f.run(ctx, carawayspread.ResourceRoutes, func() {
		start := f.clock.Now()
		if !f.election.IsReader() {
			f.recordCall(carawayspread.ResourceRoutes, start, start, f.source.Read(ctx, carawayspread.ResourceRoutes))
			return
		}
		err := f.source.Watch(ctx, f.election.WatchTimeout())
		f.recordCall(carawayspread.ResourceRoutes, start, f.clock.Now(), err)
	})
}

// recordCall records a call to the store, and announces its result to the zone if this process is
// the reader.
func (f *Follower) recordCall(resource carawayspread.Resource, start, asOf time.Time, err error) {
	f.election.RecordCall(resource, start, asOf, err)
	if err != nil {
		return
	}
	f.noteListTime()
	if f.election.IsReader() {
		f.announce()
	}
}

// run makes the call each time it is due, until ctx ends.
func (f *Follower) run(ctx context.Context, resource carawayspread.Resource, call func()) error {
	for ctx.Err() == nil {
		wait := f.election.NextCallIn(resource)
		if wait <= 0 {
			call()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.wake[resource]:
		case <-f.clock.After(wait):
		}
	}
	return ctx.Err()
}
