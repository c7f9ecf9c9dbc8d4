// Package report carries load reports from sidecars to entries, one UDP datagram each.
//
// Every entry receives a report on every endpoint every few seconds. A report is a hint: a lost one
// is replaced by the next, and one that arrives late or out of order is dropped. Endpoints are
// identified by a hash of four bytes, and what seldom changes is in few of the reports, as 325
// sidecars share the 4 KB/s that an entry may receive.
package report

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"carawayspread"
	"carawayspread/internal/connection/control"
)

const (
	maxDatagramBytes = 1400 // fits into one packet
	// inboundBudget is the part of an entry's 4 KB/s that reports may use, in bytes per second. Polls
	// of the configuration and of the instance list use the rest.
	inboundBudget = 2500
	minInterval   = time.Second
)

// Hash returns the hash that identifies an endpoint in reports.
func Hash(id carawayspread.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Interval returns the time between two reports of a sidecar with which all sidecars together stay
// within an entry's budget, where each report takes the given number of bytes on the network.
func Interval(sidecars, bytes int) time.Duration {
	interval := time.Duration(sidecars) * time.Duration(bytes) * time.Second / inboundBudget
	return max(minInterval, interval)
}

// Socket sends and receives reports. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens the socket at an IP address and port.
func Listen(address string) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("%q is not an IP address and port", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Socket{conn: conn}, nil
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends the report to each address. A report that cannot be sent is
// dropped; the next one replaces it.
func (s *Socket) Send(report *control.LoadReport, to []netip.AddrPort) error {
	datagram, err := proto.Marshal(report)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(datagram) > maxDatagramBytes {
		return trace.BadParameter("the report has %d bytes, more than fit into a packet", len(datagram))
	}
	for _, addr := range to {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, addr)
	}
	return nil
}

// Receive calls handle with every report that arrives in order, until the socket is closed or ctx
// ends.
func (s *Socket) Receive(ctx context.Context, handle func(*control.LoadReport)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	newest := map[string]uint64{}
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return trace.Wrap(err)
		}
		if report, ok := Decode(buffer[:n]); ok && inOrder(newest, report) {
			handle(report)
		}
	}
}

// maxTrackedInstances bounds the sequence numbers that are kept.
const maxTrackedInstances = 10_000

// inOrder reports whether no newer report of the instance arrived before this one.
//
// Datagrams may be reordered. Without this check an endpoint would look drained or free again after
// it reported otherwise. Sequence numbers start at the time of the sidecar's start, so that the
// reports of a restarted sidecar are accepted.
func inOrder(newest map[string]uint64, report *control.LoadReport) bool {
	if report.GetSequence() <= newest[report.GetInstance()] {
		return false
	}
	if len(newest) >= maxTrackedInstances {
		clear(newest)
	}
	newest[report.GetInstance()] = report.GetSequence()
	return true
}

// Decode decodes a datagram; false if it is not a valid report.
func Decode(datagram []byte) (*control.LoadReport, bool) {
	report := &control.LoadReport{}
	if err := proto.Unmarshal(datagram, report); err != nil {
		return nil, false
	}
	return report, report.GetInstance() != "" && report.GetSequence() > 0
}

// packetHeaderBytes is the size of the IP and UDP headers of a datagram.
const packetHeaderBytes = 28

// Size returns the number of bytes that a report takes on the network.
func Size(report *control.LoadReport) int { return proto.Size(report) + packetHeaderBytes }
