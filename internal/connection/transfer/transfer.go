// Package transfer is the way of one answer of any size from a peer, over a connection
// of its own.
//
// Load pattern: answers from some hundred bytes to some megabytes, over links of which
// the narrowest carry a megabyte a second, beside answers to callers. A deadline for the
// whole answer that suits the small ones gives up each large one while it arrives, and
// begins it again. So what is bounded is silence.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrTooLarge says that a peer sends more than was agreed on.
var ErrTooLarge = errors.New("the answer is larger than the limit")

// Limits are what ends a transfer early.
type Limits struct {
	ConnectTimeout time.Duration // for the connection
	IdleTimeout    time.Duration // without a byte
	TotalTimeout   time.Duration // by which nobody waits for the answer any more
	MaxBytes       int64         // of the answer, its header included
}

// Transfer is one answer. It is safe for concurrent use.
type Transfer struct {
	limits   Limits
	client   *http.Client
	received atomic.Int64
}

// New returns a transfer.
func New(l Limits) *Transfer {
	t := &Transfer{limits: l}
	t.client = &http.Client{
		Timeout:   l.TotalTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: t.dial},
	}
	return t
}

// Client returns what sends the request.
func (t *Transfer) Client() *http.Client { return t.client }

// Received returns the bytes that have arrived, headers included.
func (t *Transfer) Received() int64 { return t.received.Load() }

func (t *Transfer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: t.limits.ConnectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, of: t}, nil
}

// conn bounds the silence before each read, and what is read in all.
type conn struct {
	net.Conn
	of *Transfer
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.of.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if received := c.of.received.Add(int64(n)); received > c.of.limits.MaxBytes {
		return n, fmt.Errorf("%w of %d bytes", ErrTooLarge, c.of.limits.MaxBytes)
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.of.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
