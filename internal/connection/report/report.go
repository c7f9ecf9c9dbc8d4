// Package report carries load reports from sidecars to entries, one UDP
// datagram each.
//
// Load pattern: every entry hears of every endpoint every few seconds. A
// report is a hint: a lost one is replaced by the next, and one that arrives
// late or out of order is dropped. Endpoints are named by a hash of four bytes,
// and what seldom changes travels in few of the reports, since 325 sidecars
// share the 4 KB/s that an entry may receive.
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
	datagramLimit = 1400 // bytes; fits into one packet
	// inboundBudget is what an entry spends on reports of its 4 KB/s. Polls of
	// the configuration and of the instance list take the rest.
	inboundBudget = 2500
	shortest      = time.Second
)

// Hash names an endpoint in a report.
func Hash(id carawayspread.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Interval returns the time between two reports of a sidecar, such that all
// sidecars together stay within an entry's budget where each report takes so
// many bytes on the network.
func Interval(sidecars, bytes int) time.Duration {
	interval := time.Duration(sidecars) * time.Duration(bytes) * time.Second / inboundBudget
	return max(shortest, interval)
}

// Socket sends and receives reports. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens the socket at an IP number and port.
func Listen(address string) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("%q is not an IP number and port", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Socket{conn: conn}, nil
}

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends the report to each address. A report that cannot be sent is
// dropped; the next one replaces it.
func (s *Socket) Send(report *control.LoadReport, to []netip.AddrPort) error {
	datagram, err := proto.Marshal(report)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(datagram) > datagramLimit {
		return trace.BadParameter("the report has %d bytes, more than a packet holds", len(datagram))
	}
	for _, addr := range to {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, addr)
	}
	return nil
}

// Receive hands every report that arrives in order to take, until the socket
// is closed or ctx ends.
func (s *Socket) Receive(ctx context.Context, take func(*control.LoadReport)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	newest := map[string]uint64{}
	buffer := make([]byte, datagramLimit)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return trace.Wrap(err)
		}
		if report, ok := Decode(buffer[:n]); ok && inOrder(newest, report) {
			take(report)
		}
	}
}

// knownInstances bounds the sequence numbers that are remembered.
const knownInstances = 10_000

// inOrder drops a report that a newer one of its instance has overtaken.
//
// Failure: datagrams cross. Symptom: an endpoint looks drained or free again
// after it said otherwise. Sequence numbers start at the time of the sidecar's
// start, so that a restarted sidecar is heard.
func inOrder(newest map[string]uint64, report *control.LoadReport) bool {
	if report.GetSequence() <= newest[report.GetInstance()] {
		return false
	}
	if len(newest) >= knownInstances {
		clear(newest)
	}
	newest[report.GetInstance()] = report.GetSequence()
	return true
}

// Decode reads a datagram; false when it is not a usable report.
func Decode(datagram []byte) (*control.LoadReport, bool) {
	report := &control.LoadReport{}
	if err := proto.Unmarshal(datagram, report); err != nil {
		return nil, false
	}
	return report, report.GetInstance() != "" && report.GetSequence() > 0
}

// packetHeader is what IP and UDP add to a datagram.
const packetHeader = 28

// Size returns the bytes that a report takes on the network.
func Size(report *control.LoadReport) int { return proto.Size(report) + packetHeader }
