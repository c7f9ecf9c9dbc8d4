// Package server runs HTTP servers in a run group, with a time limit on every
// part of a request that its peer controls, and a shutdown that cuts nothing.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"carawayspread"
)

// Defaults of a Server.
const (
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 2 * time.Minute
	idleTimeout       = 2 * time.Minute
	headerLimit       = 64 << 10 // bytes
)

// Server is one HTTP server at an address.
type Server struct {
	listener net.Listener
	http     *http.Server
	// abort ends the context that all requests descend from.
	abort context.CancelCauseFunc
}

// Option sets a limit of a Server.
type Option func(*http.Server)

// WithTimeouts bounds how long a peer may take to send the header, and the
// whole, of a request, and how long an unused connection is kept. Answers have
// no limit: net/http lifts the deadline when the body has been read.
func WithTimeouts(header, body, idle time.Duration) Option {
	return func(s *http.Server) {
		s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout = header, body, idle
	}
}

// WithHeaderLimit bounds the header of a request in bytes.
func WithHeaderLimit(n int) Option { return func(s *http.Server) { s.MaxHeaderBytes = n } }

// Listen opens the address; serving begins with Run.
func Listen(address string, handler http.Handler, opts ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return New(listener, handler, opts...), nil
}

// New returns a server of connections that the listener takes; serving begins
// with Run.
func New(listener net.Listener, handler http.Handler, opts ...Option) *Server {
	serving, abort := context.WithCancelCause(context.Background())
	s := &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return serving },
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
	for _, opt := range opts {
		opt(s)
	}
	return &Server{listener: listener, http: s, abort: abort}
}

// Address returns IP number and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until Shutdown.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting and waits, without limit but ctx, until every
// request has its answer.
func (s *Server) Shutdown(ctx context.Context) error { return trace.Wrap(s.http.Shutdown(ctx)) }

// Abort ends the contexts of all requests, those that still come included, with the cause.
func (s *Server) Abort(cause error) { s.abort(cause) }

// ShutdownWithin stops accepting and returns after twice that time at the latest. Requests that take
// longer than it have their contexts ended, and what is left then is closed.
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

// HandleHealthAndMetrics adds the paths that every daemon has: /healthz answers while the
// process lives, /readyz while ready returns true, and /metrics.
func HandleHealthAndMetrics(mux *http.ServeMux, ready func() bool, sets ...*metrics.Set) {
	HandleHealth(mux, ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		for _, set := range sets {
			set.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
}

// HandleHealth adds /healthz and /readyz alone, for the address that the
// platform's balancer and callers reach.
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
