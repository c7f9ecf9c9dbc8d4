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

// Store is the weight store. It is an http.Handler and safe for concurrent use.
type Store struct {
	*fault.Faults
	handler  http.Handler
	clock    carawayspread.Clock
	interval time.Duration // between two served requests after the burst; positive
	burst    int           // requests served at once; at least 1
	size     int           // bytes of each response

	mu   sync.Mutex
	next time.Time // when the full burst is available again
}

// New returns a store that serves burst requests at once and then one per interval, each with size
// bytes.
func New(clock carawayspread.Clock, interval time.Duration, burst, size int) *Store {
	s := &Store{Faults: fault.New(clock), clock: clock, interval: interval, burst: burst, size: size}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name...}", s.serve)
	s.handler = s.Handler(mux, func(*http.Request) bool { return false }, s.throttle)
	return s
}

// ServeHTTP serves the weights and the endpoints for faults and counters.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Store) throttle(w http.ResponseWriter, _ *http.Request) { refuse(w, s.interval) }

func refuse(w http.ResponseWriter, wait time.Duration) {
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
	w.WriteHeader(http.StatusTooManyRequests)
}

func (s *Store) serve(w http.ResponseWriter, _ *http.Request) {
	if wait := s.admit(); wait > 0 {
		refuse(w, wait)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	_, _ = w.Write(make([]byte, s.size))
}

// admit admits one request and returns zero, or returns the time until one can be admitted.
func (s *Store) admit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.next.Before(now) {
		s.next = now
	}
	after := s.next.Add(s.interval)
	if wait := after.Sub(now) - time.Duration(s.burst)*s.interval; wait > 0 {
		return wait
	}
	s.next = after
	return 0
}
