package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRefusals bounds the requests of which peers are asked, and those they ask of.
	maxRefusals = 64
	// peerRefusalTTL is how long a question of a peer counts; it is repeated while the peer
	// refuses the request.
	peerRefusalTTL = 3 * time.Second
)

// refusals are requests that are refused here, and those that peers refuse.
//
// Failure: a process meets two breaks of one request at two endpoints of which it hears
// nothing more. Symptom: it refuses the request for the whole term, while peers that
// know of no break answer it. What crashes endpoints is never answered, so that an
// answer anywhere clears it.
type refusals struct {
	own   *lru.LRU[uint64, struct{}]
	peers *lru.LRU[uint64, time.Time] // when each was asked for last
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

// Refused returns the newest requests that are refused here, of which peers may know an
// answer.
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

// RefusedByPeer takes what a peer refuses.
func (q *Quarantine) RefusedByPeer(refused []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, fingerprint := range refused {
		q.refusals.peers.Add(fingerprint, now)
	}
}

// takePeerRefusal reports whether a peer waits to hear of an answer, once for each question.
func (q *Quarantine) takePeerRefusal(fingerprint uint64) bool {
	refusedAt, ok := q.refusals.peers.Peek(fingerprint)
	if ok {
		q.refusals.peers.Remove(fingerprint)
	}
	return ok && q.clock.Now().Sub(refusedAt) < peerRefusalTTL
}

// AnsweredByPeer takes note that the request was answered elsewhere.
func (q *Quarantine) AnsweredByPeer(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.records.Remove(fingerprint)
	q.refusals.own.Remove(fingerprint)
}
