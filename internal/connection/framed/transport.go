// Package framed decides what is an answer over HTTP/1, and whether one is complete.
//
// An HTTP answer that has neither a length nor chunks ends with its connection, and looks the same
// when it is broken off. Bytes that prove nothing by themselves, such as an object or a protobuf
// message, must not be read from one. Conn says which others may be complete.
package framed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"

	"carawayspread"
)

// ErrUnmarked means that an answer has neither a length nor chunks.
var ErrUnmarked = errors.New("the answer has neither a length nor chunks")

// Marked reports whether the end of the answer's body is marked by a length or by chunks.
func Marked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// Check returns an error that matches carawayspread.ErrMalformed if what arrived in the exchange is not an answer.
// Otherwise its body can be read to a proved end. Nothing of it has been read. An answer over TLS has no exchange: its
// bytes are not those of HTTP/1 on the connection, and TLS marks the end of a connection.
func Check(resp *http.Response, x *Exchange) error {
	if x == nil {
		return checkHead(resp, headLines{})
	}
	x.unmarked.Store(!Marked(resp))
	return checkHead(resp, x.head())
}

// Transport is an http.RoundTripper that returns ErrUnmarked for answers whose end nothing marks, unless they are
// allowed.
type Transport struct {
	next          *http.Transport
	allowUnmarked bool
}

// Option sets an optional part of a Transport.
type Option func(*Transport)

// AllowUnmarked has a Transport return answers whose end nothing marks. Reading one ends with an error unless it is
// proved to be complete as far as its connection shows; see Conn.
func AllowUnmarked() Option { return func(t *Transport) { t.allowUnmarked = true } }

// New returns a Transport that sends requests through a copy of next.
func New(next *http.Transport, opts ...Option) *Transport {
	t := &Transport{next: next.Clone()}
	for _, opt := range opts {
		opt(t)
	}
	dial := next.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Watch(conn, carawayspread.SystemClock()), nil
	}
	return t
}

// errNoConn says that an answer came over no connection of the transport.
var errNoConn = errors.New("the answer came over an unknown connection")

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var over atomic.Pointer[Exchange]
	traced := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				over.Store(conn.Begin(req.ContentLength))
			}
		},
	})
	resp, err := t.next.RoundTrip(req.WithContext(traced))
	switch {
	case err != nil:
		return nil, err
	case over.Load() == nil && resp.TLS == nil:
		return nil, errors.Join(errNoConn, resp.Body.Close())
	}
	err = Check(resp, over.Load())
	if err == nil && !t.allowUnmarked && !Marked(resp) {
		err = ErrUnmarked
	}
	if err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// These are parts of the errors of net/http, which have no type, for what is too long besides bodies: of heads,
// and of chunks and trailers.
var (
	endlessHeads   = []string{"response headers exceeded", "too many 1xx"}
	endlessFraming = []string{"header line too long", "chunk length too large", "too much non-data", "suspiciously long trailer"}
)

// HeadTooLong reports whether the error of a http.RoundTripper says that the server sent too long a head. It runs,
// and is at fault.
func HeadTooLong(err error) bool { return contains(err, endlessHeads) }

// FramingTooLong reports the same of an error of a body, and what frames it.
func FramingTooLong(err error) bool { return contains(err, endlessFraming) }

func contains(err error, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(err.Error(), part) })
}
