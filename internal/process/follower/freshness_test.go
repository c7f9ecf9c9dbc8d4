package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// changes notes when routes changed.
type changes struct {
	mu sync.Mutex
	at map[uint64]time.Time // by digest
}

func (c *changes) change(s *store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.change(carawayspread.ResourceRoutes)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at[s.at[carawayspread.ResourceRoutes]] = time.Now()
}

// missed returns a change that the process's evidence covers and that it does not hold.
func (c *changes) missed(n *node) (uint64, bool) {
	age, known := n.follower.Age()
	if !known {
		return 0, false
	}
	held := n.Have(carawayspread.ResourceRoutes).Digest
	c.mu.Lock()
	defer c.mu.Unlock()
	for digest, at := range c.at {
		if digest > held && time.Since(at) > age {
			return digest, true
		}
	}
	return 0, false
}

// Guards against a revoked key that still passes: no process's evidence covers a change
// that it does not hold, however late messages come and whoever is cut off.
func TestEvidenceNeverCoversWhatIsNotHeld(t *testing.T) {
	for name, strike := range map[string]func(w *world){
		"nothing":                    func(*world) {},
		"messages come seconds late": func(w *world) { w.set(func() { w.late = 3 * time.Second }) },
		"a zone is cut from the store": func(w *world) {
			for _, n := range w.nodes {
				if n.zone == "z1" {
					n.set(func() { n.away = true })
				}
			}
		},
		"the store is slow": func(w *world) { w.store.mu.Lock(); w.store.slow = 900 * time.Millisecond; w.store.mu.Unlock() },
		"the store is down": func(w *world) { w.store.mu.Lock(); w.store.down = true; w.store.mu.Unlock() },
		"nobody hears anybody": func(w *world) {
			for _, n := range w.nodes {
				n.set(func() { n.deaf = true })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			playKeyed(t, 3, 3, func(w *world) {
				c := &changes{at: map[uint64]time.Time{}}
				strike(w)
				for step := range 200 {
					if step%7 == 0 {
						c.change(w.store)
					}
					time.Sleep(50 * time.Millisecond)
					for _, n := range w.nodes {
						if digest, bad := c.missed(n); bad {
							t.Fatalf("process %s holds %d, its evidence covers %d", n.name(), n.Have(carawayspread.ResourceRoutes).Digest, digest)
						}
					}
				}
			})
		})
	}
}

// Guards against requests that are refused for want of evidence while peers have it:
// a zone that the store turns away stays proven by the others.
func TestEvidenceTravelsThroughPeers(t *testing.T) {
	playKeyed(t, 3, 3, func(w *world) {
		for _, n := range w.nodes {
			if n.zone == "z1" {
				n.set(func() { n.away = true })
			}
		}
		time.Sleep(20 * time.Second)
		for _, n := range w.nodes {
			age, known := n.follower.Age()
			qt.Check(t, known && age < inForce, qt.IsTrue, qt.Commentf("process %s: %v %v", n.name(), age, known))
		}
	})
}

// Guards against evidence that stays young while its process is cut off from all.
func TestEvidenceAgesWhereNothingIsHeard(t *testing.T) {
	playKeyed(t, 3, 3, func(w *world) {
		n := w.nodes[0]
		n.set(func() { n.away, n.deaf = true, true })
		time.Sleep(10 * time.Second)
		age, known := n.follower.Age()
		qt.Check(t, known && age > 8*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	})
}

// Guards against callers who guess keys and so drive calls to the store: a process asks
// once a second, and those who wait for the same answer share a call.
func TestRefreshIsBoundedAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &world{store: &store{started: time.Now(), ver: 1, at: [carawayspread.ResourceCount]uint64{1, 1}}}
		n := w.join(1, "z", true, 1)
		results := make(chan error, 100)
		for range cap(results) {
			go func() { results <- n.follower.Refresh(ctx) }()
		}
		counts := map[string]int{}
		for range cap(results) {
			counts[fmt.Sprint(<-results)]++
		}
		qt.Check(t, w.store.calls, qt.Equals, 1, qt.Commentf("%v", counts))
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), carawayspread.ErrTooSoon), qt.IsTrue)
		time.Sleep(refreshSpacing)
		qt.Check(t, n.follower.Refresh(ctx), qt.IsNil)
		qt.Check(t, w.store.calls, qt.Equals, 2)
		n.set(func() { n.away = true })
		time.Sleep(refreshSpacing)
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), errStore), qt.IsTrue)
		time.Sleep(refreshSpacing)
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), carawayspread.ErrUnavailable), qt.IsTrue)
		qt.Check(t, w.store.calls, qt.Equals, 3)
	})
}

// Guards against calls to the store that grow with the fleet: whoever learns all from
// peers learns the store's clock from them too.
func TestStoreClockComesFromPeers(t *testing.T) {
	var calls []int
	for _, with := range []func(*testing.T, int, int, func(*world)){play, playKeyed} {
		with(t, 3, 20, func(w *world) {
			time.Sleep(20 * time.Second)
			calls = append(calls, w.calls(60*time.Second))
			for _, n := range w.nodes {
				slack, known := n.clock.Slack()
				qt.Check(t, len(calls) < 2 || known && slack < driftLimit+driftCheckEvery, qt.IsTrue, qt.Commentf("process %s: %v", n.name(), slack))
			}
		})
	}
	t.Logf("%d calls a minute without, %d with the store's clock", calls[0], calls[1])
	qt.Check(t, calls[1] <= calls[0]*11/10, qt.IsTrue)
}

// overtaken is a source that learns a newer version, and hears that it is the newest,
// while its own is asked for.
type overtaken struct {
	*node
	newer func() // nil once it was called
}

func (o *overtaken) Have(of carawayspread.Resource) carawayspread.ResourceStatus {
	held := o.node.Have(of)
	if newer := o.newer; newer != nil {
		o.newer = nil
		newer()
	}
	return held
}

// Guards against evidence of a version that arrives between two looks and is taken for
// the one before it.
func TestEvidenceIsNotOfANewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{store: &store{started: time.Now(), ver: 1, at: [carawayspread.ResourceCount]uint64{1, 1}}}
		n := w.join(1, "z", true, 1)
		n.take(carawayspread.ResourceRoutes, carawayspread.ResourceStatus{Version: 1, Digest: 1, StoreTime: time.Second})
		source := &overtaken{node: n}
		f := New(source, n.rota, "z", 1, func() {}, carawayspread.SystemClock(), n.clock)
		source.newer = func() {
			n.take(carawayspread.ResourceRoutes, carawayspread.ResourceStatus{Version: 2, Digest: 2, StoreTime: time.Second})
			var p carawayspread.PeerStatus
			p.Resources[carawayspread.ResourceRoutes] = carawayspread.ResourceStatus{Version: 2, Digest: 2, StoreTime: time.Minute}
			f.ObservePeer(2, "peer", p)
		}
		had := f.have(carawayspread.ResourceRoutes)
		qt.Check(t, had.Version, qt.Equals, uint64(1))
		qt.Check(t, had.StoreTime, qt.Equals, time.Second)
		had = f.have(carawayspread.ResourceRoutes)
		qt.Check(t, had.Version, qt.Equals, uint64(2))
		qt.Check(t, had.StoreTime, qt.Equals, time.Minute)
	})
}
