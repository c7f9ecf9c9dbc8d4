package placement

import (
	"time"

	"carawayspread"
)

const (
	// peerLife is how long the account of a silent peer counts.
	peerLife = 3 * time.Second
	// lookEvery is the time between two looks for silent peers.
	lookEvery = 100 * time.Millisecond
)

// load is what a process says of its attempts at one endpoint.
type load struct{ running, tokens int }

func (l load) plus(other load) load { return load{l.running + other.running, l.tokens + other.tokens} }

func (l load) minus(other load) load {
	return load{l.running - other.running, l.tokens - other.tokens}
}

type peer struct {
	heard time.Time
	loads map[uint32]load // none that is zero
}

// loads sums what peers say of each endpoint.
//
// Load pattern: a process hears some hundred messages a second and asks for the
// load of every engine at each placement and each event of an answer. Adding up
// all peers there grew with peers times engines: 8,000 look-ups for a placement
// before 117 engines among 68 processes.
type loads struct {
	peers  map[string]*peer
	sums   map[uint32]load
	looked time.Time
}

func newLoads() *loads { return &loads{peers: map[string]*peer{}, sums: map[uint32]load{}} }

// at returns what all peers that are heard say of an endpoint.
func (l *loads) at(now time.Time, hash uint32) load {
	if now.Sub(l.looked) >= lookEvery {
		l.looked = now
		l.expire(now)
	}
	return l.sums[hash]
}

// expire forgets peers that have fallen silent, whose attempts have ended or will.
func (l *loads) expire(now time.Time) {
	for name, p := range l.peers {
		if now.Sub(p.heard) < peerLife {
			continue
		}
		for hash, gone := range p.loads {
			l.add(hash, load{}.minus(gone))
		}
		delete(l.peers, name)
	}
}

// heard takes note that a peer lives.
func (l *loads) heard(now time.Time, from string) *peer {
	p := l.peers[from]
	if p == nil {
		p = &peer{loads: map[uint32]load{}}
		l.peers[from] = p
	}
	p.heard = now
	return p
}

// set takes what a peer says of an endpoint, and returns what it said before.
func (l *loads) set(p *peer, n carawayspread.LoadUpdate) load {
	before, next := p.loads[n.EndpointHash], load{n.Running, n.Tokens}
	if next == (load{}) {
		delete(p.loads, n.EndpointHash)
	} else {
		p.loads[n.EndpointHash] = next
	}
	l.add(n.EndpointHash, next.minus(before))
	return before
}

func (l *loads) add(hash uint32, d load) {
	if sum := l.sums[hash].plus(d); sum == (load{}) {
		delete(l.sums, hash)
	} else {
		l.sums[hash] = sum
	}
}
