package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRefusals bounds the requests refused here that peers are queried for, and those that peers
	// query for.
	maxRefusals = 64
	// peerRefusalTTL is how long the query of a peer is valid; the peer repeats it while it refuses
	// the request.
	peerRefusalTTL = 3 * time.Second
)

// refusals are the requests that are refused here, and those that peers refuse.
//
// A process may record crashes of one request at two endpoints from which it gets no further
// answer. Without this exchange it refuses the request for the whole quarantine, while peers that
// know of no crash get answers for it. A request that crashes endpoints is never answered, so an
// answer at any process clears it.
type refusals struct {
	own   *lru.LRU[uint64, struct{}]
	peers *lru.LRU[uint64, time.Time] // when each was last reported as refused
}

func newRefusals() refusals {
	own, err := lru.NewLRU[uint64, struct{}](maxRefusals, nil)
	if err != nil {
		panic(err) // the size is a constant
	}
	peers, err := lru.NewLRU[uint64, time.Time](maxRefusals, nil)
	if err != nil {
		panic(err)
	}
	return refusals{own: own, peers: peers}
}

// Refused returns the newest requests that are refused here for which a peer may have an answer.
func (q *Quarantine) Refused() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var refused []uint64
	for _, fingerprint := range q.refusals.own.Keys() {
		if r := q.find(fingerprint, now); r != nil && now.Before(r.quarantinedUntil) {
			refused = append(refused, fingerprint)
		} else {
			q.refusals.own.Remove(fingerprint)
		}
	}
	return refused
}

// RefusedByPeer records requests that a peer refuses.
func (q *Quarantine) RefusedByPeer(refused []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, fingerprint := range refused {
		q.refusals.peers.Add(fingerprint, now)
	}
}

// takePeerRefusal reports whether a peer waits for an answer to the request, and removes that
// query, so that each is answered once.
func (q *Quarantine) takePeerRefusal(fingerprint uint64) bool {
	refusedAt, ok := q.refusals.peers.Peek(fingerprint)
	if ok {
		q.refusals.peers.Remove(fingerprint)
	}
	return ok && q.clock.Now().Sub(refusedAt) < peerRefusalTTL
}

// AnsweredByPeer clears a request that was answered at another process.
func (q *Quarantine) AnsweredByPeer(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.clear(fingerprint)
	q.dismiss(dismissal{fingerprint: fingerprint}, q.clock.Now())
}

func (q *Quarantine) clear(fingerprint uint64) {
	q.records.Remove(fingerprint)
	q.refusals.own.Remove(fingerprint)
}
