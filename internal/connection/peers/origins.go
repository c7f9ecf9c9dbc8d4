package peers

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"carawayspread"
)

const (
	// originMagic, originQueryMagic and originReplyMagic start kinds of datagrams that processes of older
	// releases drop.
	originMagic      = 0xce
	originQueryMagic = 0xcf
	originReplyMagic = 0xd0
	// holders is the number of peers that are told of each stream. A stream is lost with its process only
	// if all of them are lost as well.
	holders = 3
	// maxOrigins bounds the streams of one datagram.
	maxOrigins = 64
	// holderWait and fleetWait bound the wait for the answers of the holders of a stream, and then for those
	// of the others: some round trips between zones, so that one lost datagram does not cost the stream.
	holderWait = 40 * time.Millisecond
	fleetWait  = 80 * time.Millisecond
	// maxAsked bounds the peers that are asked when no holder knows the stream.
	maxAsked = 64
	// maxLifetime bounds the lifetime of a stream in a query.
	maxLifetime = time.Hour
)

// OriginTracker keeps at which build streams began.
type OriginTracker interface {
	// Learn records streams that began at a peer.
	Learn(streams []carawayspread.StreamOrigin)
	// Answer returns what this process knows of a stream of the service.
	Answer(id carawayspread.StreamID, service string, lifetime time.Duration) carawayspread.OriginAnswer
}

// originMessage is one datagram: streams that began at the sender.
type originMessage struct {
	sender  uint64
	streams []carawayspread.StreamOrigin
}

// originQuery is one datagram: a stream whose build the sender does not know.
type originQuery struct {
	sender   uint64
	address  netip.AddrPort // of the sender
	number   uint64         // of the query
	stream   carawayspread.StreamID
	service  string
	lifetime time.Duration
}

// originReply answers a query.
type originReply struct {
	sender uint64
	number uint64 // of the query
	answer carawayspread.OriginAnswer
}

// originQueries are the queries of this process that wait for answers, by number.
type originQueries struct {
	last    uint64
	waiting map[uint64]chan carawayspread.OriginAnswer
}

// SetOriginTracker sets the source and the receiver of the origins of streams. It must be called before
// Run and Receive.
func (s *Socket) SetOriginTracker(t OriginTracker) { s.origins = t }

// TellOrigins tells the holders of each stream where it began. It does not wait.
func (s *Socket) TellOrigins(streams []carawayspread.StreamOrigin) {
	byHolder := map[netip.AddrPort][]carawayspread.StreamOrigin{}
	s.mu.Lock()
	for _, stream := range streams {
		for _, address := range s.holdersLocked(stream.Stream, holders) {
			byHolder[address] = append(byHolder[address], stream)
		}
	}
	s.mu.Unlock()
	for address, streams := range byHolder {
		for batch := range slices.Chunk(streams, maxOrigins) {
			s.sendBody(originMessage{sender: s.id, streams: batch}.encode(), []netip.AddrPort{address})
		}
	}
}

// FindOrigin asks the peers at which build a stream of the service began: first its holders, and if none
// of them knows, the others. It returns as soon as one knows, or all asked have answered.
func (s *Socket) FindOrigin(ctx context.Context, id carawayspread.StreamID, service string, lifetime time.Duration) carawayspread.OriginAnswer {
	s.mu.Lock()
	s.queries.last++
	number := s.queries.last
	answers := make(chan carawayspread.OriginAnswer, maxAsked)
	s.queries.waiting[number] = answers
	// One more than the holders: the process that began the stream does not count itself among them.
	first := s.holdersLocked(id, holders+1)
	others := s.holdersLocked(id, maxAsked)[len(first):]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.queries.waiting, number)
		s.mu.Unlock()
	}()
	query := originQuery{sender: s.id, address: s.self, number: number, stream: id, service: service, lifetime: lifetime}.encode()
	var known carawayspread.OriginAnswer
	for _, stage := range []struct {
		peers []netip.AddrPort
		wait  time.Duration
	}{{first, holderWait}, {others, fleetWait}} {
		s.sendBody(query, stage.peers)
		timeout := s.clock.After(stage.wait)
		for left := len(stage.peers); left > 0 && known.Build == 0; left-- {
			select {
			case answer := <-answers:
				known = known.Join(answer)
			case <-timeout:
				left = 0
			case <-ctx.Done():
				return known
			}
		}
		if known.Build != 0 || known.Sole != 0 && !known.Several {
			break
		}
	}
	return known
}

