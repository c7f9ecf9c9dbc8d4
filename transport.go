package carawayspread

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Bounds on when a request arrives at its endpoint.
const (
	// MaxConnectTime bounds connecting. Endpoints accept connections within a few milliseconds. A lost SYN is
	// retransmitted after one second, and by then another endpoint is the better choice.
	MaxConnectTime = 900 * time.Millisecond
	// MaxUnacknowledged is how long sent data may stay unacknowledged before the connection is closed. It must
	// exceed the loss of a few packets in a row, and stay below the gap between events after which callers
	// disconnect.
	MaxUnacknowledged = 1200 * time.Millisecond
)

// Outbound is a request as it is sent to an endpoint.
type Outbound struct {
	Method string
	Target string // path and query, exactly as the caller sent them
	Host   string
	Header http.Header // end-to-end headers; not modified by an EndpointTransport
	Body   []byte      // not modified
	// Alone makes the request the only one on its connection, so that what is answered is answered to it.
	Alone bool
	// Proceed is asked before the first byte is written, once there is a connection. If it returns false,
	// nothing is sent. It may be nil.
	Proceed func() bool
}

// Framing is how the end of an answer is marked.
type Framing int

// Framings of an answer.
const (
	FramingChunks Framing = iota // a last chunk
	FramingLength                // an announced length
	FramingClose                 // the end of the connection
)

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingClose:
		return "close"
	default:
		return "chunks"
	}
}

// Reply is an endpoint's answer. Its Body may still be arriving.
type Reply struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser // ends with io.EOF only if the answer is complete; see Framing
	Length  int64         // of the body in bytes; -1 if unknown
	Framing Framing       // FramingClose proves little: an endpoint that is lost may end its answer in the same way
	// ConnectedAt is when the connection was established over which the answer came; zero if unknown.
	ConnectedAt time.Time
	// Connection identifies that connection within the process; zero if unknown.
	Connection uint64
	// EarlierAnswers is how many answers came over that connection before this one.
	EarlierAnswers int
	// RetireConnection implements Retire; nil if the connection cannot be retired.
	RetireConnection func()
}

// Retire keeps the connection over which the reply came from carrying further requests. The rest of the
// body may be lost.
func (r *Reply) Retire() {
	if r.RetireConnection != nil {
		r.RetireConnection()
	}
}

// Succeeded reports whether the status of an answer says that its endpoint ran the request without an error.
func Succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// ErrUnsent means that no byte of the request can have reached the endpoint.
var ErrUnsent = errors.New("nothing was sent")

// ErrWithdrawn means that Outbound.Proceed returned false.
var ErrWithdrawn = errors.New("the endpoint takes no more requests")

// ErrEndless means that an endpoint sent more than an answer may have. It runs, and is at fault.
var ErrEndless = errors.New("the answer has no end")

// ErrMalformed means that an endpoint sent a head that is not that of an answer. It runs, and is at fault; whether it
// has run the request is unknown.
var ErrMalformed = errors.New("the endpoint's answer is malformed")

// ErrUnproved means that nothing marks the end of an answer, and that nothing proves that it is complete.
var ErrUnproved = errors.New("nothing proves that the answer is complete")

// headFieldBytes is what a field of a header takes beside its text, in the header as it came and in copies of it.
const headFieldBytes = 256

// HeadBytes returns about how much memory the header of the reply takes.
func (r *Reply) HeadBytes() (n int) {
	for name, values := range r.Header {
		for _, value := range values {
			n += headFieldBytes + len(name) + len(value)
		}
	}
	return n
}

// ErrNoMemory means that a process has no room for what it would have to hold of an answer.
var ErrNoMemory = errors.New("there is no memory for the answer")

// MemoryBudget bounds what all readers of a process hold together. It is safe for concurrent use.
type MemoryBudget interface {
	// Take reserves n bytes. It returns false, and reserves none, if there is no room for them.
	Take(n int) bool
	Release(n int)
}

// ErrNotListening means that nothing accepts connections at the endpoint's address.
var ErrNotListening = errors.New("nothing listens at the address")

// EndpointTransport sends requests to endpoints. It sends each request once and never retries.
// Cancelling the context stops the work at the endpoint as far as the endpoint supports that.
type EndpointTransport interface {
	// Send returns when the header of the answer has arrived. An error that matches ErrUnsent
	// proves that the request has not run; after any other error that is unknown.
	Send(ctx context.Context, to Endpoint, out Outbound) (*Reply, error)
}

// EndpointProber checks whether endpoints are running.
type EndpointProber interface {
	// Probe returns nil if a connection to the endpoint's address is accepted, possibly by a process
	// that has taken the place of the endpoint. An error that matches ErrNotListening proves that
	// nothing runs at its address; after any other error that is unknown.
	Probe(ctx context.Context, to Endpoint) error
}
