// Package peers exchanges load updates, status and other messages between processes as small
// datagrams, and opens the address at which peers may also connect over TCP. A lost datagram costs
// accuracy and nothing else: messages carry absolute values, and heartbeats repeat them.
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
	// maxItems bounds each list of a decoded message.
	maxItems        = 1024
	maxPrefixHashes = 64
	// maxFleetSize bounds the number of processes that a peer may report. A larger number would
	// leave no process any retry.
	maxFleetSize = 4096
	// maxTimestamp bounds clock readings, in milliseconds: about 250 years.
	maxTimestamp = 1 << 43
	// maxMessageSize, in bytes, keeps a message within one packet on any link.
	maxMessageSize = 1200
)

// Crash is a request during which an endpoint broke off the answer.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
	Withdrawn   bool // the endpoint has answered since, so it did not crash
}

// message is one datagram.
type message struct {
	sender  uint64 // random, chosen when the process starts
	address netip.AddrPort
	updates []carawayspread.LoadUpdate
	crashes []Crash
	// feedback is the newest feedback of some endpoints.
	feedback   []EndpointFeedback
	knownPeers []netip.AddrPort // a sample of the peers that the sender receives messages from
	// status is the sender's status; nil in messages that only carry load updates or the like.
	status *carawayspread.PeerStatus
	usage  []carawayspread.UsageStatement // of the sender
	acks   []int64                        // closed windows for which the sender has all counts of the recipient
	// forward requests that a process of another zone forwards the message in its own zone.
	forward bool
}

var errMalformed = errors.New("malformed message from a peer")

func (m message) encode() []byte {
	b := []byte{magic, flag(m.forward)}
	b = binary.AppendUvarint(b, m.sender)
	b = appendAddress(b, m.address)
	b = binary.AppendUvarint(b, uint64(len(m.updates)))
	for _, u := range m.updates {
		b = binary.BigEndian.AppendUint32(b, u.EndpointHash)
		b = binary.AppendUvarint(b, uint64(u.Running))
		b = binary.AppendUvarint(b, uint64(u.Tokens))
		b = binary.AppendUvarint(b, uint64(u.PrefillTime/time.Microsecond))
		b = binary.AppendUvarint(b, uint64(u.PrefillTokens))
		b = binary.AppendUvarint(b, uint64(u.SuspendedFor/time.Millisecond))
		b = binary.AppendVarint(b, int64(u.PrefillDelay/time.Microsecond))
		b = binary.AppendUvarint(b, uint64(len(u.PrefixHashes)))
		for _, hash := range u.PrefixHashes {
			b = binary.BigEndian.AppendUint64(b, hash)
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
	b = binary.AppendUvarint(b, uint64(len(m.knownPeers)))
	for _, address := range m.knownPeers {
		b = appendAddress(b, address)
	}
	b = append(b, flag(m.status != nil))
	if m.status != nil {
		b = appendStatus(b, m.status)
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

// workspaceBytes is the encoded size of a WorkspaceID.
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

func appendStatus(b []byte, s *carawayspread.PeerStatus) []byte {
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

// appendAddress appends an IPv4 address and a port. Any other address is encoded as zeros.
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

// reader decodes values from a datagram. After the first error, all values are zero.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.failed, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

// varint decodes a signed number of at most 1<<32 in magnitude.
func (r *reader) varint() int64 {
	n, size := binary.Varint(r.b)
	if size <= 0 || n > 1<<32 || n < -1<<32 {
		r.failed, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) bytes(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.failed, r.b = true, nil
		return make([]byte, max(0, min(n, 8)))
	}
	head := r.b[:n]
	r.b = r.b[n:]
	return head
}

func (r *reader) text() string { return string(r.bytes(r.count(maxMessageSize))) }

// count decodes a number of at most limit.
func (r *reader) count(limit int) int {
	n := r.uvarint()
	if n > uint64(limit) {
		r.failed, r.b = true, nil
		return 0
	}
	return int(n)
}

func (r *reader) flag() bool { return r.bytes(1)[0] == 1 }

func (r *reader) status() *carawayspread.PeerStatus {
	s := &carawayspread.PeerStatus{Zone: r.text(), Capacity: uint32(r.count(1<<32 - 1)), CanReadStore: r.flag(), FleetSize: r.count(maxFleetSize)}
	for resource := range s.Resources {
		s.Resources[resource] = carawayspread.ResourceStatus{
			Version: r.uvarint(), Digest: binary.BigEndian.Uint64(r.bytes(8)),
			Age: time.Duration(r.count(1<<32)) * time.Millisecond, StoreTime: time.Duration(r.count(maxTimestamp)) * time.Millisecond,
		}
	}
	s.StoreEpoch = time.Duration(r.count(maxTimestamp)) * time.Millisecond
	s.MayHoldUsageLease = r.flag()
	return s
}

func (r *reader) usage(sender uint64) carawayspread.UsageStatement {
	s := carawayspread.UsageStatement{Process: sender, Window: int64(r.count(maxTimestamp)), Closed: r.flag(), Total: r.uvarint()}
	for range r.count(maxItems) {
		var id [8]byte
		copy(id[8-workspaceBytes:], r.bytes(workspaceBytes))
		s.Counts = append(s.Counts, carawayspread.UsageCount{
			Workspace: carawayspread.WorkspaceID(binary.BigEndian.Uint64(id[:])), Requests: r.uvarint(),
		})
		if r.failed {
			break
		}
	}
	return s
}

func (r *reader) address() netip.AddrPort {
	ip, port := r.bytes(4), r.bytes(2)
	if r.failed {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
}

func decode(b []byte) (message, error) {
	r := &reader{b: b}
	var m message
	if first := r.bytes(1); r.failed || first[0] != magic {
		return m, errMalformed
	}
	m.forward = r.flag()
	m.sender = r.uvarint()
	m.address = r.address()
	for range r.count(maxItems) {
		u := carawayspread.LoadUpdate{
			EndpointHash: binary.BigEndian.Uint32(r.bytes(4)),
			Running:      r.count(1 << 20), Tokens: r.count(1 << 40),
			PrefillTime:   time.Duration(r.count(1<<32)) * time.Microsecond,
			PrefillTokens: r.count(1 << 32), SuspendedFor: time.Duration(r.count(1<<20)) * time.Millisecond,
			PrefillDelay: time.Duration(r.varint()) * time.Microsecond,
		}
		for range r.count(maxPrefixHashes) {
			u.PrefixHashes = append(u.PrefixHashes, binary.BigEndian.Uint64(r.bytes(8)))
		}
		if r.failed {
			return message{}, errMalformed
		}
		m.updates = append(m.updates, u)
	}
	for range r.count(maxItems) {
		m.crashes = append(m.crashes, Crash{Fingerprint: binary.BigEndian.Uint64(r.bytes(8)), Endpoint: r.text(), Withdrawn: r.flag()})
		if r.failed {
			return message{}, errMalformed
		}
	}
	for range r.count(maxItems) {
		m.feedback = append(m.feedback, r.feedback())
		if r.failed {
			return message{}, errMalformed
		}
	}
	for range r.count(maxItems) {
		m.knownPeers = append(m.knownPeers, r.address())
		if r.failed {
			return message{}, errMalformed
		}
	}
	if r.flag() {
		m.status = r.status()
	}
	for range r.count(maxItems) {
		m.usage = append(m.usage, r.usage(m.sender))
		if r.failed {
			return message{}, errMalformed
		}
	}
	for range r.count(maxItems) {
		m.acks = append(m.acks, int64(r.count(maxTimestamp)))
	}
	if r.failed || len(r.b) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
