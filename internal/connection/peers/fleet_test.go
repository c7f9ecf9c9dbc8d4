package peers

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"carawayspread"
)

// fleetHarness is a socket with a clock of its own, and the messages of others.
type fleetHarness struct {
	*Socket
	clock *clockwork.FakeClock
}

func newFleetHarness(t *testing.T, seeds ...string) fleetHarness {
	t.Helper()
	clock := clockwork.NewFakeClock()
	s, err := Listen("127.0.0.1:0", seeds, clock)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	return fleetHarness{s, clock}
}

// hear records a heartbeat of the process with that number, which counts so many processes.
func (h fleetHarness) hear(sender uint64, address byte, fleet int) {
	h.recordPeer(message{
		sender: sender, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, address}), 80),
		status: &carawayspread.PeerStatus{FleetSize: fleet},
	})
}

func (h fleetHarness) check(t *testing.T, wantSize int, wantKnown bool) {
	t.Helper()
	size, known := h.Fleet()
	qt.Check(t, size, qt.Equals, wantSize)
	qt.Check(t, known, qt.Equals, wantKnown)
}

// Guards against a process that starts and takes itself for the only one, or for one of few: it would take
// more than its share of what all may do.
func TestFleetIsNotKnownAtTheStart(t *testing.T) {
	h := newFleetHarness(t, "10.0.0.1:80")
	h.check(t, 1, false)
	h.clock.Advance(discoveryTime)
	h.check(t, 1, false) // cut off from its seeds
	h.hear(1, 1, 2)
	h.check(t, 2, false)
	h.clock.Advance(discoveryTime / 2)
	h.hear(2, 2, 9)
	h.check(t, 9, false)
	h.clock.Advance(discoveryTime / 2)
	h.check(t, 9, false)
	h.clock.Advance(discoveryTime / 2)
	h.check(t, 9, true)
	h.hear(3, 3, 20) // a process joins
	h.check(t, 20, true)

	alone := newFleetHarness(t, "10.0.0.1:80")
	alone.clock.Advance(aloneTime)
	alone.check(t, 1, true)

	only := newFleetHarness(t)
	only.check(t, 1, false)
	only.clock.Advance(discoveryTime)
	only.check(t, 1, true)
}

// Guards against processes that start at once and each take the whole rate that an endpoint names.
func TestMembersAreNotKnownAtTheStart(t *testing.T) {
	h := newFleetHarness(t, "10.0.0.1:80")
	h.hear(1, 1, 2)
	_, all := h.Membership()
	qt.Check(t, all, qt.HasLen, 0)
	h.clock.Advance(discoveryTime)
	_, all = h.Membership()
	qt.Check(t, all, qt.HasLen, 2)
}

// Guards against two parts of a fleet that are cut off from each other for a minute and both take the whole
// of what all may do.
func TestSilentProcessKeepsItsShare(t *testing.T) {
	h := newFleetHarness(t, "10.0.0.1:80")
	h.hear(1, 1, 3)
	h.hear(2, 2, 3)
	h.check(t, 3, false)
	h.clock.Advance(2 * memberTimeout)
	_ = h.PeerAddresses() // forgets silent peers
	h.check(t, 3, true)
	h.hear(3, 2, 3) // the second has started again
	h.check(t, 3, true)
	h.clock.Advance(shareTimeout)
	h.hear(3, 2, 0)
	h.check(t, 2, true)
}
