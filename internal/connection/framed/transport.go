// Package framed rejects answers whose end nothing marks.
//
// An HTTP answer that has neither a length nor chunks ends with its connection, and looks the same
// when it is broken off. Bytes that prove nothing by themselves, such as an object or a protobuf
// message, must not be read from one.
package framed

import (
	"errors"
	"net/http"
	"slices"
	"strings"
)

// ErrUnmarked means that an answer has neither a length nor chunks.
var ErrUnmarked = errors.New("the answer has neither a length nor chunks")

// Marked reports whether the end of the answer's body is marked by a length or by chunks.
func Marked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// Transport is an http.RoundTripper that returns ErrUnmarked for answers whose end nothing marks.
type Transport struct{ next *http.Transport }

// New returns a Transport that sends requests through next.
func New(next *http.Transport) *Transport { return &Transport{next: next} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil || Marked(resp) {
		return resp, err
	}
	return nil, errors.Join(ErrUnmarked, resp.Body.Close())
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
