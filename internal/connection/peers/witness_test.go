package peers

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// A process that crashes or keeps much memory for a datagram that is cut, extended or made up.
func TestWitnessMessages(t *testing.T) {
	from := netip.MustParseAddrPort("10.0.0.7:8483")
	m := carawayspread.WitnessMessage{
		Kind: carawayspread.WitnessClosed, Round: 1 << 62, Version: carawayspread.LeaseVersion{Generation: 2, Rev: 300},
		Age: 90 * time.Second, Kept: []int64{356106869, 356106870},
		Usage: carawayspread.DecidedUsage{
			Version: carawayspread.LeaseVersion{Generation: 1, Rev: 299}, Window: 356106869,
			Counts: []carawayspread.UsageCount{{Workspace: carawayspread.IDOfWorkspace("a"), Requests: 412}},
		},
	}
	b := encodeWitness(from, m)
	address, got, err := decodeWitness(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, address, qt.Equals, from)
	qt.Check(t, got, qt.DeepEquals, m)
	for n := 1; n < len(b); n++ {
		_, _, err := decodeWitness(b[:n])
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d of %d bytes", n, len(b)))
	}
	_, _, err = decodeWitness(append(b, 0))
	qt.Check(t, err, qt.IsNotNil)
	_, err = decode(b)
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("an older process takes it for a message of its own"))
}

// witnessReceiver keeps what it receives.
type witnessReceiver chan carawayspread.WitnessMessage

func (r witnessReceiver) Receive(_ string, m carawayspread.WitnessMessage) { r <- m }

// A question is lost between the holder and its witnesses, or one that is too large for a datagram blocks
// the others.
func TestWitnessMessageReachesItsPeer(t *testing.T) {
	sender, err := Listen("127.0.0.1:0", nil, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	defer sender.Close()
	peer, err := Listen("127.0.0.1:0", nil, carawayspread.SystemClock())
	qt.Assert(t, err, qt.IsNil)
	defer peer.Close()
	received := make(witnessReceiver, 1)
	peer.SetWitnessReceiver(received)
	go func() { _ = peer.Receive(&receiver{}) }()
	large := carawayspread.WitnessMessage{Usage: carawayspread.DecidedUsage{Counts: make([]carawayspread.UsageCount, 4000)}}
	sender.SendWitness(peer.Address(), large)
	m := carawayspread.WitnessMessage{Kind: carawayspread.WitnessPromise, Round: 3}
	sender.SendWitness(peer.Address(), m)
	select {
	case got := <-received:
		qt.Check(t, got, qt.DeepEquals, m)
	case <-time.After(5 * time.Second):
		t.Error("nothing arrived")
	}
}
