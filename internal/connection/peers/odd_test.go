package peers

import (
	"encoding/binary"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// decodeAll decodes a datagram as each of its kinds.
func decodeAll(b []byte) (accepted int) {
	count := func(err error) {
		if err == nil {
			accepted++
		}
	}
	for _, body := range append(unbundle(b), b) {
		_, err := decode(body)
		count(err)
	}
	_, err := decodeRefusals(b)
	count(err)
	_, err = decodeCrashes(b)
	count(err)
	_, err = decodeProofs(b)
	count(err)
	_, err = decodeParts(b)
	count(err)
	_, err = decodeOrigins(b)
	count(err)
	_, err = decodeOriginQuery(b)
	count(err)
	_, err = decodeOriginReply(b)
	count(err)
	_, _, err = decodeWitness(b)
	count(err)
	return accepted
}

// datagrams are sound ones of each kind.
func datagrams() [][]byte {
	self := netip.MustParseAddrPort("127.0.0.1:7")
	whole := message{
		sender: 1, address: self, updates: []carawayspread.LoadUpdate{{EndpointHash: 1, Running: 2, PrefixHashes: []uint64{3}}},
		crashes: []Crash{{Fingerprint: 1, Endpoint: "w"}}, knownPeers: []netip.AddrPort{self}, status: &carawayspread.PeerStatus{Zone: "z"},
		feedback: []EndpointFeedback{{Endpoint: "w"}}, usage: []carawayspread.UsageStatement{{Window: 1, Counts: []carawayspread.UsageCount{{Requests: 1}}}}, acks: []int64{1},
	}.encode()
	return [][]byte{
		whole, bundle([][]byte{whole, whole})[0], refusalMessage{sender: 1, refused: []uint64{1}}.encode(),
		crashMessage{sender: 1, reports: []carawayspread.CrashReport{{Endpoint: "w"}}}.encode(), proofMessage{sender: 1, crashes: []Crash{{Endpoint: "w"}}}.encode(),
		partMessage{sender: 1, crashes: []carawayspread.PartCrash{{Endpoint: "w"}}, answered: []uint64{1}}.encode(),
		originMessage{sender: 1, streams: []carawayspread.StreamOrigin{{Stream: 1, Build: 2}}}.encode(),
		originQuery{sender: 1, address: self, stream: 1, service: "s"}.encode(), originReply{sender: 1, number: 1}.encode(),
		encodeWitness(self, carawayspread.WitnessMessage{Round: 1, Kept: []int64{1}}),
	}
}

// A datagram of another writer that is cut off, longer, or has the largest number in any place ends no process.
func TestOddDatagramsAreDropped(t *testing.T) {
	largest := binary.AppendUvarint(nil, 1<<64-1)
	for _, sound := range datagrams() {
		qt.Check(t, decodeAll(sound) > 0, qt.IsTrue)
		for i := 1; i < len(sound); i++ {
			decodeAll(sound[:i])
			for _, put := range [][]byte{largest, {0x80}, {0xff, 0xff, 0xff, 0xff, 0x0f}, {0}} {
				decodeAll(append(append(append([]byte{}, sound[:i]...), put...), sound[i+1:]...))
			}
		}
	}
}

func FuzzDatagram(f *testing.F) {
	for _, sound := range datagrams() {
		f.Add(sound)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if len(b) > 0 { // Receive drops the empty ones
			decodeAll(b)
		}
	})
}
