package peers

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

func someMessage() message {
	return message{
		sender: 7, address: netip.MustParseAddrPort("10.0.0.1:99"),
		notices: []carawayspread.LoadUpdate{{EndpointHash: 1, Running: 2, Tokens: 3, PrefillTime: 4 * time.Millisecond, PrefillTokens: 5, PrefixHashes: []uint64{6, 7}, SuspendedFor: 12 * time.Second, PrefillDelay: -3 * time.Millisecond}, {EndpointHash: 8}},
		crashes: []Crash{{Fingerprint: 9, Endpoint: "w"}, {Fingerprint: 8, Endpoint: "v", Withdrawn: true}},
		feedback: []Feedback{
			{Endpoint: "i-1", Says: carawayspread.Feedback{Limited: true, Rate: 2.25}},
			{Endpoint: "i-2"},
			{Endpoint: "i-3", Says: carawayspread.Feedback{Draining: true}},
		},
		known: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:99")},
		presence: &carawayspread.PeerStatus{Zone: "z", Capacity: 1 << 31, CanReadStore: true, FleetSize: 68, Resources: [carawayspread.ResourceCount]carawayspread.ResourceStatus{
			{Version: 3, Digest: 3, Age: 4 * time.Second, StoreTime: time.Hour}, {Version: 1 << 40, Digest: 1 << 63, Age: time.Millisecond},
		}, StoreEpoch: 400000 * time.Hour, MayHoldUsageLease: true},
		usage: []carawayspread.UsageStatement{
			{Process: 7, Window: 353445120, Closed: true, Total: 412, Counts: []carawayspread.UsageCount{{Workspace: 1<<40 - 1, Requests: 400}, {Workspace: 3, Requests: 12}}},
			{Process: 7, Window: 353445121},
		},
		acks: []int64{353445119, 1},
	}
}

// text shows all of a message.
func text(m message) string {
	presence := m.presence
	m.presence = nil
	return fmt.Sprintf("%+v %+v", m, presence)
}

func TestMessageComesBackAsItWas(t *testing.T) {
	got, err := decode(someMessage().encode())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, text(got), qt.Equals, text(someMessage()))
}

// A datagram of anybody is read whole or not at all, and costs no more memory
// than its own size allows.
func FuzzDecode(f *testing.F) {
	whole := someMessage().encode()
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{magic, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		again, err := decode(m.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, text(again), qt.Equals, text(m))
	})
}

type receiver struct {
	mu    sync.Mutex
	heard map[string][]carawayspread.LoadUpdate
	// present is how peers stand, by address.
	present map[string]carawayspread.PeerStatus
	// statements and acks are what peers counted and acknowledged.
	statements []carawayspread.UsageStatement
	feedback   []Feedback
	acks       []int64
}

func (r *receiver) Heard(from string, notices []carawayspread.LoadUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = map[string][]carawayspread.LoadUpdate{}
	}
	r.heard[from] = append(r.heard[from], notices...)
}

func (r *receiver) Presents(_ uint64, address string, p carawayspread.PeerStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present == nil {
		r.present = map[string]carawayspread.PeerStatus{}
	}
	r.present[address] = p
}

func (r *receiver) Crashed(Crash) {}

func (r *receiver) FeedbackHeard(f Feedback) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedback = append(r.feedback, f)
}

func (r *receiver) UsageReceived(s carawayspread.UsageStatement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, s)
	return true
}

func (r *receiver) Acknowledged(_ uint64, window int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, window)
}

func (r *receiver) knows(endpoint uint32, running int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, notices := range r.heard {
		for _, n := range notices {
			if n.EndpointHash == endpoint && n.Running == running {
				return true
			}
		}
	}
	return false
}

func start(t *testing.T, seeds ...string) (*Socket, *receiver) {
	return startAs(t, carawayspread.PeerStatus{}, seeds...)
}

func startAs(t *testing.T, presence carawayspread.PeerStatus, seeds ...string) (*Socket, *receiver) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", seeds, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	s.Present(func() carawayspread.PeerStatus { return presence })
	r := &receiver{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	running.Go(func() { _ = s.Receive(r) })
	t.Cleanup(func() {
		cancel()
		s.Close()
		running.Wait()
	})
	return s, r
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not within 10 s"))
	}
}

// Processes that know one of them know all, and each hears what the others
// have at an endpoint, also what was told before it came.
func TestPeersFindEachOther(t *testing.T) {
	first, atFirst := start(t)
	second, _ := start(t, first.Address())
	first.Tell(carawayspread.LoadUpdate{EndpointHash: 5, Running: 3})
	third, atThird := start(t, first.Address())
	for _, s := range []*Socket{first, second, third} {
		until(t, func() bool { return s.Share() == 3 })
	}
	until(t, func() bool { return atThird.knows(5, 3) })
	second.Tell(carawayspread.LoadUpdate{EndpointHash: 6, Running: 1})
	until(t, func() bool { return atFirst.knows(6, 1) && atThird.knows(6, 1) })
}

