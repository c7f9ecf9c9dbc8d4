// Package server provides HTTP servers for a run group. They limit the time of each part of a request
// that the client controls, and have a graceful shutdown.
package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/callers"
	"carawayspread/internal/request/body"
)

// Default limits of a Server.
const (
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 2 * time.Minute
	idleTimeout       = 2 * time.Minute
	headerLimit       = 64 << 10 // bytes
	// QueryLimit bounds the body of a query by another process, which has some hundred bytes.
	QueryLimit = 64 << 10
)

// Server is an HTTP server on one address.
type Server struct {
	listener  net.Listener
	http      *http.Server
	bodyLimit int64 // bytes of a body that is read before its request is handled; zero if the handler reads it
	// abort cancels the parent context of all requests.
	abort context.CancelCauseFunc
}

// Option sets a limit of a Server.
type Option func(*Server)

// WithTimeouts limits the time in which a client must send the header and the whole request, and how
// long an idle connection is kept. Responses have no time limit, because net/http removes the read
// deadline once the body has been read.
func WithTimeouts(header, body, idle time.Duration) Option {
	return func(s *Server) {
		s.http.ReadHeaderTimeout, s.http.ReadTimeout, s.http.IdleTimeout = header, body, idle
	}
}

// WithHeaderLimit limits the size of a request header in bytes.
func WithHeaderLimit(n int) Option { return func(s *Server) { s.http.MaxHeaderBytes = n } }

// WithBodyLimit limits the size of a request body in bytes, and has it read before the request is handled. A
// connection on which more arrives is closed. Without this option the handler reads the bodies.
func WithBodyLimit(n int64) Option { return func(s *Server) { s.bodyLimit = n } }

// WithAccounts has the connections accounted for, and bounds what the kernel receives for each of them, in bytes.
func WithAccounts(open callers.OpenAccount, receiveBuffer int) Option {
	return func(s *Server) {
		if l, ok := s.listener.(syscall.Conn); ok {
			_ = callers.BoundReceiveBuffers(l, receiveBuffer) // without it the kernel holds more of what is not read
		}
		s.listener = callers.Account(s.listener, open)
		s.http.ConnState = callers.ConnState
	}
}

// Listen returns a server on the address. It serves once Run is called.
func Listen(address string, handler http.Handler, opts ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return New(listener, handler, opts...), nil
}

// New returns a server for the connections of the listener. It serves once Run is called.
func New(listener net.Listener, handler http.Handler, opts ...Option) *Server {
	requestCtx, abort := context.WithCancelCause(context.Background())
	s := &Server{listener: listener, abort: abort, http: &http.Server{
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		ConnContext:       callers.ConnContext,
	}}
	for _, opt := range opts {
		opt(s)
	}
	s.http.Handler = handler
	if s.bodyLimit > 0 {
		s.http.Handler = withBody(handler, s.bodyLimit)
	}
	return s
}

// withBody reads the body of each request before it is handled.
func withBody(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := callers.AccountOf(r.Context())
		text, err := body.Read(account, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
		if err == nil {
			err = account.Received()
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
		next.ServeHTTP(w, r)
	})
}

func statusOf(err error) int {
	switch {
	case errors.As(err, &body.TooLargeError{}):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, carawayspread.ErrGivenUp):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until Shutdown or ShutdownWithin is called, and then returns nil at once.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting connections and waits until all requests are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return trace.Wrap(s.http.Shutdown(ctx)) }

// Abort cancels the contexts of all current and future requests with the cause.
func (s *Server) Abort(cause error) { s.abort(cause) }

// ShutdownWithin stops accepting connections and returns after at most twice the given time. Requests
// that take longer than that time are canceled, and after the same time again the remaining
// connections are closed.
func (s *Server) ShutdownWithin(within time.Duration) {
	if s.shutdown(within) == nil {
		return
	}
	s.Abort(carawayspread.ErrShutdown)
	if s.shutdown(within) != nil {
		_ = s.http.Close()
	}
}

func (s *Server) shutdown(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.http.Shutdown(ctx)
}

// HandleHealthAndMetrics adds the paths that every daemon has: /healthz succeeds while the process
// runs, /readyz while ready returns true, and /metrics returns the metrics of the sets and of the
// process.
func HandleHealthAndMetrics(mux *http.ServeMux, ready func() bool, sets ...*metrics.Set) {
	HandleHealth(mux, ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		for _, set := range sets {
			set.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
}

// HandleHealth adds only /healthz and /readyz, for the address that callers and the platform's load
// balancer use.
func HandleHealth(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("leaving\n"))
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
}
