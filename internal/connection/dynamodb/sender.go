package dynamodb

import (
	"errors"
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

// Do sends the request once.
func (s *sender) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := s.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	return resp, err
}