// A process is heard at once in its zone when it says how it stands, and elsewhere
// with its heartbeat.
func TestPresenceIsHeard(t *testing.T) {
	first, atFirst := start(t)
	presence := carawayspread.PeerStatus{Capacity: 7, CanReadStore: true}
	second, _ := startAs(t, presence, first.Address())
	until(t, func() bool { return first.Share() == 2 && second.Share() == 2 })
	second.Announce()
	until(t, func() bool {
		atFirst.mu.Lock()
		defer atFirst.mu.Unlock()
		got := atFirst.present[second.Address()]
		fleet := got.FleetSize
		got.FleetSize = 0
		return got == presence && fleet == 2
	})
}

// A placement is heard in every zone though each process sends to few: one of each
// other zone passes it on. Where one of those that pass on is dead and not known to
// be, every second message still arrives.
func TestPlacementsArePassedOn(t *testing.T) {
	var sockets []*Socket
	var heard []*receiver
	var seeds []string
	for n := range 8 {
		s, r := startAs(t, carawayspread.PeerStatus{Zone: fmt.Sprint("z", n/4), Capacity: uint32(n)}, seeds...)
		sockets, heard = append(sockets, s), append(heard, r)
		seeds = []string{sockets[0].Address()}
	}
	for _, s := range sockets {
		until(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			zones := map[string]int{}
			for _, p := range s.peers {
				zones[p.presence.Zone]++
			}
			return len(s.peers) == 7 && zones["z0"]+zones["z1"] == 7
		})
	}
	sockets[0].mu.Lock()
	to, forward := sockets[0].splitLocked("z0", 0)
	sockets[0].mu.Unlock()
	qt.Check(t, to, qt.HasLen, 3)
	qt.Check(t, forward, qt.HasLen, 1)

	// Heartbeats repeat what runs, not what a placement brings.
	sockets[0].Tell(carawayspread.LoadUpdate{EndpointHash: 9, Running: 4, PrefillTime: time.Second})
	for _, r := range heard[1:] {
		until(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, notices := range r.heard {
				if slices.ContainsFunc(notices, func(n carawayspread.LoadUpdate) bool { return n.EndpointHash == 9 && n.PrefillTime == time.Second }) {
					return true
				}
			}
			return false
		})
	}
}

// A packet of several messages comes apart as it was put together, and a torn one
// costs no more than its rest.
func TestBundle(t *testing.T) {
	var bodies [][]byte
	for n := range 40 {
		m := someMessage()
		m.sender = uint64(n)
		bodies = append(bodies, m.encode())
	}
	var got [][]byte
	for _, packet := range bundle(bodies) {
		qt.Check(t, len(packet) <= sizeLimit, qt.IsTrue)
		got = append(got, unbundle(packet)...)
		qt.Check(t, len(unbundle(packet[:len(packet)-1])) < len(unbundle(packet)), qt.IsTrue)
	}
	qt.Check(t, got, qt.DeepEquals, bodies)
	qt.Check(t, bundle(nil), qt.HasLen, 0)
	qt.Check(t, unbundle([]byte{bundleMagic, 0xff, 0xff}), qt.HasLen, 0)
}

// A message that is too long for a packet is sent in parts.
func TestLongMessageIsParted(t *testing.T) {
	first, atFirst := start(t)
	second, _ := start(t, first.Address())
	until(t, func() bool { return second.Share() == 2 })
	const many = 500
	for n := range many {
		second.Tell(carawayspread.LoadUpdate{EndpointHash: uint32(n), Running: 1, PrefixHashes: []uint64{1, 2, 3}})
	}
	until(t, func() bool { return atFirst.knows(0, 1) && atFirst.knows(many-1, 1) })
}

// Guards against heartbeats between zones that grow with the square of the fleet: each
// crosses once to every other zone, and whoever fell silent is still sent to directly.
func TestHeartbeatsCrossZonesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s, err := Listen("127.0.0.1:0", nil, clock)
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	for i := range 60 {
		s.note(message{
			sender: uint64(i + 1), address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			presence: &carawayspread.PeerStatus{Zone: []string{"a", "b", "c"}[i%3]},
		})
	}
	crossed := map[netip.AddrPort]bool{}
	for range 4 {
		to, forward := s.beatLocked("a")
		qt.Check(t, to, qt.HasLen, 20)
		qt.Check(t, forward, qt.HasLen, 2)
		for _, address := range forward {
			crossed[address] = true
		}
	}
	qt.Check(t, crossed, qt.HasLen, 2*forwarders)
	clock.Advance(forwardLife)
	to, forward := s.beatLocked("a")
	qt.Check(t, to, qt.HasLen, 60)
	qt.Check(t, forward, qt.HasLen, 0)
}
