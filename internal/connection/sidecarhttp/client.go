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
)

const (
	dialTimeout      = 500 * time.Millisecond
	idlePerEndpoint  = 64
	idleTimeout      = 90 * time.Second
	headerLimit      = 64 << 10
	refusalBodyLimit = 64 << 10
)

// Attempt is one try to have a request run at an endpoint.
type Attempt struct {
	ID        string
	Endpoint  carawayspread.EndpointID
	Address   string // IP number and port of the sidecar
	Method    string
	Path      string // at the endpoint, with its query
	Header    http.Header
	Body      []byte
	Remaining time.Duration // for the first byte; not positive: not stated
	// AtMostOnce forbids the transport to send the request a second time by itself.
	AtMostOnce bool
}

// Answer is what an endpoint answers. Its body returns io.EOF only when the
// answer is proved to be whole; otherwise it ends with an *carawayspread.Error.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // -1 when the endpoint did not announce it
	Load   *Load // nil when the sidecar did not tell it
	Body   io.ReadCloser
}

// Client sends attempts to sidecars, safe for concurrent use.
type Client struct {
	shared *http.Transport
	fresh  *http.Transport
	stall  time.Duration
}

// NewClient returns a client that gives up an attempt on which nothing, not
// even a heartbeat, has arrived for stall.
func NewClient(stall time.Duration) *Client {
	shared := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		DisableCompression:     true,
	}
	// net/http repeats a request on its own when a kept connection turns out
	// to be closed. For work that runs at most once this would be a second
	// start, so these attempts get a connection of their own, which is never
	// repeated.
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return &Client{shared: shared, fresh: fresh, stall: stall}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends the attempt and returns when the answer's header is there. Its
// error is a *carawayspread.Error, which says whether the request has not run.
func (c *Client) Do(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	guard := newWatchdog(c.stall, cancel)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { connected.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { guard.touch(); return nil },
	})
	req, err := request(ctx, a)
	if err != nil {
		guard.stop()
		cancel(nil)
		return nil, err
	}
	resp, err := c.transport(a).RoundTrip(req)
	if err != nil {
		guard.stop()
		failure := roundTripFailure(context.Cause(ctx), err, connected.Load())
		cancel(nil)
		return nil, failure
	}
	guard.touch()
	body := &wholeBody{resp: resp, guard: guard, cancel: cancel, sum: newSum()}
	if code := resp.Header.Get(HeaderRefused); code != "" {
		defer func() { _ = body.Close() }()
		return nil, refusal(code, resp)
	}
	if resp.Header.Get(HeaderAttempt) != a.ID {
		_ = body.Close()
		return nil, carawayspread.NewError(carawayspread.CodeEndpointFailed, "the answer belongs to another attempt")
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: announced(resp), Load: ParseLoad(resp.Header), Body: body}, nil
}

func (c *Client) transport(a Attempt) *http.Transport {
	if a.AtMostOnce {
		return c.fresh
	}
	return c.shared
}

func request(ctx context.Context, a Attempt) (*http.Request, error) {
	// The body is a plain reader without GetBody: the transport cannot rewind
	// it and so never sends it twice.
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

func roundTripFailure(cause, err error, connected bool) *carawayspread.Error {
	if !connected {
		// Without a connection no byte has left this process.
		return carawayspread.NewError(carawayspread.CodeNoEndpoint, "the endpoint's sidecar cannot be reached",
			carawayspread.NotRun(), carawayspread.CausedBy(errors.Join(ErrUnreachable, err)))
	}
	if errors.Is(cause, errStalled) {
		return carawayspread.NewError(carawayspread.CodeEndpointFailed, "the endpoint's sidecar has fallen silent",
			carawayspread.CausedBy(cause))
	}
	return carawayspread.NewError(carawayspread.CodeEndpointFailed, "the connection to the endpoint's sidecar was cut",
		carawayspread.CausedBy(err))
}

// RefusalBody is the body of a refusal that the sidecar made.
type RefusalBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func refusal(code string, resp *http.Response) *carawayspread.Error {
	var body RefusalBody
	text, _ := io.ReadAll(io.LimitReader(resp.Body, refusalBodyLimit))
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

func announced(resp *http.Response) int64 {
	length, err := strconv.ParseInt(resp.Header.Get(HeaderLength), 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// ErrCrashed is in the chain of an error when the endpoint crashed while it
// ran the request.
var ErrCrashed = trace.Errorf("the endpoint crashed while it ran the request")

// ErrUnreachable is in the chain of an error when no connection to the sidecar
// came about.
var ErrUnreachable = trace.Errorf("no connection to the sidecar")
