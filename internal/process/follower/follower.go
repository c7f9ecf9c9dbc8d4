// Package follower keeps a process's routes and endpoints as new as is promised,
// from the platform's store or from peers that read it.
package follower

import (
	"context"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/decision/zonereader"
)

// Source reads the platform's store and keeps the newest of what it read or was
// handed.
type Source interface {
	// Read reads a matter whole.
	Read(ctx context.Context, of carawayspread.Resource) error
	// Watch returns when routes have changed, or after the wait.
	Watch(ctx context.Context, wait time.Duration) error
	// Have returns what is known of a matter.
	Have(of carawayspread.Resource) carawayspread.ResourceStatus
	// Known returns what is newer than these versions.
	Known(routes, list uint64) carawayspread.Knowledge
	// Learn takes what is newer than what it has, and reports whether it did.
	Learn(carawayspread.Knowledge) (bool, error)
}

// Puller has a peer hand on what it knows of a matter.
type Puller interface {
	Ask(ctx context.Context, peer string, of carawayspread.Resource) error
	// AskTime has it bound the store's steady clock alone.
	AskTime(ctx context.Context, peer string) error
}

// known is what this process holds of one matter, beside the contents.
type known struct {
	// version is the newest under which the contents are known to hold: the
	// source's own, or that of a peer that holds the same.
	version uint64
	// alike is the digest that a peer gives for what was taken from it, where this
	// process has kept a newer entry of its own.
	alike uint64
	// source is the version of the source that version was taken for.
	source uint64
	// stamp is what the store's clock showed when a peer's source had this or an older
	// version as the newest; zero where no peer has said so.
	stamp time.Duration
	// stampedBy is the address of the peer that said so.
	stampedBy string
}

// claim is what a peer says it knows, and when it said so.
type claim struct {
	of    carawayspread.Resource
	peer  string
	at    time.Time
	claim carawayspread.ResourceStatus
}

// Follower is one process's side. Its Run functions are called once each.
type Follower struct {
	source   Source
	rota     *zonereader.Election
	zone     string
	capacity uint32
	announce func() // tells the peers of the zone how this process stands
	clock    carawayspread.Clock
	store    StoreClock
	pulls    [carawayspread.ResourceCount]chan claim
	heard    [carawayspread.ResourceCount]chan struct{} // something was heard that moves the next call

	mu    sync.Mutex
	known [carawayspread.ResourceCount]known

	refresh refresh
}

// New returns a follower of the source. The store's clock bounds the age of what it
// holds.
func New(source Source, rota *zonereader.Election, zone string, capacity uint32, announce func(), clock carawayspread.Clock, store StoreClock) *Follower {
	f := &Follower{
		source: source, rota: rota, zone: zone, capacity: capacity, announce: announce, clock: clock, store: store,
	}
	for of := range f.heard {
		f.heard[of] = make(chan struct{}, 1)
		f.pulls[of] = make(chan claim, 1)
	}
	return f
}

// Known returns what is newer than these versions, for a peer.
func (f *Follower) Known(routes, list uint64) carawayspread.Knowledge {
	known := f.source.Known(routes, list)
	known.StoreTime, _ = f.store.Now()
	return known
}

// Have returns what this process holds of a matter.
func (f *Follower) Have(of carawayspread.Resource) carawayspread.ResourceStatus {
	return f.source.Have(of)
}

// Learn takes what a peer hands on.
func (f *Follower) Learn(k carawayspread.Knowledge) (bool, error) { return f.source.Learn(k) }

// Lost reports whether neither the store nor a peer has confirmed what this
// process holds for too long.
func (f *Follower) Lost() bool {
	return f.rota.Stale(carawayspread.ResourceRoutes) || f.rota.Stale(carawayspread.ResourceEndpoints)
}

// PeerStatus returns what this process says of itself.
func (f *Follower) PeerStatus() carawayspread.PeerStatus {
	s := carawayspread.PeerStatus{Zone: f.zone, Capacity: f.capacity, CanReadStore: f.rota.CanRead()}
	for of := range carawayspread.ResourceCount {
		age, ever := f.rota.Age(of)
		if !ever {
			continue
		}
		s.Resources[of] = f.have(of)
		s.Resources[of].Age = age
	}
	return s
}

// have returns what this process holds, by the newest version known for it.
func (f *Follower) have(of carawayspread.Resource) carawayspread.ResourceStatus {
	f.mu.Lock()
	k := f.known[of]
	f.mu.Unlock()
	// The version is read after what proves it: a newer one is proved as well.
	own := f.source.Have(of)
	if k.source == own.Version {
		own.Version = max(own.Version, k.version)
	}
	own.StoreTime = max(own.StoreTime, k.stamp)
	return own
}

// ObservePeer takes what a peer says of itself.
//
// A version that a peer claims is believed only for contents that are the same
// here, and only as long as they are: a message that is forged or damaged costs a
// call to the store, since this process reads for itself when nothing else is newer,
// and moves nothing back.
func (f *Follower) ObservePeer(id uint64, peer string, s carawayspread.PeerStatus) {
	f.rota.ObservePeer(id, s)
	now := f.clock.Now()
	for of := range carawayspread.ResourceCount {
		c := claim{of: of, peer: peer, at: now, claim: s.Resources[of]}
		if c.claim.Version == 0 || f.agrees(c) {
			continue
		}
		if f.wants(c, s.Zone) {
			select {
			case f.pulls[of] <- c:
			default: // the next message says it again
			}
		}
	}
}

