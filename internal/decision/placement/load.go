package placement

import (
	"time"

	"carawayspread"
)

const (
	// peerTimeout is how long the load of a silent peer is counted.
	peerTimeout = 3 * time.Second
	// expireInterval is the time between two checks for silent peers.
	expireInterval = 100 * time.Millisecond
)

// load is the load of one process at one endpoint: running attempts and their tokens.
type load struct{ running, tokens int }

func (l load) plus(other load) load { return load{l.running + other.running, l.tokens + other.tokens} }

func (l load) minus(other load) load {
	return load{l.running - other.running, l.tokens - other.tokens}
}

type peer struct {
	lastHeard time.Time
	loads     map[uint32]load // without zero loads
}

// loads sums the loads that peers report of each endpoint.
//
// A process receives some hundred messages a second and reads the load of every engine at each
// placement and at each event of an answer. Summing over all peers there grew with peers times
// engines: 8,000 look-ups for a placement with 117 engines and 68 processes.
type loads struct {
	peers       map[string]*peer
	sums        map[uint32]load
	lastExpired time.Time
}

func newLoads() *loads { return &loads{peers: map[string]*peer{}, sums: map[uint32]load{}} }

// at returns the load of all live peers at an endpoint.
func (l *loads) at(now time.Time, hash uint32) load {
	if now.Sub(l.lastExpired) >= expireInterval {
		l.lastExpired = now
		l.expire(now)
	}
	return l.sums[hash]
}

// expire removes the peers whose timeout has passed; their attempts have ended or will end.
func (l *loads) expire(now time.Time) {
	for name, p := range l.peers {
		if now.Sub(p.lastHeard) < peerTimeout {
			continue
		}
		for hash, old := range p.loads {
			l.add(hash, load{}.minus(old))
		}
		delete(l.peers, name)
	}
}

// touch records that a peer is alive, and returns its entry.
func (l *loads) touch(now time.Time, from string) *peer {
	p := l.peers[from]
	if p == nil {
		p = &peer{loads: map[uint32]load{}}
		l.peers[from] = p
	}
	p.lastHeard = now
	return p
}

// set replaces a peer's load at an endpoint and returns the previous one.
func (l *loads) set(p *peer, u carawayspread.LoadUpdate) load {
	before, next := p.loads[u.EndpointHash], load{u.Running, u.Tokens}
	if next == (load{}) {
		delete(p.loads, u.EndpointHash)
	} else {
		p.loads[u.EndpointHash] = next
	}
	l.add(u.EndpointHash, next.minus(before))
	return before
}

func (l *loads) add(hash uint32, d load) {
	if sum := l.sums[hash].plus(d); sum == (load{}) {
		delete(l.sums, hash)
	} else {
		l.sums[hash] = sum
	}
}
