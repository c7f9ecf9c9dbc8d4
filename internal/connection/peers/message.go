// Package peers carries what processes tell each other of their placements and of
// themselves, as small datagrams, and opens the address at which peers may also
// connect. Losing some costs accuracy and nothing else: each message states things
// as they are, and a heartbeat repeats them.
package peers

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"carawayspread"
)

const (
	magic = 0xc8
	// mostItems bounds each list of a message that is read.
	mostItems  = 1024
	mostChains = 64
	// mostFleet bounds how many processes a peer may say there are: more would
	// leave nobody a retry.
	mostFleet = 4096
	// mostStamp bounds readings of clocks, in milliseconds: some 250 years.
	mostStamp = 1 << 43
	// sizeLimit keeps a message inside one packet of any link.
	sizeLimit = 1200
)

// Crash is a request whose endpoint broke off while it ran.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
	Withdrawn   bool // the endpoint has shown since that it lives
}

// message is one datagram.
type message struct {
	sender  uint64 // drawn at the start of the process
	address netip.AddrPort
	notices []carawayspread.LoadUpdate
	crashes []Crash
	// feedback is the newest of some endpoints.
	feedback []Feedback
	known    []netip.AddrPort // other peers that the sender hears
	// presence is how the sender stands; nil in messages of placements alone.
	presence *carawayspread.PeerStatus
	usage    []carawayspread.UsageStatement // of the sender
	acks     []int64                        // closed windows of which the sender has all that the receiver counted
	// forward asks a process of another zone to pass the message on in its own.
	forward bool
}

var errMalformed = errors.New("malformed message of a peer")

func (m message) encode() []byte {
	b := []byte{magic, flag(m.forward)}
	b = binary.AppendUvarint(b, m.sender)
	b = appendAddress(b, m.address)
	b = binary.AppendUvarint(b, uint64(len(m.notices)))
	for _, n := range m.notices {
		b = binary.BigEndian.AppendUint32(b, n.EndpointHash)
		b = binary.AppendUvarint(b, uint64(n.Running))
		b = binary.AppendUvarint(b, uint64(n.Tokens))
		b = binary.AppendUvarint(b, uint64(n.PrefillTime/time.Microsecond))
		b = binary.AppendUvarint(b, uint64(n.PrefillTokens))
		b = binary.AppendUvarint(b, uint64(n.SuspendedFor/time.Millisecond))
		b = binary.AppendVarint(b, int64(n.PrefillDelay/time.Microsecond))
		b = binary.AppendUvarint(b, uint64(len(n.PrefixHashes)))
		for _, chain := range n.PrefixHashes {
			b = binary.BigEndian.AppendUint64(b, chain)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(m.crashes)))
	for _, c := range m.crashes {
		b = binary.BigEndian.AppendUint64(b, c.Fingerprint)
		b = appendText(b, c.Endpoint)
		b = append(b, flag(c.Withdrawn))
	}
	b = binary.AppendUvarint(b, uint64(len(m.feedback)))
	for _, f := range m.feedback {
		b = appendFeedback(b, f)
	}
	b = binary.AppendUvarint(b, uint64(len(m.known)))
	for _, address := range m.known {
		b = appendAddress(b, address)
	}
	b = append(b, flag(m.presence != nil))
	if m.presence != nil {
		b = appendPresence(b, m.presence)
	}
	b = binary.AppendUvarint(b, uint64(len(m.usage)))
	for _, s := range m.usage {
		b = appendUsage(b, s)
	}
	b = binary.AppendUvarint(b, uint64(len(m.acks)))
	for _, window := range m.acks {
		b = binary.AppendUvarint(b, uint64(window))
	}
	return b
}

// workspaceBytes is the length of a workspace's identifier.
const workspaceBytes = 5

func appendUsage(b []byte, s carawayspread.UsageStatement) []byte {
	b = binary.AppendUvarint(b, uint64(s.Window))
	b = append(b, flag(s.Closed))
	b = binary.AppendUvarint(b, s.Total)
	b = binary.AppendUvarint(b, uint64(len(s.Counts)))
	for _, c := range s.Counts {
		id := binary.BigEndian.AppendUint64(nil, uint64(c.Workspace))
		b = append(b, id[8-workspaceBytes:]...)
		b = binary.AppendUvarint(b, c.Requests)
	}
	return b
}

