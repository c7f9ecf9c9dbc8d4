// Package direct sends requests to endpoints that have no sidecar.
//
// Each request is sent once and unmodified. The client of net/http would retry some requests
// by itself on reused connections, and add headers. Both are switched off, so that an endpoint
// runs exactly what the caller sent.
package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"carawayspread"
	"carawayspread/internal/connection/framed"
	"carawayspread/internal/connection/listening"
)

const (
	connectTimeout = carawayspread.MaxConnectTime
	// unackedTimeout is also how long keep-alive probes may stay unanswered.
	unackedTimeout = carawayspread.MaxUnacknowledged
	// probeInterval is the time between keep-alive probes on an idle connection.
	probeInterval = 400 * time.Millisecond
	// idleTimeout is less than the ten seconds that endpoints announce, so that an endpoint rarely
	// closes a connection while a request is being sent on it.
	idleTimeout = 8 * time.Second
	// maxIdleConns is the number of idle connections kept for each endpoint.
	maxIdleConns = 8
	// maxReconnects bounds the connections that are opened for a request and closed before it is written. Those
	// that were open before do not count: each is taken from the idle ones, and is gone.
	maxReconnects = 8
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	bufferSize     = 4 << 10
)

// Client implements carawayspread.EndpointTransport with net/http. It is safe for concurrent use.
type Client struct {
	transport   *http.Transport
	unpooled    *http.Transport // closes each connection after one answer
	clock       carawayspread.Clock
	connections atomic.Uint64 // that were established
}

// Option sets an optional part of a Client.
type Option func(*Client)

// WithClock sets the clock.
func WithClock(clock carawayspread.Clock) Option { return func(c *Client) { c.clock = clock } }

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{clock: carawayspread.SystemClock()}
	for _, opt := range opts {
		opt(c)
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
	c.unpooled = c.transport.Clone()
	c.unpooled.DisableKeepAlives = true
	return c
}

// Connections returns how many connections were established.
func (c *Client) Connections() uint64 { return c.connections.Load() }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(unackedTimeout / probeInterval),
		},
		Control: setUserTimeout,
	}
	dialed, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: framed.Watch(dialed, c.clock), id: c.connections.Add(1), connectedAt: c.clock.Now(), closed: make(chan struct{})}, nil
}

// setUserTimeout bounds how long sent data may stay unacknowledged.
//
// If an endpoint loses its power or its link, nothing resets the connection, and requests would
// hang until their deadlines. The kernel's own limit is many minutes; this one is shorter than
// callers wait.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// singleUseBody cannot be rewound: net/http retries only requests whose body it can read again.
type singleUseBody struct{ r *bytes.Reader }

func (b singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (singleUseBody) Close() error                 { return nil }

// Send sends the request once. Its error matches carawayspread.ErrUnsent if no byte was written. A request
// that was given a connection which turned out to be closed before that takes another one.
func (c *Client) Send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	for reconnects := 0; ; {
		reply, err := c.send(ctx, to, out)
		if !errors.Is(err, errConnClosed) || ctx.Err() != nil || reconnects == maxReconnects {
			return reply, err
		}
		if !errors.Is(err, errIdleConnClosed) {
			reconnects++
		}
	}
}

var (
	// errConnClosed says that a connection was closed before a byte of the request was written, and
	// errIdleConnClosed that it had been open before the request.
	errConnClosed     = fmt.Errorf("%w: the connection was closed", carawayspread.ErrUnsent)
	errIdleConnClosed = fmt.Errorf("%w while it was idle", errConnClosed)
)

