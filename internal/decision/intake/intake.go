// Package intake decides what all callers of a process together may make it hold, and who pays when that is used up.
//
// Load: hundreds of callers send large requests at once, stop shortly before the end, send them very slowly, or keep
// connections open on which nothing is sent. A process that is granted 144 MB holds no more than 35 bodies of 4 MiB;
// a limit on the connections alone either admits many times its memory or turns nearly everybody away, and
// refusing who comes next turns away ordinary callers while the others stay.
//
// Memory is accounted for in small steps as bytes arrive, not by what callers announce. Where it is used up, the
// request that has occupied the most memory for the longest time without being complete is given up: one that stands
// still or comes slowly costs more each second, whatever its size, and a small one that arrives at once costs nearly
// nothing. A request that is complete is never given up. Large requests have a part of the memory, so that small
// ones find room beside large ones that run. Where connections are used up, those go first on which a caller has begun
// a request and sends nothing, then the ones that are idle for longest.
package intake

import (
	"sync"
	"time"

	"carawayspread"
)

const (
	// largeShare is the share of the memory that large requests may take together, and smallShare the largest part
	// of it that a small request takes.
	largeShare = 0.75
	smallShare = 1.0 / 256
	// calmShare is the share of the memory up to which a connection may take some for itself.
	calmShare = 0.5
	// patience is how long a caller may send less than progressBytes of a request before its connection can be
	// closed for another one.
	patience      = time.Second
	progressBytes = 1 << 10
	// closingShare is the share of the connections that may be open beyond the limit while they close.
	closingShare = 0.25
)

// Counts are what was refused or given up since the start.
type Counts struct {
	ForMemory      int64 // requests
	ForConnections int64 // connections that were closed for others
	Refused        int64 // connections, as none could be closed for them
}

// Intake is the decision of one process. It is safe for concurrent use.
type Intake struct {
	clock carawayspread.Clock
	limit int64 // bytes

	mu        sync.Mutex
	changed   *sync.Cond // bytes were released, or a request was given up
	waiting   int        // calls of Take that wait for changed
	used      int64      // at most limit
	usedLarge int64      // of it by large requests
	counts    Counts
	listeners []*Listener
}

// New returns an intake for requests that together occupy up to limit bytes.
func New(limit int64, clock carawayspread.Clock) *Intake {
	in := &Intake{limit: limit, clock: clock}
	in.changed = sync.NewCond(&in.mu)
	return in
}

// Listener is the part of an intake for the connections of one listener.
type Listener struct {
	in      *Intake
	maxOpen int
	conns   map[*conn]struct{} // open, at most maxOpen and a part beyond it that closes
	closing int                // of them, given up
}

// Listener returns a part for a listener with up to maxOpen connections.
func (in *Intake) Listener(maxOpen int) *Listener {
	l := &Listener{in: in, maxOpen: maxOpen, conns: map[*conn]struct{}{}}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.listeners = append(in.listeners, l)
	return l
}

// Used returns the bytes that requests occupy.
func (in *Intake) Used() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used
}

// Counts returns what was refused or given up.
func (in *Intake) Counts() Counts {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.counts
}

// Open accounts for a new connection, and gives up another one where there are too many. It returns false if the new
// one must be refused. giveUp has to interrupt a read of the connection, and must not wait or use the account.
func (l *Listener) Open(giveUp func()) (carawayspread.CallerAccount, bool) {
	in := l.in
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.clock.Now()
	if len(l.conns)-l.closing >= l.maxOpen {
		var victim *conn
		if len(l.conns) < l.maxOpen+max(1, int(closingShare*float64(l.maxOpen))) {
			victim = l.leastUseful(now)
		}
		if victim == nil {
			in.counts.Refused++
			return nil, false
		}
		in.giveUp(victim)
		in.counts.ForConnections++
	}
	c := &conn{in: in, listener: l, interrupt: giveUp, phase: receiving, began: now, progressed: now}
	l.conns[c] = struct{}{}
	return c, true
}

// leastUseful returns the connection to close for a new one; nil if there is none.
func (l *Listener) leastUseful(now time.Time) *conn {
	var victim *conn
	victimRank, victimSince := rankNone, now
	for c := range l.conns {
		if rank, since := c.rank(now); rank < victimRank || rank == victimRank && rank != rankNone && since.Before(victimSince) {
			victim, victimRank, victimSince = c, rank, since
		}
	}
	return victim
}

// giveUp gives up the connection with its request, which is complete in no case.
func (in *Intake) giveUp(c *conn) {
	c.givenUp = true
	c.listener.closing++
	c.interrupt()
	in.wake()
}

func (in *Intake) wake() {
	if in.waiting > 0 {
		in.changed.Broadcast()
	}
}

// isLarge reports whether a request of that many bytes takes from the part of large ones.
func (in *Intake) isLarge(bytes int64) bool { return bytes > int64(smallShare*float64(in.limit)) }

// missing returns how many bytes must be released before a request may grow to a size, and whether large requests
// must release them.
func (in *Intake) missing(c *conn, size int64) (bytes int64, ofLarge bool) {
	if in.isLarge(size) {
		usedLarge := in.usedLarge + size
		if in.isLarge(c.bytes) {
			usedLarge -= c.bytes
		}
		if over := usedLarge - int64(largeShare*float64(in.limit)); over > 0 {
			return over, true
		}
	}
	return in.used - c.bytes + size - in.limit, false
}

// makeRoom gives up requests until enough bytes are released or about to be. It returns false if the request itself
// has to be given up.
func (in *Intake) makeRoom(c *conn, missing int64, ofLarge bool) bool {
	now := in.clock.Now()
	for {
		var costliest *conn
		most, releasing := 0.0, int64(0)
		for _, l := range in.listeners {
			for other := range l.conns {
				switch {
				case ofLarge && !in.isLarge(other.bytes):
				case other.givenUp:
					releasing += other.bytes
				case other.phase != running:
					if cost := float64(other.bytes) * now.Sub(other.began).Seconds(); other.bytes > 0 && (costliest == nil || cost > most) {
						costliest, most = other, cost
					}
				}
			}
		}
		switch {
		case releasing >= missing:
			return true
		case costliest == nil || costliest == c:
			return false
		}
		in.giveUp(costliest)
		in.counts.ForMemory++
	}
}

// resize sets the bytes of a request.
func (in *Intake) resize(c *conn, size int64) {
	in.used += size - c.bytes
	if in.isLarge(c.bytes) {
		in.usedLarge -= c.bytes
	}
	if in.isLarge(size) {
		in.usedLarge += size
	}
	if size < c.bytes {
		in.wake()
	}
	c.bytes = size
}
