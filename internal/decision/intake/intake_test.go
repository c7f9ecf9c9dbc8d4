package intake

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

const (
	limit = 64 << 20
	large = 4 << 20
	small = 64 << 10
)

// caller is a caller whose process closes its connection once its request was given up.
type caller struct {
	carawayspread.CallerAccount
	givenUp atomic.Bool
	closed  chan struct{}
}

func open(t *testing.T, l *Listener) *caller {
	t.Helper()
	c := &caller{closed: make(chan struct{})}
	account, ok := l.Open(func() {
		c.givenUp.Store(true)
		go func() {
			c.Close()
			close(c.closed)
		}()
	})
	qt.Assert(t, ok, qt.IsTrue)
	c.CallerAccount = account
	return c
}

// Two hundred callers send bodies of the largest size and stop one byte short. Ordinary requests are taken all the
// while, and the memory is never exceeded: those that stand still for longest are given up.
func TestStalledRequestsPayForMemory(t *testing.T) {
	clock := clockwork.NewFakeClock()
	in := New(limit, clock)
	l := in.Listener(1000)
	var crowd []*caller
	for range 200 {
		c := open(t, l)
		qt.Check(t, c.Take(large), qt.IsNil, qt.Commentf("a request that has just begun"))
		crowd = append(crowd, c)
		clock.Advance(10 * time.Millisecond)
		ordinary := open(t, l)
		qt.Check(t, ordinary.Take(small), qt.IsNil)
		qt.Check(t, ordinary.Received(), qt.IsNil)
		qt.Check(t, in.Used() <= limit, qt.IsTrue)
		ordinary.Close()
	}
	qt.Check(t, crowd[0].givenUp.Load(), qt.IsTrue)
	qt.Check(t, crowd[199].givenUp.Load(), qt.IsFalse)
	qt.Check(t, in.Counts().ForMemory, qt.Equals, int64(200-12))
}

// Guards against requests that run and are given up, or large ones that run and leave no room for small ones.
func TestCompleteRequestsKeepTheirMemory(t *testing.T) {
	in := New(limit, clockwork.NewFakeClock())
	l := in.Listener(1000)
	var running []*caller
	for {
		c := open(t, l)
		if c.Take(large) != nil {
			qt.Check(t, c.Received(), qt.Equals, carawayspread.ErrGivenUp)
			break
		}
		qt.Check(t, c.Received(), qt.IsNil)
		running = append(running, c)
	}
	qt.Check(t, running, qt.HasLen, 12, qt.Commentf("three quarters of the memory"))
	for range (limit - len(running)*large) / small {
		c := open(t, l)
		qt.Check(t, c.Take(small), qt.IsNil)
		qt.Check(t, c.Received(), qt.IsNil)
	}
	qt.Check(t, open(t, l).Take(small), qt.Equals, carawayspread.ErrGivenUp)
	for _, c := range running {
		qt.Check(t, c.givenUp.Load(), qt.IsFalse)
	}
	running[0].Answered()
	qt.Check(t, open(t, l).Take(large), qt.IsNil)
}

// A request of the largest size that arrives slowly is served while nothing else needs the memory.
func TestSlowRequestIsTakenInCalm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := open(t, New(limit, clock).Listener(10))
	for range large / small {
		qt.Check(t, c.Take(small), qt.IsNil)
		c.Arrived(small)
		clock.Advance(time.Second)
	}
	qt.Check(t, c.Received(), qt.IsNil)
}

// Each connection is taken by a caller that sends nothing, stops within a header, sends a byte a second or is idle. New
// callers find a connection, at the cost of those that stand still and then of idle ones, never of requests that run.
func TestConnectionsOfStalledCallersAreClosedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(limit, clock).Listener(4)
	idle, running, stalled, slow := open(t, l), open(t, l), open(t, l), open(t, l)
	qt.Check(t, idle.Received(), qt.IsNil)
	idle.Answered()
	qt.Check(t, running.Received(), qt.IsNil)
	for range 5 {
		clock.Advance(time.Second / 2)
		slow.Arrived(progressBytes)
	}
	for _, victim := range []*caller{stalled, idle, slow} {
		fresh := open(t, l)
		qt.Check(t, victim.givenUp.Load(), qt.IsTrue)
		qt.Check(t, victim.Received(), qt.Equals, carawayspread.ErrGivenUp)
		<-victim.closed
		qt.Check(t, fresh.Received(), qt.IsNil)
	}
	qt.Check(t, running.givenUp.Load(), qt.IsFalse)
	_, ok := l.Open(func() {})
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("all requests run"))
}