func (c *Client) send(ctx context.Context, to carawayspread.Endpoint, out carawayspread.Outbound) (*carawayspread.Reply, error) {
	var over atomic.Pointer[conn]
	var exchange atomic.Pointer[framed.Exchange]
	var idle atomic.Bool // the connection was open before
	d := newDelivery(out.Proceed)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if got, ok := info.Conn.(*conn); ok {
				exchange.Store(got.Begin(int64(len(out.Body))))
				got.give(d)
				over.Store(got)
				idle.Store(info.Reused)
			}
		},
	})
	req := newRequest(to, out).WithContext(ctx)
	transport := c.transport
	if out.Alone {
		transport = c.unpooled
	}
	resp, err := transport.RoundTrip(req)
	close(d.returned)
	switch sentOver := over.Load(); {
	case err == nil && sentOver != nil:
		return checked(newReply(resp, sentOver, d), framed.Check(resp, exchange.Load()))
	case err == nil:
		return nil, errors.Join(errNoConn, resp.Body.Close())
	case sentOver == nil:
		return nil, fmt.Errorf("%w: %w", carawayspread.ErrUnsent, err)
	case d.withhold() && d.stopped.Load():
		return nil, fmt.Errorf("%w: %w", carawayspread.ErrUnsent, carawayspread.ErrWithdrawn)
	case d.withhold() && idle.Load():
		return nil, fmt.Errorf("%w: %w", errIdleConnClosed, err)
	case d.withhold():
		return nil, fmt.Errorf("%w: %w", errConnClosed, err)
	case framed.HeadTooLong(err):
		return nil, fmt.Errorf("%w: %w", carawayspread.ErrEndless, err)
	}
	return nil, err
}

// newRequest returns a request that net/http sends once and as it is.
func newRequest(to carawayspread.Endpoint, out carawayspread.Outbound) *http.Request {
	req := &http.Request{
		Method: out.Method,
		URL:    &url.URL{Scheme: "http", Host: to.Address(), Opaque: out.Target},
		Host:   out.Host,
		Header: withoutDefaults(out.Header),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body:          singleUseBody{bytes.NewReader(out.Body)},
		ContentLength: int64(len(out.Body)),
	}
	if len(out.Body) == 0 && slices.Contains(bodilessMethods, out.Method) {
		req.TransferEncoding = []string{"identity"}
	}
	return req
}

// bodilessMethods are those of which net/http looks whether the body is empty. If that takes 0.2 s, as on a machine
// that is overloaded, it announces chunks, and sends the last one, unless another encoding is stated.
var bodilessMethods = []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, "PROPFIND", "SEARCH"}

// errNoConn says that an answer came over no connection of the client.
var errNoConn = errors.New("the answer came over an unknown connection")

func newReply(resp *http.Response, over *conn, d *delivery) *carawayspread.Reply {
	return &carawayspread.Reply{
		Status: resp.StatusCode, Header: resp.Header, Body: body{resp.Body}, Length: resp.ContentLength, Framing: framing(resp),
		ConnectedAt: over.connectedAt, Connection: over.id, EarlierAnswers: int(over.answers.Add(1)) - 1,
		RetireConnection: func() { over.retire(d) },
	}
}

// body is the body of an answer. What frames it may have no end either.
type body struct{ io.ReadCloser }

func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && framed.FramingTooLong(err) {
		err = fmt.Errorf("%w: %w", carawayspread.ErrEndless, err)
	}
	return n, err
}

// checked returns the reply unless it is refused with err, or its header takes more memory than the bytes of one may.
// net/http bounds these bytes alone: thousands of fields fit into them.
func checked(reply *carawayspread.Reply, err error) (*carawayspread.Reply, error) {
	if n := reply.HeadBytes(); n > maxHeaderBytes {
		err = errors.Join(carawayspread.ErrEndless, fmt.Errorf("the header takes %d bytes", n))
	}
	if err != nil {
		err = errors.Join(err, reply.Body.Close())
		reply.Retire()
		return nil, err
	}
	return reply, nil
}

func framing(resp *http.Response) carawayspread.Framing {
	switch {
	case !framed.Marked(resp):
		return carawayspread.FramingClose
	case len(resp.TransferEncoding) > 0:
		return carawayspread.FramingChunks
	default:
		return carawayspread.FramingLength
	}
}

// Probe implements carawayspread.EndpointProber with a connection that is closed at once.
func (*Client) Probe(ctx context.Context, to carawayspread.Endpoint) error {
	return listening.Probe(ctx, to.Address())
}

// withoutDefaults returns a copy of the headers that keeps net/http from adding its User-Agent.
func withoutDefaults(h http.Header) http.Header {
	out := h.Clone()
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // net/http does not send an empty one
	}
	return out
}