// holdersLocked returns the n active peers with the highest rendezvous weights for the stream, in order.
// All processes that know the same peers get the same.
func (s *Socket) holdersLocked(id carawayspread.StreamID, n int) []netip.AddrPort {
	type weighted struct {
		weight  uint64
		address netip.AddrPort
	}
	now := s.clock.Now()
	all := make([]weighted, 0, len(s.peers))
	for peer, p := range s.peers {
		if now.Sub(p.lastSeen) < activeTimeout {
			all = append(all, weighted{rendezvousWeight(uint64(id), peer), p.address})
		}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	addresses := make([]netip.AddrPort, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		addresses = append(addresses, w.address)
	}
	return addresses
}

// rendezvousWeight mixes the two numbers (the finalizer of splitmix64).
func rendezvousWeight(stream, peer uint64) uint64 {
	x := stream ^ peer*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// receiveOrigins handles a datagram about the origins of streams.
func (s *Socket) receiveOrigins(body []byte) {
	if s.origins == nil {
		return
	}
	switch body[0] {
	case originMagic:
		if m, err := decodeOrigins(body); err == nil && m.sender != s.id {
			s.origins.Learn(m.streams)
		}
	case originQueryMagic:
		if q, err := decodeOriginQuery(body); err == nil && q.sender != s.id {
			reply := originReply{sender: s.id, number: q.number, answer: s.origins.Answer(q.stream, q.service, q.lifetime)}
			s.sendBody(reply.encode(), []netip.AddrPort{q.address})
		}
	case originReplyMagic:
		if r, err := decodeOriginReply(body); err == nil && r.sender != s.id {
			s.mu.Lock()
			waiting := s.queries.waiting[r.number]
			s.mu.Unlock()
			select {
			case waiting <- r.answer:
			default: // answered too late
			}
		}
	}
}

func (m originMessage) encode() []byte {
	b := binary.AppendUvarint([]byte{originMagic}, m.sender)
	b = binary.AppendUvarint(b, uint64(len(m.streams)))
	for _, stream := range m.streams {
		b = binary.BigEndian.AppendUint64(b, uint64(stream.Stream))
		b = binary.BigEndian.AppendUint64(b, uint64(stream.Build))
	}
	return b
}

func (q originQuery) encode() []byte {
	b := binary.AppendUvarint([]byte{originQueryMagic}, q.sender)
	b = appendAddress(b, q.address)
	b = binary.AppendUvarint(b, q.number)
	b = binary.BigEndian.AppendUint64(b, uint64(q.stream))
	b = appendText(b, q.service)
	return binary.AppendUvarint(b, uint64(max(0, min(maxLifetime, q.lifetime))/time.Millisecond))
}

func (r originReply) encode() []byte {
	b := binary.AppendUvarint([]byte{originReplyMagic}, r.sender)
	b = binary.AppendUvarint(b, r.number)
	b = binary.BigEndian.AppendUint64(b, uint64(r.answer.Build))
	b = binary.BigEndian.AppendUint64(b, uint64(r.answer.Sole))
	return append(b, flag(r.answer.Several))
}

func (r *reader) build() carawayspread.BuildID {
	return carawayspread.BuildID(binary.BigEndian.Uint64(r.bytes(8)))
}

// end returns an error if the datagram is malformed or longer than what was decoded.
func (r *reader) end() error {
	if r.failed || len(r.b) > 0 {
		return errMalformed
	}
	return nil
}

func decodeOrigins(b []byte) (originMessage, error) {
	r := &reader{b: b[1:]}
	m := originMessage{sender: r.uvarint()}
	for range r.count(maxOrigins) {
		m.streams = append(m.streams, carawayspread.StreamOrigin{Stream: carawayspread.StreamID(binary.BigEndian.Uint64(r.bytes(8))), Build: r.build()})
	}
	return m, r.end()
}

func decodeOriginQuery(b []byte) (originQuery, error) {
	r := &reader{b: b[1:]}
	q := originQuery{sender: r.uvarint(), address: r.address(), number: r.uvarint(), stream: carawayspread.StreamID(binary.BigEndian.Uint64(r.bytes(8))), service: r.text()}
	q.lifetime = time.Duration(r.count(int(maxLifetime/time.Millisecond))) * time.Millisecond
	return q, r.end()
}

func decodeOriginReply(b []byte) (originReply, error) {
	r := &reader{b: b[1:]}
	return originReply{sender: r.uvarint(), number: r.uvarint(), answer: carawayspread.OriginAnswer{Build: r.build(), Sole: r.build(), Several: r.flag()}}, r.end()
}