// agrees reports whether the peer holds what this process holds, and takes its
// confirmation then.
func (f *Follower) agrees(c claim) bool {
	own := f.source.Have(c.of)
	f.mu.Lock()
	k := &f.known[c.of]
	same := c.claim.Digest == own.Digest || k.alike != 0 && k.source == own.Version && c.claim.Digest == k.alike
	if same && own.Version > 0 {
		if k.source != own.Version {
			*k = known{source: own.Version, version: own.Version, stamp: k.stamp, stampedBy: k.stampedBy}
		}
		k.version = max(k.version, c.claim.Version)
	}
	k.takeStamp(c, own)
	f.mu.Unlock()
	if !same || own.Version == 0 {
		return false
	}
	f.rota.Confirm(c.of, c.at.Add(-c.claim.Age))
	f.moved(c.of)
	return true
}

// takeStamp takes a reading of the store's clock. Versions never go back there, so what
// this process holds includes all that was accepted up to the reading if it is no older
// than what the peer held.
func (k *known) takeStamp(c claim, own carawayspread.ResourceStatus) {
	if c.of == carawayspread.ResourceRoutes && own.Version >= c.claim.Version && c.claim.StoreTime > k.stamp {
		k.stamp, k.stampedBy = c.claim.StoreTime, c.peer
	}
}

// wants reports whether the contents that the peer names are to be had from it. Routes
// come from whoever has them first, as a change of them is small and the store hands
// readers the whole. Of endpoints, which change all the time, a reader has news from the
// store as soon, and another zone's come only where the own one falls behind.
func (f *Follower) wants(c claim, zone string) bool {
	have := f.have(c.of).Version
	if c.claim.Version <= have {
		return false
	}
	return f.rota.Stale(c.of) || zone == f.zone && !f.rota.IsReader() || c.of == carawayspread.ResourceRoutes && have > 0
}

func (f *Follower) moved(of carawayspread.Resource) {
	select {
	case f.heard[of] <- struct{}{}:
	default:
	}
}

// RunPulls has peers hand on what they know and this process does not, until ctx
// ends. No matter waits for another one's transfer.
func (f *Follower) RunPulls(ctx context.Context, asker Puller) error {
	var running sync.WaitGroup
	for of := range carawayspread.ResourceCount {
		running.Go(func() { f.runPulls(ctx, asker, of) })
	}
	running.Wait()
	return ctx.Err()
}

func (f *Follower) runPulls(ctx context.Context, asker Puller, of carawayspread.Resource) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.pulls[of]:
			f.pull(ctx, asker, c)
		}
	}
}

func (f *Follower) pull(ctx context.Context, asker Puller, c claim) {
	if f.agrees(c) || c.claim.Version <= f.have(c.of).Version {
		return // it has come from elsewhere meanwhile
	}
	if asker.Ask(ctx, c.peer, c.of) != nil {
		return // logged by the asker; the next message says it again
	}
	own := f.source.Have(c.of)
	if own.Version < c.claim.Version {
		return // the peer handed on less than it claimed
	}
	f.mu.Lock()
	k := &f.known[c.of]
	*k = known{source: own.Version, version: own.Version, alike: c.claim.Digest, stamp: k.stamp, stampedBy: k.stampedBy}
	k.takeStamp(c, own)
	f.mu.Unlock()
	f.rota.Confirm(c.of, c.at.Add(-c.claim.Age))
	f.moved(c.of)
}

// RunEndpoints follows the endpoints until ctx ends.
func (f *Follower) RunEndpoints(ctx context.Context) error {
	return f.run(ctx, carawayspread.ResourceEndpoints, func() {
		begun := f.clock.Now()
		err := f.source.Read(ctx, carawayspread.ResourceEndpoints)
		f.called(carawayspread.ResourceEndpoints, begun, begun, err)
	})
}

// RunRoutes follows the routes until ctx ends.
func (f *Follower) RunRoutes(ctx context.Context) error {
	return f.run(ctx, carawayspread.ResourceRoutes, func() {
		begun := f.clock.Now()
		if !f.rota.IsReader() {
			f.called(carawayspread.ResourceRoutes, begun, begun, f.source.Read(ctx, carawayspread.ResourceRoutes))
			return
		}
		err := f.source.Watch(ctx, f.rota.WatchTimeout())
		f.called(carawayspread.ResourceRoutes, begun, f.clock.Now(), err)
	})
}

// called takes note of a call, and tells the zone what it brought.
func (f *Follower) called(of carawayspread.Resource, begun, asOf time.Time, err error) {
	f.rota.RecordCall(of, begun, asOf, err)
	if err != nil {
		return
	}
	if f.rota.IsReader() {
		f.announce()
	}
}

// run makes the call each time that it is due.
func (f *Follower) run(ctx context.Context, of carawayspread.Resource, call func()) error {
	for ctx.Err() == nil {
		wait := f.rota.NextCallIn(of)
		if wait <= 0 {
			call()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.heard[of]:
		case <-f.clock.After(wait):
		}
	}
	return ctx.Err()
}
