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

// changes records when the resource changed.
type changes struct {
	resource carawayspread.Resource

	mu sync.Mutex
	at map[uint64]time.Time // by digest
}

func (c *changes) change(s *store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.change(c.resource)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at[s.at[c.resource]] = time.Now()
}

// missed returns a change that the process does not hold although its freshness covers it.
func (c *changes) missed(n *node) (uint64, bool) {
	age, known := n.follower.Age()
	if c.resource == carawayspread.ResourceEndpoints {
		age, known = n.follower.ListAge()
	}
	if !known {
		return 0, false
	}
	held := n.Status(c.resource).Digest
	c.mu.Lock()
	defer c.mu.Unlock()
	for digest, at := range c.at {
		if digest > held && time.Since(at) > age {
			return digest, true
		}
	}
	return 0, false
}

// Guards against a revoked API key that is still accepted, and against a build of engines that is taken for the
// only one: no process reports a freshness that covers a change which it does not hold, however late messages
// are and whichever processes are cut off.
func TestFreshnessNeverCoversMissedChange(t *testing.T) {
	for name, injectFault := range map[string]func(cl *cluster){
		"nothing":                   func(*cluster) {},
		"messages are seconds late": func(cl *cluster) { cl.set(func() { cl.messageDelay = 3 * time.Second }) },
		"the store refuses a zone": func(cl *cluster) {
			for _, n := range cl.nodes {
				if n.zone == "z1" {
					n.set(func() { n.storeFails = true })
				}
			}
		},
		"the store is slow": func(cl *cluster) { cl.store.mu.Lock(); cl.store.slow = 900 * time.Millisecond; cl.store.mu.Unlock() },
		"the store is down": func(cl *cluster) { cl.store.mu.Lock(); cl.store.down = true; cl.store.mu.Unlock() },
		"all messages are lost": func(cl *cluster) {
			for _, n := range cl.nodes {
				n.set(func() { n.inboundCut = true })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runClusterWithStoreClock(t, 3, 3, func(cl *cluster) {
				var all []*changes
				for resource := range carawayspread.ResourceCount {
					all = append(all, &changes{resource: resource, at: map[uint64]time.Time{}})
				}
				injectFault(cl)
				for step := range 200 {
					for _, c := range all {
						if step%7 == 3*int(c.resource) {
							c.change(cl.store)
						}
					}
					time.Sleep(50 * time.Millisecond)
					for _, n := range cl.nodes {
						for _, c := range all {
							if digest, bad := c.missed(n); bad {
								t.Fatalf("process %s holds %d of resource %d, its freshness covers %d", n.name(), n.Status(c.resource).Digest, c.resource, digest)
							}
						}
					}
				}
			})
		})
	}
}

// Guards against requests that are refused for stale configuration while peers hold a fresh one: a
// zone whose calls the store refuses stays fresh through the others.
func TestFreshnessPropagatesThroughPeers(t *testing.T) {
	runClusterWithStoreClock(t, 3, 3, func(cl *cluster) {
		for _, n := range cl.nodes {
			if n.zone == "z1" {
				n.set(func() { n.storeFails = true })
			}
		}
		time.Sleep(20 * time.Second)
		for _, n := range cl.nodes {
			age, known := n.follower.Age()
			qt.Check(t, known && age < applyBound, qt.IsTrue, qt.Commentf("process %s: %v %v", n.name(), age, known))
		}
	})
}

