package follower

import (
	"context"
	"sync"
	"time"

	"carawayspread"
)

const (
	// refreshSpacing is the minimum time between two refreshes from the store by one process, so
	// that callers who guess keys cannot raise the number of calls to the store.
	refreshSpacing = time.Second
	// driftLimit is how far the bound on the store's clock may widen before the clock is read
	// again.
	driftLimit = 300 * time.Millisecond
	// driftCheckEvery is the interval at which the width of the bound is checked.
	driftCheckEvery = time.Second
)

// StoreClock bounds the store's monotonic clock.
type StoreClock interface {
	// Now returns the latest possible reading of the clock; false if it is unknown.
	Now() (time.Duration, bool)
	// Age returns the longest time that may have passed since the clock showed storeTime; false if
	// it is unknown.
	Age(storeTime time.Duration) (time.Duration, bool)
	// DriftAllowance returns how far the bound has widened since the last usable reading; false if
	// there was none.
	DriftAllowance() (time.Duration, bool)
}

var _ carawayspread.ConfigFreshness = (*Follower)(nil)

// Age implements carawayspread.ConfigFreshness for routes and API keys.
func (f *Follower) Age() (time.Duration, bool) {
	return f.store.Age(f.heldStatus(carawayspread.ResourceRoutes).StoreTime)
}

// ListAge returns the longest time for which the list of endpoints held may have been outdated, by the store's
// clock; false if it is not known. The source may be locked: it passes on a new list.
func (f *Follower) ListAge() (time.Duration, bool) {
	return f.store.Age(time.Duration(f.listTime.Load()))
}

// noteListTime keeps the reading of the store's clock that the list of endpoints held is known by.
func (f *Follower) noteListTime() {
	now := int64(f.heldStatus(carawayspread.ResourceEndpoints).StoreTime)
	for before := f.listTime.Load(); now > before && !f.listTime.CompareAndSwap(before, now); {
		before = f.listTime.Load()
	}
}

// RunStoreClock keeps the bound on the store's clock narrow until ctx ends, by asking the peer
// whose store time is in use, or by a call to the store if that does not help. Processes that get
// everything from peers make no call to the store themselves for long.
func (f *Follower) RunStoreClock(ctx context.Context, puller Puller) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.clock.After(driftCheckEvery):
		}
		if f.storeClockBounded() {
			continue
		}
		f.mu.Lock()
		storeTimePeer := f.known[carawayspread.ResourceRoutes].storeTimePeer
		f.mu.Unlock()
		if storeTimePeer != "" {
			_ = puller.PullStoreTime(ctx, storeTimePeer) // on failure, the store is called below
		}
		if !f.storeClockBounded() {
			_ = f.Refresh(ctx) // the source logs failed calls
		}
	}
}

// storeClockBounded reports whether the store's clock is bounded closely enough.
func (f *Follower) storeClockBounded() bool {
	drift, known := f.store.DriftAllowance()
	return known && drift <= driftLimit
}

// refresh shares one call to the store among all callers of Refresh that wait for the same result.
type refresh struct {
	mu       sync.Mutex
	started  int       // number of calls started
	finished int       // number of them finished
	last     time.Time // start of the latest call
	err      error     // of the latest call that has finished
	done     chan struct{}
}

// Refresh reads newer routes from the store, if there are any. The store is called after Refresh
// was entered: a call that was under way before does not cover changes accepted since.
//
// It returns ErrUnavailable without a call if a recent call to the store has failed or this process
// is shutting down, and ErrTooSoon if the last refresh started less than refreshSpacing ago.
func (f *Follower) Refresh(ctx context.Context) error {
	if !f.election.CanRead() {
		return carawayspread.ErrUnavailable
	}
	r := &f.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	for need := r.started + 1; r.finished < need; {
		if r.started == r.finished {
			if !r.last.IsZero() && f.clock.Now().Sub(r.last) < refreshSpacing {
				return carawayspread.ErrTooSoon
			}
			r.started++
			r.last, r.done = f.clock.Now(), make(chan struct{})
			go f.callStore(context.WithoutCancel(ctx))
		}
		done := r.done
		r.mu.Unlock()
		select {
		case <-done:
			r.mu.Lock()
		case <-ctx.Done():
			r.mu.Lock()
			return ctx.Err()
		}
	}
	return r.err
}

func (f *Follower) callStore(ctx context.Context) {
	start := f.clock.Now()
	err := f.source.Watch(ctx, 0)
	f.recordCall(carawayspread.ResourceRoutes, start, start, err)
	r := &f.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished, r.err = r.finished+1, err
	close(r.done)
}
