package weights

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"carawayspread"
	"carawayspread/internal/standin/fault"
)

// Store is the stand-in. It is an http.Handler, safe for concurrent use.
type Store struct {
	*fault.Faults
	handler http.Handler
	clock   carawayspread.Clock
	every   time.Duration // between two served requests, once the burst is used; positive
	burst   int           // requests served at once; at least 1
	size    int           // bytes of every weight

	mu   sync.Mutex
	next time.Time // when the requests served so far are paid off
}

// New returns a store that serves burst requests at once and then one every
// interval, each of size bytes.
func New(clock carawayspread.Clock, every time.Duration, burst, size int) *Store {
	s := &Store{Faults: fault.New(clock), clock: clock, every: every, burst: burst, size: size}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name...}", s.serve)
	s.handler = s.Handler(mux, func(*http.Request) bool { return false }, s.throttle)
	return s
}

// ServeHTTP serves the weights, the faults and the counters.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Store) throttle(w http.ResponseWriter, _ *http.Request) { refuse(w, s.every) }

func refuse(w http.ResponseWriter, wait time.Duration) {
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
	w.WriteHeader(http.StatusTooManyRequests)
}

func (s *Store) serve(w http.ResponseWriter, _ *http.Request) {
	if wait := s.take(); wait > 0 {
		refuse(w, wait)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	_, _ = w.Write(make([]byte, s.size))
}

// take admits one request, or returns how long the next has to wait.
func (s *Store) take() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.next.Before(now) {
		s.next = now
	}
	after := s.next.Add(s.every)
	if wait := after.Sub(now) - time.Duration(s.burst)*s.every; wait > 0 {
		return wait
	}
	s.next = after
	return 0
}