// Guards against an age that stays low while the process is isolated from the store and all peers.
func TestFreshnessAgesWhenIsolated(t *testing.T) {
	runClusterWithStoreClock(t, 3, 3, func(cl *cluster) {
		n := cl.nodes[0]
		n.set(func() { n.storeFails, n.inboundCut = true, true })
		time.Sleep(10 * time.Second)
		age, known := n.follower.Age()
		qt.Check(t, known && age > 8*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	})
}

// Guards against callers who raise the number of calls to the store by guessing keys: a process
// makes one call a second, shared by all that wait for the same result.
func TestRefreshIsRateLimitedAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cl := &cluster{store: &store{started: time.Now(), ver: 1, at: [carawayspread.ResourceCount]uint64{1, 1}}}
		n := cl.join(1, "z", true, 1)
		results := make(chan error, 100)
		for range cap(results) {
			go func() { results <- n.follower.Refresh(ctx) }()
		}
		counts := map[string]int{}
		for range cap(results) {
			counts[fmt.Sprint(<-results)]++
		}
		qt.Check(t, cl.store.calls, qt.Equals, 1, qt.Commentf("%v", counts))
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), carawayspread.ErrTooSoon), qt.IsTrue)
		time.Sleep(refreshSpacing)
		qt.Check(t, n.follower.Refresh(ctx), qt.IsNil)
		qt.Check(t, cl.store.calls, qt.Equals, 2)
		n.set(func() { n.storeFails = true })
		time.Sleep(refreshSpacing)
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), errStore), qt.IsTrue)
		time.Sleep(refreshSpacing)
		qt.Check(t, errors.Is(n.follower.Refresh(ctx), carawayspread.ErrUnavailable), qt.IsTrue)
		qt.Check(t, cl.store.calls, qt.Equals, 3)
	})
}

// Guards against calls to the store that grow with the number of processes: those that get
// everything from peers get the store's clock from them too.
func TestStoreClockComesFromPeers(t *testing.T) {
	var calls []int
	for _, with := range []func(*testing.T, int, int, func(*cluster)){runCluster, runClusterWithStoreClock} {
		with(t, 3, 20, func(cl *cluster) {
			time.Sleep(20 * time.Second)
			calls = append(calls, cl.calls(60*time.Second))
			for _, n := range cl.nodes {
				drift, known := n.clock.DriftAllowance()
				qt.Check(t, len(calls) < 2 || known && drift < driftLimit+driftCheckEvery, qt.IsTrue, qt.Commentf("process %s: %v", n.name(), drift))
			}
		})
	}
	t.Logf("%d calls a minute without, %d with the store's clock", calls[0], calls[1])
	qt.Check(t, calls[1] <= calls[0]*11/10, qt.IsTrue)
}

// racingSource is a source that learns a newer version, and receives the report that this is the
// newest, while its status is read.
type racingSource struct {
	*node
	newer func() // set to nil before it is called
}

func (o *racingSource) Status(resource carawayspread.Resource) carawayspread.ResourceStatus {
	held := o.node.Status(resource)
	if newer := o.newer; newer != nil {
		o.newer = nil
		newer()
	}
	return held
}

// Guards against the freshness of a version that arrives between two reads of the state being
// reported for the version before it.
func TestFreshnessIsNotTakenFromNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{store: &store{started: time.Now(), ver: 1, at: [carawayspread.ResourceCount]uint64{1, 1}}}
		n := cl.join(1, "z", true, 1)
		n.take(carawayspread.ResourceRoutes, carawayspread.ResourceStatus{Version: 1, Digest: 1, StoreTime: time.Second})
		source := &racingSource{node: n}
		f := New(source, n.election, "z", 1, func() {}, carawayspread.SystemClock(), n.clock)
		source.newer = func() {
			n.take(carawayspread.ResourceRoutes, carawayspread.ResourceStatus{Version: 2, Digest: 2, StoreTime: time.Second})
			var p carawayspread.PeerStatus
			p.Resources[carawayspread.ResourceRoutes] = carawayspread.ResourceStatus{Version: 2, Digest: 2, StoreTime: time.Minute}
			f.ObservePeer(2, "peer", p)
		}
		had := f.heldStatus(carawayspread.ResourceRoutes)
		qt.Check(t, had.Version, qt.Equals, uint64(1))
		qt.Check(t, had.StoreTime, qt.Equals, time.Second)
		had = f.heldStatus(carawayspread.ResourceRoutes)
		qt.Check(t, had.Version, qt.Equals, uint64(2))
		qt.Check(t, had.StoreTime, qt.Equals, time.Minute)
	})
}