// Connections that keep memory after their requests, or take it from requests, leave no room for new requests.
func TestMemoryOfConnectionsGivesWay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	in := New(limit, clock)
	l := in.Listener(1000)
	var kept []*caller
	for {
		c := open(t, l)
		if !c.TakeForConnection(large) {
			break
		}
		qt.Check(t, c.Received(), qt.IsNil)
		c.Answered()
		kept = append(kept, c)
	}
	qt.Check(t, kept, qt.HasLen, limit/2/large)
	qt.Check(t, in.Used(), qt.Equals, int64(limit/2))
	clock.Advance(time.Second)
	for range 10 {
		c := open(t, l)
		qt.Check(t, c.Take(large), qt.IsNil)
		qt.Check(t, c.Received(), qt.IsNil)
	}
	qt.Check(t, kept[0].givenUp.Load() || kept[1].givenUp.Load(), qt.IsTrue)
}

// Callers of one listener must not take the connections of another, such as that of health checks.
func TestListenersHaveTheirOwnConnections(t *testing.T) {
	in := New(limit, clockwork.NewFakeClock())
	crowded, health := in.Listener(1), in.Listener(1)
	open(t, crowded)
	_, ok := crowded.Open(func() {})
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("its caller has just connected"))
	open(t, health)
}

// A request that waits for the memory of others is itself given up, or the others never answer: neither may wait
// forever.
func TestWaitingRequestIsGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	in := New(limit, clock)
	l := in.Listener(10)
	stuck, ok := l.Open(func() {}) // its handler does not return yet
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, stuck.Take(limit/2), qt.IsNil)
	clock.Advance(time.Second)
	waiting := &caller{}
	waiting.CallerAccount, ok = l.Open(func() { waiting.givenUp.Store(true) })
	qt.Assert(t, ok, qt.IsTrue)
	result := make(chan error)
	go func() { result <- waiting.Take(limit / 2) }()
	for in.Counts().ForMemory == 0 {
		time.Sleep(time.Millisecond)
	}
	stuck.Close()
	qt.Check(t, <-result, qt.IsNil)
}

// Hundreds of callers send requests of all sizes at once, break them off, stop for a while or leave, so that each waits
// for memory of others that wait themselves. All of them come to an end, the limits hold at every moment, and nothing
// is left accounted for.
func TestManyCallersAtOnce(t *testing.T) {
	const callers, requests, maxOpen, bytes = 128, 50, 32, 1 << 20
	in := New(bytes, carawayspread.SystemClock())
	l := in.Listener(maxOpen)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			for range requests {
				interrupted := make(chan struct{})
				c, ok := l.Open(func() { close(interrupted) })
				if !ok {
					continue
				}
				request(c, rng, interrupted)
				c.Close()
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	for {
		select {
		case <-ended:
			qt.Check(t, in.Used(), qt.Equals, int64(0))
			qt.Check(t, in.waiting, qt.Equals, 0)
			qt.Check(t, l.closing, qt.Equals, 0)
			qt.Check(t, l.conns, qt.HasLen, 0)
			qt.Check(t, in.Counts().ForMemory > 0, qt.IsTrue)
			return
		case <-time.After(time.Millisecond):
			in.mu.Lock()
			used, usedLarge, open := in.used, in.usedLarge, len(l.conns)
			in.mu.Unlock()
			qt.Assert(t, used >= 0 && used <= bytes && usedLarge <= used, qt.IsTrue, qt.Commentf("%d, %d of large ones", used, usedLarge))
			qt.Assert(t, open <= maxOpen+maxOpen/4, qt.IsTrue, qt.Commentf("%d connections", open))
		}
	}
}

// request plays one request, which may stop before its end until it is interrupted.
func request(c carawayspread.CallerAccount, rng *rand.Rand, interrupted <-chan struct{}) {
	for range rng.IntN(8) {
		n := int64(rng.IntN(128 << 10))
		if c.Take(n) != nil {
			return
		}
		c.Arrived(int(n))
		c.Return(n / 4)
	}
	switch rng.IntN(4) {
	case 0:
		return
	case 1:
		select {
		case <-interrupted:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	if c.Received() == nil {
		time.Sleep(time.Duration(rng.IntN(int(time.Millisecond))))
		c.Answered()
		c.TakeForConnection(16 << 10)
	}
}

// The shares together, with what the kernel has received, must fit into the memory, whatever its size.
func TestSharesFitIntoTheMemory(t *testing.T) {
	for _, megabytes := range []int64{64, 144, 160, 184, 216, 284, 424, 536, 1 << 14} {
		for _, descriptors := range []int64{0, 256, 3075, 4100, 10250} {
			memory := megabytes << 20
			s := Divide(memory, descriptors)
			held := int64(s.Connections)*connectionBytes + s.RequestBytes
			qt.Check(t, float64(held) <= 0.41*float64(memory), qt.IsTrue, qt.Commentf("%d MB, %d descriptors", megabytes, descriptors))
			received := float64(s.Connections) * float64(s.ReceiveBuffer) * kernelFactor
			qt.Check(t, received <= (1-MemoryLimitShare)*float64(memory), qt.IsTrue, qt.Commentf("%d MB, %d descriptors", megabytes, descriptors))
			qt.Check(t, descriptors == 0 || int64(s.Connections)*2 <= descriptors, qt.IsTrue)
		}
	}
}