func appendPresence(b []byte, s *carawayspread.PeerStatus) []byte {
	b = appendText(b, s.Zone)
	b = binary.AppendUvarint(b, uint64(s.Capacity))
	b = append(b, flag(s.CanReadStore))
	b = binary.AppendUvarint(b, uint64(s.FleetSize))
	for _, c := range s.Resources {
		b = binary.AppendUvarint(b, c.Version)
		b = binary.BigEndian.AppendUint64(b, c.Digest)
		b = binary.AppendUvarint(b, uint64(c.Age/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(c.StoreTime/time.Millisecond))
	}
	b = binary.AppendUvarint(b, uint64(max(0, s.StoreEpoch/time.Millisecond)))
	return append(b, flag(s.MayHoldUsageLease))
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// appendAddress writes an IPv4 number and a port, zeros for any other.
func appendAddress(b []byte, address netip.AddrPort) []byte {
	var ip [4]byte
	if address.Addr().Is4() {
		ip = address.Addr().As4()
	}
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), address.Port())
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// reader takes values off a datagram; after the first fault all are zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) signed() int64 {
	n, size := binary.Varint(r.b)
	if size <= 0 || n > 1<<32 || n < -1<<32 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) bytes(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.bad, r.b = true, nil
		return make([]byte, max(0, min(n, 8)))
	}
	part := r.b[:n]
	r.b = r.b[n:]
	return part
}

func (r *reader) text() string { return string(r.bytes(r.count(sizeLimit))) }

func (r *reader) count(limit int) int {
	n := r.number()
	if n > uint64(limit) {
		r.bad, r.b = true, nil
		return 0
	}
	return int(n)
}

func (r *reader) flag() bool { return r.bytes(1)[0] == 1 }

func (r *reader) presence() *carawayspread.PeerStatus {
	s := &carawayspread.PeerStatus{Zone: r.text(), Capacity: uint32(r.count(1<<32 - 1)), CanReadStore: r.flag(), FleetSize: r.count(mostFleet)}
	for of := range s.Resources {
		s.Resources[of] = carawayspread.ResourceStatus{
			Version: r.number(), Digest: binary.BigEndian.Uint64(r.bytes(8)),
			Age: time.Duration(r.count(1<<32)) * time.Millisecond, StoreTime: time.Duration(r.count(mostStamp)) * time.Millisecond,
		}
	}
	s.StoreEpoch = time.Duration(r.count(mostStamp)) * time.Millisecond
	s.MayHoldUsageLease = r.flag()
	return s
}

func (r *reader) usage(sender uint64) carawayspread.UsageStatement {
	s := carawayspread.UsageStatement{Process: sender, Window: int64(r.count(mostStamp)), Closed: r.flag(), Total: r.number()}
	for range r.count(mostItems) {
		var id [8]byte
		copy(id[8-workspaceBytes:], r.bytes(workspaceBytes))
		s.Counts = append(s.Counts, carawayspread.UsageCount{
			Workspace: carawayspread.WorkspaceID(binary.BigEndian.Uint64(id[:])), Requests: r.number(),
		})
		if r.bad {
			break
		}
	}
	return s
}

func (r *reader) address() netip.AddrPort {
	ip, port := r.bytes(4), r.bytes(2)
	if r.bad {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
}

func decode(b []byte) (message, error) {
	r := &reader{b: b}
	var m message
	if first := r.bytes(1); r.bad || first[0] != magic {
		return m, errMalformed
	}
	m.forward = r.flag()
	m.sender = r.number()
	m.address = r.address()
	for range r.count(mostItems) {
		n := carawayspread.LoadUpdate{
			EndpointHash: binary.BigEndian.Uint32(r.bytes(4)),
			Running:      r.count(1 << 20), Tokens: r.count(1 << 40),
			PrefillTime:   time.Duration(r.count(1<<32)) * time.Microsecond,
			PrefillTokens: r.count(1 << 32), SuspendedFor: time.Duration(r.count(1<<20)) * time.Millisecond,
			PrefillDelay: time.Duration(r.signed()) * time.Microsecond,
		}
		for range r.count(mostChains) {
			n.PrefixHashes = append(n.PrefixHashes, binary.BigEndian.Uint64(r.bytes(8)))
		}
		if r.bad {
			return message{}, errMalformed
		}
		m.notices = append(m.notices, n)
	}
	for range r.count(mostItems) {
		m.crashes = append(m.crashes, Crash{Fingerprint: binary.BigEndian.Uint64(r.bytes(8)), Endpoint: r.text(), Withdrawn: r.flag()})
		if r.bad {
			return message{}, errMalformed
		}
	}
	for range r.count(mostItems) {
		m.feedback = append(m.feedback, r.feedback())
		if r.bad {
			return message{}, errMalformed
		}
	}
	for range r.count(mostItems) {
		m.known = append(m.known, r.address())
		if r.bad {
			return message{}, errMalformed
		}
	}
	if r.flag() {
		m.presence = r.presence()
	}
	for range r.count(mostItems) {
		m.usage = append(m.usage, r.usage(m.sender))
		if r.bad {
			return message{}, errMalformed
		}
	}
	for range r.count(mostItems) {
		m.acks = append(m.acks, int64(r.count(mostStamp)))
	}
	if r.bad || len(r.b) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
