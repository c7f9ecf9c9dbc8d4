package dynamodb

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotSent marks a request that never got a connection.
var errNotSent = errors.New("request not sent")

// sender tells requests that never got a connection from those whose bytes
// may have left. Only the former are proved to have had no effect.
type sender struct {
	client *http.Client
}

type notSentError struct{ cause error }

func (e *notSentError) Error() string        { return errNotSent.Error() + ": " + e.cause.Error() }
func (e *notSentError) Unwrap() error        { return e.cause }
func (e *notSentError) Is(target error) bool { return target == errNotSent }

// plainBody shows the transport a body by its Read alone. The SDK closes the
// body as soon as the answer begins, and its WriteTo then returns io.EOF as an
// error. A transport that was about to check the end of the body takes this for
// a failed write and closes the connection under the answer: symptom, a read
// that fails with "use of closed network connection", or a write of unknown
// outcome, at a service that is well. Read returns io.EOF too, where it means
// what it should, the end.
type plainBody struct{ io.ReadCloser }

// Do sends the request once.
func (s *sender) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = plainBody{r.Body}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := s.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	return resp, err
}
