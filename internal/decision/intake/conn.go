package intake

import (
	"time"

	"carawayspread"
)

// phase says whom a connection waits for.
type phase int

const (
	receiving phase = iota // its caller, who has connected or begun a request
	idle                   // its caller, whose last request was answered
	running                // this process: the request is complete
)

// Ranks of the connections that are closed for new ones, in their order.
const (
	rankStalled = iota // a request was begun, and nothing arrives
	rankIdle
	rankSlow // a request is not complete after some time
	rankNone // not closed
)

// conn is the account of one connection. Its fields are guarded by the intake.
type conn struct {
	in         *Intake
	listener   *Listener
	interrupt  func()
	phase      phase
	began      time.Time // of the phase
	progressed time.Time // when the last progressBytes had arrived, or the phase began
	arrived    int       // bytes since then
	kept       int64     // bytes of the connection itself
	bytes      int64     // of the request and kept
	givenUp    bool
	closed     bool
}

// rank returns the rank of a connection, and since when it has it.
func (c *conn) rank(now time.Time) (rank int, since time.Time) {
	switch {
	case c.givenUp || c.phase == running:
		return rankNone, now
	case c.phase == idle:
		return rankIdle, c.began
	case now.Sub(c.progressed) >= patience:
		return rankStalled, c.progressed
	case now.Sub(c.began) >= patience:
		return rankSlow, c.began
	}
	return rankNone, now
}

func (c *conn) begin(p phase) {
	c.phase, c.arrived = p, 0
	c.began = c.in.clock.Now()
	c.progressed = c.began
}

func (c *conn) Arrived(n int) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	switch c.phase {
	case idle:
		c.begin(receiving)
	case running:
		return
	}
	if c.arrived += n; c.arrived >= progressBytes {
		c.arrived, c.progressed = 0, c.in.clock.Now()
	}
}

func (c *conn) Take(n int64) error {
	in := c.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.phase == idle {
		c.begin(receiving)
	}
	for {
		if c.givenUp || c.closed {
			return carawayspread.ErrGivenUp
		}
		missing, ofLarge := in.missing(c, c.bytes+n)
		if missing <= 0 {
			in.resize(c, c.bytes+n)
			return nil
		}
		if !in.makeRoom(c, missing, ofLarge) {
			in.giveUp(c)
			in.counts.ForMemory++
			return carawayspread.ErrGivenUp
		}
		in.waiting++
		in.changed.Wait()
		in.waiting--
	}
}

func (c *conn) TakeForConnection(n int64) bool {
	in := c.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if missing, _ := in.missing(c, c.bytes+n); missing > 0 || c.givenUp || c.closed || in.used+n > int64(calmShare*float64(in.limit)) {
		return false
	}
	c.kept += n
	in.resize(c, c.bytes+n)
	return true
}

func (c *conn) Return(n int64) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.resize(c, max(c.kept, c.bytes-n))
}

func (c *conn) Received() error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.givenUp {
		return carawayspread.ErrGivenUp
	}
	c.begin(running)
	return nil
}

func (c *conn) Answered() {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.resize(c, c.kept)
	c.begin(idle)
}

func (c *conn) Close() {
	in := c.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.closed {
		return
	}
	c.closed, c.kept = true, 0
	in.resize(c, 0)
	delete(c.listener.conns, c)
	if c.givenUp {
		c.listener.closing--
	}
	in.wake()
}
