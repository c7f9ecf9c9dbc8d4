package sidecarhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/framed"
)

const (
	connectTimeout  = 500 * time.Millisecond
	maxIdleConns    = 64
	idleTimeout     = 90 * time.Second
	maxRefusalBytes = 64 << 10
)

// MaxHeaderBytes bounds the header of an endpoint's answer. A sidecar adds at most ownHeaderBytes.
const (
	MaxHeaderBytes = 64 << 10
	ownHeaderBytes = 4 << 10
)

// Attempt is one attempt to run a request at an endpoint.
type Attempt struct {
	ID        string
	Endpoint  carawayspread.EndpointID
	Address   string // IP address and port of the sidecar
	Method    string
	Path      string // at the endpoint, including the query
	Header    http.Header
	Body      []byte
	Remaining time.Duration // time left for the first byte; not sent unless positive
	// AtMostOnce keeps the transport from sending the request a second time by itself.
	AtMostOnce bool
}

// Answer is the answer of an endpoint. Its body returns io.EOF only if the answer is proved to be
// complete, or nothing marks its end; otherwise it ends with a *carawayspread.Error.
type Answer struct {
	Status   int
	Header   http.Header
	Length   int64 // in bytes; -1 if the endpoint did not announce it
	Unmarked bool  // nothing marks the end at the endpoint but the end of the connection
	Load     *Load // nil if the sidecar did not report it
	Body     io.ReadCloser
}

// Client sends attempts to sidecars. It is safe for concurrent use.
type Client struct {
	pooled       *framed.Transport
	unpooled     *framed.Transport
	stallTimeout time.Duration
}

// NewClient returns a client that cancels an attempt if neither data nor a heartbeat has arrived
// for stallTimeout.
func NewClient(stallTimeout time.Duration) *Client {
	pooled := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes + ownHeaderBytes,
		DisableCompression:     true,
	}
	// net/http retries a request by itself if a reused connection turns out to be closed. A
	// request that must run at most once could thereby be started twice, so such an attempt gets
	// a new connection, on which net/http never retries.
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: framed.New(pooled, framed.AllowUnmarked()), unpooled: framed.New(unpooled, framed.AllowUnmarked()), stallTimeout: stallTimeout}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends the attempt and returns when the header of the answer has arrived. Its error is a
// *carawayspread.Error, which states if it is certain that the request has not run.
func (c *Client) Do(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stallTimer := newWatchdog(c.stallTimeout, cancel)
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { connected.Store(true); reused.Store(info.Reused) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { stallTimer.touch(); return nil },
	})
	req, err := newRequest(ctx, a)
	if err != nil {
		stallTimer.stop()
		cancel(nil)
		return nil, err
	}
	resp, err := c.transport(a).RoundTrip(req)
	if err != nil {
		stallTimer.stop()
		failure := roundTripError(context.Cause(ctx), err, connected.Load())
		cancel(nil)
		return nil, failure
	}
	stallTimer.touch()
	body := &verifiedBody{resp: resp, stallTimer: stallTimer, cancel: cancel, checksum: newChecksum()}
	code, answers := resp.Header.Get(HeaderRefused), resp.Header.Get(HeaderAttempt)
	// Sidecars of older releases do not name the attempt that they refuse. What comes first on a connection
	// cannot belong to another one.
	firstRefusal := code != "" && answers == "" && !reused.Load()
	if answers != a.ID && !firstRefusal {
		_ = body.Close()
		return nil, carawayspread.NewError(carawayspread.CodeEndpointFailed, "the answer belongs to another attempt")
	}
	if code != "" {
		defer func() { _ = body.Close() }()
		return nil, refusalError(code, resp)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: announcedLength(resp), Unmarked: unmarked(resp), Load: ParseLoad(resp.Header), Body: body}, nil
}

func (c *Client) transport(a Attempt) *framed.Transport {
	if a.AtMostOnce {
		return c.unpooled
	}
	return c.pooled
}

func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	// The request has no GetBody: the transport cannot rewind the body and thus never sends it
	// twice.
	var body io.Reader
	if len(a.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(a.Body))
	}
	target := "http://" + a.Address + PathPrefix + string(a.Endpoint) + a.Path
	req, err := http.NewRequestWithContext(ctx, a.Method, target, body)
	if err != nil {
		return nil, carawayspread.NewError(carawayspread.CodeMalformed, "the path or method cannot be sent on",
			carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	req.ContentLength = int64(len(a.Body))
	req.Header = a.Header
	req.Header.Set(HeaderAttempt, a.ID)
	if a.Remaining > 0 {
		SetRemaining(req.Header, a.Remaining)
	}
	return req, nil
}

func roundTripError(cause, err error, connected bool) *carawayspread.Error {
	if !connected {
		// Without a connection, no byte was sent.
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint's sidecar cannot be reached",
			carawayspread.NotRun(), carawayspread.CausedBy(errors.Join(ErrUnreachable, err)))
	}
	if errors.Is(cause, errStalled) {
		return carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint's sidecar has fallen silent",
			carawayspread.CausedBy(cause))
	}
	return carawayspread.NewError(carawayspread.CodeEndpointFailed, "the connection to the endpoint's sidecar was cut",
		carawayspread.CausedBy(errors.Join(ErrConnectionLost, err)))
}

// RefusalBody is the body of a refusal by the sidecar.
type RefusalBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func refusalError(code string, resp *http.Response) *carawayspread.Error {
	var body RefusalBody
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if json.Unmarshal(text, &body) != nil || body.Error.Message == "" {
		body.Error.Message = "refused by the endpoint's sidecar"
	}
	opts := []carawayspread.ErrorOption{}
	if resp.Header.Get(HeaderNotRun) == "true" {
		opts = append(opts, carawayspread.NotRun())
	}
	if resp.Header.Get(HeaderCrashed) == "true" {
		opts = append(opts, carawayspread.CausedBy(ErrCrashed))
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		opts = append(opts, carawayspread.RetryAfter(time.Duration(seconds)*time.Second))
	}
	return carawayspread.NewError(carawayspread.Code(code), body.Error.Message, opts...)
}

func unmarked(resp *http.Response) bool { return resp.Header.Get(HeaderFraming) == FramingClose }

func announcedLength(resp *http.Response) int64 {
	length, err := strconv.ParseInt(resp.Header.Get(HeaderLength), 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// ErrCrashed is in the chain of an error if the endpoint crashed while it ran the request.
var ErrCrashed = trace.Errorf("the endpoint crashed while it ran the request")

// ErrConnectionLost is in the chain of an error if the connection to the sidecar broke while the
// endpoint may have been running the request.
var ErrConnectionLost = trace.Errorf("the connection to the sidecar was lost")

// ErrUnreachable is in the chain of an error if no connection to the sidecar was established.
var ErrUnreachable = trace.Errorf("no connection to the sidecar")
