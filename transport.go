package carawayspread

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// Outbound is one request as an endpoint gets it.
type Outbound struct {
	Method string
	Target string // path and query exactly as the caller sent them
	Host   string
	Header http.Header // end-to-end headers; not modified by an EndpointTransport
	Body   []byte      // not modified
}

// Reply is an endpoint's answer, of which Body may still be arriving.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser // ends with io.EOF only where the answer is whole
	Length int64         // of the body in bytes; -1 where it is not stated
}

// ErrUnsent says that no byte of the request can have reached the endpoint.
var ErrUnsent = errors.New("nothing was sent")

// EndpointTransport is a way to an endpoint. It sends each request once: it never
// repeats one by itself. Cancelling the context ends the work at the endpoint
// as far as the endpoint allows.
type EndpointTransport interface {
	// Send returns when the header of the answer is there. An error that
	// matches ErrUnsent proves that the request has not run; any other leaves
	// it open.
	Send(ctx context.Context, to Endpoint, out Outbound) (*Reply, error)
}
