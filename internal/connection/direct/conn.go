package direct

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"carawayspread/internal/connection/framed"
)

// errWithheld is the error of a write that was not made.
var errWithheld = errors.New("the request was withheld")

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	*framed.Conn
	id          uint64 // within the client
	connectedAt time.Time
	answers     atomic.Int64 // that came over it
	retired     atomic.Bool  // carries no further request
	latest      atomic.Pointer[delivery]
	before      <-chan struct{} // closed once the request before the latest has its answer; nil if there was none
	closeOnce   sync.Once
	closed      chan struct{}
}

// give gives the connection to a request. It is called before the request is written, never while another is.
func (c *conn) give(d *delivery) {
	if before := c.latest.Swap(d); before != nil {
		c.before = before.returned
	}
}

// States of a delivery.
const (
	deliveryPending int32 = iota
	deliveryBegun
	deliveryWithheld
)

// delivery is the use of one connection by one request. Either its first byte is written, or it is withheld
// and none ever is.
type delivery struct {
	state   atomic.Int32
	proceed func() bool // nil if nothing keeps the request from being written
	stopped atomic.Bool // proceed returned false
	// returned is closed once the request has its answer, or none.
	returned chan struct{}
}

func newDelivery(proceed func() bool) *delivery {
	return &delivery{proceed: proceed, returned: make(chan struct{})}
}

// begin reports whether the request may be written.
func (d *delivery) begin(retired bool) bool {
	if d.state.Load() == deliveryPending && d.proceed != nil && !d.proceed() {
		d.stopped.Store(true)
	}
	if retired || d.stopped.Load() {
		d.withhold()
	}
	d.state.CompareAndSwap(deliveryPending, deliveryBegun)
	return d.state.Load() == deliveryBegun
}

// withhold reports whether nothing of the request was written; then nothing will be.
func (d *delivery) withhold() bool {
	d.state.CompareAndSwap(deliveryPending, deliveryWithheld)
	return d.state.Load() == deliveryWithheld
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if d := c.latest.Load(); d != nil && !d.begin(c.retired.Load()) {
		c.awaitAnswerBefore()
		return 0, errWithheld
	}
	return c.Conn.Write(b)
}

// awaitAnswerBefore waits until the request before has its answer. net/http gives a connection to the next
// request a moment before that, and drops the answer if a write of the next one has failed by then.
func (c *conn) awaitAnswerBefore() {
	if c.before == nil {
		return
	}
	select {
	case <-c.before:
	case <-c.closed:
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// retire keeps the connection from carrying further requests after that of the delivery. net/http may have
// given it to the next one already, which then is withheld unless it has begun.
func (c *conn) retire(d *delivery) {
	c.retired.Store(true)
	if c.latest.Load() == d {
		_ = c.Close()
	}
}
