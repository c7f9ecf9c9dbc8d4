// Package transfer is the way of one answer of unknown size from a peer, over a
// connection of its own, and measures what arrives.
package transfer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Transfer is one answer. It is safe for concurrent use.
type Transfer struct {
	client   *http.Client
	received atomic.Int64
}

// New returns a transfer that ends after the timeout at the latest.
func New(timeout time.Duration) *Transfer {
	t := &Transfer{}
	t.client = &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: t.dial},
	}
	return t
}

// Client returns what sends the request.
func (t *Transfer) Client() *http.Client { return t.client }

// Received returns the bytes that have arrived, headers included.
func (t *Transfer) Received() int64 { return t.received.Load() }

func (t *Transfer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, of: t}, nil
}

// conn counts what is read.
type conn struct {
	net.Conn
	of *Transfer
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.received.Add(int64(n))
	return n, err
}
