package follower

import (
	"context"
	"sync"
	"time"

	"carawayspread"
)

const (
	// refreshSpacing is the least time between two questions of one process to the
	// store, so that callers who guess keys cannot drive its calls.
	refreshSpacing = time.Second
	// driftLimit is how far the bound on the store's clock may widen before it is
	// read anew.
	driftLimit = 300 * time.Millisecond
	// driftCheckEvery is the time between two looks at it.
	driftCheckEvery = time.Second
)

// StoreClock bounds the store's steady clock.
type StoreClock interface {
	// Now returns the latest that the clock may show; false where that is not known.
	Now() (time.Duration, bool)
	// Age returns the longest time that may have passed since the clock showed the
	// stamp; false where that cannot be said.
	Age(stamp time.Duration) (time.Duration, bool)
	// Slack returns how far the bound has widened since the last good reading; false
	// where there was none.
	Slack() (time.Duration, bool)
}

var _ carawayspread.ConfigFreshness = (*Follower)(nil)

// Age implements carawayspread.ConfigFreshness for routes and keys.
func (f *Follower) Age() (time.Duration, bool) {
	return f.store.Age(f.have(carawayspread.ResourceRoutes).StoreTime)
}

// RunStoreClock keeps the store's clock known until ctx ends: by the peer that reads the
// store, or by a call where that does not help. Processes that learn all from peers
// make no call of their own for long.
func (f *Follower) RunStoreClock(ctx context.Context, asker Puller) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.clock.After(driftCheckEvery):
		}
		if f.boundsStore() {
			continue
		}
		f.mu.Lock()
		stampedBy := f.known[carawayspread.ResourceRoutes].stampedBy
		f.mu.Unlock()
		if stampedBy != "" {
			_ = asker.AskTime(ctx, stampedBy) // the store is asked next
		}
		if !f.boundsStore() {
			_ = f.Refresh(ctx) // the source logs that the store does not answer
		}
	}
}

// boundsStore reports whether the store's clock is bounded closely enough.
func (f *Follower) boundsStore() bool {
	slack, known := f.store.Slack()
	return known && slack <= driftLimit
}

// refresh has the store asked once for all who wait for the same answer.
type refresh struct {
	mu      sync.Mutex
	begun   int       // questions
	ended   int       // of them
	last    time.Time // when the newest began
	err     error     // of the newest that has ended
	waiting chan struct{}
}

// Refresh asks the store whether there are newer routes, and takes them. The question
// is asked after the call to Refresh: one that was under way says nothing of what was
// accepted since. Where the store did not answer a moment ago, none is asked.
func (f *Follower) Refresh(ctx context.Context) error {
	if !f.rota.CanRead() {
		return carawayspread.ErrUnavailable
	}
	r := &f.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	for need := r.begun + 1; r.ended < need; {
		if r.begun == r.ended {
			if !r.last.IsZero() && f.clock.Now().Sub(r.last) < refreshSpacing {
				return carawayspread.ErrTooSoon
			}
			r.begun++
			r.last, r.waiting = f.clock.Now(), make(chan struct{})
			go f.ask(context.WithoutCancel(ctx))
		}
		waiting := r.waiting
		r.mu.Unlock()
		select {
		case <-waiting:
			r.mu.Lock()
		case <-ctx.Done():
			r.mu.Lock()
			return ctx.Err()
		}
	}
	return r.err
}

func (f *Follower) ask(ctx context.Context) {
	begun := f.clock.Now()
	err := f.source.Watch(ctx, 0)
	f.called(carawayspread.ResourceRoutes, begun, begun, err)
	r := &f.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = r.ended+1, err
	close(r.waiting)
}
