// Package transfer fetches one answer of any size from a peer, over a connection of its
// own.
//
// Answers have a few hundred bytes to a few megabytes, and the slowest links carry one
// megabyte a second, which answers to callers share. A deadline for the whole answer that
// suits small answers would abort every large one while it arrives, and start it again.
// Therefore the time without any data is bounded instead.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"carawayspread/internal/connection/framed"
)

// ErrTooLarge means that an answer exceeds the limit.
var ErrTooLarge = errors.New("the answer is larger than the limit")

// Limits end a transfer early.
type Limits struct {
	ConnectTimeout time.Duration // for connecting
	IdleTimeout    time.Duration // without any data
	TotalTimeout   time.Duration // after which the answer is no longer of use
	MaxBytes       int64         // of the answer, including its header
}

// Transfer fetches one answer. It is safe for concurrent use.
type Transfer struct {
	limits   Limits
	client   *http.Client
	received atomic.Int64
}

// New returns a transfer with these limits.
func New(l Limits) *Transfer {
	t := &Transfer{limits: l}
	t.client = &http.Client{
		Timeout:   l.TotalTimeout,
		Transport: framed.New(&http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: t.dial}),
	}
	return t
}

// Client returns the HTTP client for the request.
func (t *Transfer) Client() *http.Client { return t.client }

// Received returns the number of bytes received, including headers.
func (t *Transfer) Received() int64 { return t.received.Load() }

func (t *Transfer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: t.limits.ConnectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, transfer: t}, nil
}

// conn bounds the time that each read and write may wait, and the number of bytes read in total.
type conn struct {
	net.Conn
	transfer *Transfer
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.transfer.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if received := c.transfer.received.Add(int64(n)); received > c.transfer.limits.MaxBytes {
		return n, fmt.Errorf("%w of %d bytes", ErrTooLarge, c.transfer.limits.MaxBytes)
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.transfer.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
