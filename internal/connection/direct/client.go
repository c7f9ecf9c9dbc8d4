// Package direct is the way to an endpoint that has no sidecar before it.
//
// Each request is sent once, as it is: net/http's client would repeat some
// requests by itself on a reused connection, and add headers of its own. Both
// are switched off, so that what an endpoint runs is what a caller sent.
package direct

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"carawayspread"
)

const (
	// connectTimeout bounds a new connection. Endpoints answer within a few
	// milliseconds; a lost opening packet is sent again after one second, and
	// a caller is better served elsewhere by then.
	connectTimeout = 900 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged, and probes
	// unanswered, before the connection is given up. It must exceed a few lost
	// packets in a row and stay below the pause at which callers leave.
	silence = 1200 * time.Millisecond
	// probeEvery spaces the probes of a connection on which nothing moves.
	probeEvery = 400 * time.Millisecond
	// idleTimeout stays below the ten seconds that endpoints state, so that a connection
	// is rarely closed by its peer while a request is put on it.
	idleTimeout = 8 * time.Second
	// idleConns are kept for each endpoint.
	idleConns = 8
	// headerLimit bounds the header of an answer in bytes.
	headerLimit = 64 << 10
	bufferSize  = 4 << 10
)

// Client is a carawayspread.EndpointTransport over net/http. It is safe for concurrent
// use.
type Client struct {
	transport *http.Transport
}

// New returns a client without connections.
func New() *Client {
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeEvery, Interval: probeEvery, Count: int(silence / probeEvery),
		},
		Control: control,
	}
	return dialer.DialContext(ctx, network, address)
}

// control bounds how long sent bytes may stay unacknowledged.
//
// Failure: an endpoint loses its power or its link. Symptom: requests to it
// hang until their deadline, since nothing resets the connection. The kernel's
// own limit is many minutes; this one is shorter than a caller's patience.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// body is never rewound: net/http repeats only requests whose body it can get
// again.
type body struct{ r *bytes.Reader }

func (b body) Read(p []byte) (int, error) { return b.r.Read(p) }
func (body) Close() error                 { return nil }

// Send sends the request once.
func (c *Client) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req := (&http.Request{
		Method: out.Method,
		URL:    &url.URL{Scheme: "http", Host: to.Address(), Opaque: out.Target},
		Host:   out.Host,
		Header: outgoing(out.Header),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body:          body{bytes.NewReader(out.Body)},
		ContentLength: int64(len(out.Body)),
	}).WithContext(ctx)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if !sent.Load() {
			return nil, fmt.Errorf("%w: %w", carawayspread.ErrUnsent, err)
		}
		return nil, err
	}
	return &carawayspread.Reply{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
}

// outgoing returns the headers without those that net/http would add.
func outgoing(h http.Header) http.Header {
	out := h.Clone()
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // an empty one is left out
	}
	return out
}
