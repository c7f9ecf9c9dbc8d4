package peers

import (
	"encoding/binary"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	// witnessMagic starts a kind of datagram that processes of older releases drop.
	witnessMagic = 0xd5
	// maxKept bounds the windows that a witness names.
	maxKept = 64
	// maxWitnessSize, in bytes, bounds a message with the counts of a window: those of some thousand
	// workspaces, in several packets.
	maxWitnessSize = 16 << 10
)

// WitnessReceiver handles messages between the holder of a lease, candidates and witnesses.
type WitnessReceiver interface {
	// Receive handles a message of the process at that address.
	Receive(from string, m carawayspread.WitnessMessage)
}

// SetWitnessReceiver sets the receiver of such messages. It must be called before Receive.
func (s *Socket) SetWitnessReceiver(r WitnessReceiver) { s.witnesses = r }

// SendWitness sends a message to the process at that address. It sends nothing that is too large.
func (s *Socket) SendWitness(to string, m carawayspread.WitnessMessage) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return
	}
	if body := encodeWitness(s.self, m); len(body) <= maxWitnessSize {
		s.sendBody(body, []netip.AddrPort{address})
	}
}

// receiveWitness handles a datagram of that kind. A malformed one is dropped.
func (s *Socket) receiveWitness(body []byte) {
	from, m, err := decodeWitness(body)
	if err == nil && s.witnesses != nil && from != s.self {
		s.witnesses.Receive(from.String(), m)
	}
}

func encodeWitness(from netip.AddrPort, m carawayspread.WitnessMessage) []byte {
	b := appendAddress([]byte{witnessMagic, byte(m.Kind)}, from)
	b = binary.AppendUvarint(b, m.Round)
	b = appendVersion(b, m.Version)
	b = binary.AppendUvarint(b, uint64(max(0, m.Age)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(len(m.Kept)))
	for _, window := range m.Kept {
		b = binary.AppendUvarint(b, uint64(window))
	}
	b = appendVersion(b, m.Usage.Version)
	return appendUsage(b, carawayspread.UsageStatement{Window: m.Usage.Window, Counts: m.Usage.Counts})
}

func appendVersion(b []byte, v carawayspread.LeaseVersion) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(b, v.Generation), v.Rev)
}

func (r *reader) version() carawayspread.LeaseVersion {
	return carawayspread.LeaseVersion{Generation: r.uvarint(), Rev: r.uvarint()}
}

func decodeWitness(b []byte) (from netip.AddrPort, m carawayspread.WitnessMessage, err error) {
	r := &reader{b: b[1:]}
	m.Kind = carawayspread.WitnessKind(r.bytes(1)[0])
	from = r.address()
	m.Round = r.uvarint()
	m.Version = r.version()
	m.Age = time.Duration(r.count(maxTimestamp)) * time.Millisecond
	for range r.count(maxKept) {
		m.Kept = append(m.Kept, int64(r.count(maxTimestamp)))
	}
	m.Usage.Version = r.version()
	usage := r.usage(0)
	m.Usage.Window, m.Usage.Counts = usage.Window, usage.Counts
	return from, m, r.end()
}
