package dynamodb

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotSent marks a request that never obtained a connection.
var errNotSent = errors.New("request not sent")

// sender distinguishes requests that never obtained a connection from those of which bytes may have
// been sent. Only the former are proven to have had no effect.
type sender struct {
	client *http.Client
}

type notSentError struct{ cause error }

func (e *notSentError) Error() string        { return errNotSent.Error() + ": " + e.cause.Error() }
func (e *notSentError) Unwrap() error        { return e.cause }
func (e *notSentError) Is(target error) bool { return target == errNotSent }

// readerBody hides every method of a request body but Read and Close from the transport.
//
// The SDK closes the body as soon as the answer begins, and the WriteTo of a closed body returns
// io.EOF as an error. A transport that is about to check the end of the body takes this for a
// failed write and closes the connection while the answer is being read. Reads then fail with "use
// of closed network connection" and writes have an unknown outcome, although the service works.
// Read returns io.EOF as well, where it correctly means the end.
type readerBody struct{ io.ReadCloser }

// Do sends the request once.
func (s *sender) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = readerBody{r.Body}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := s.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	return resp, err
}
