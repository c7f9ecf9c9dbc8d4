package objects

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"

	"carawayspread"
	"carawayspread/internal/standin/fault"
)

// Store is the object store. It is an http.Handler and safe for concurrent use.
type Store struct {
	*fault.Faults
	handler http.Handler

	mu      sync.RWMutex
	objects map[string][]byte // by URL path, /bucket/key
}

type failure struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// New returns an empty object store without faults.
func New(clock carawayspread.Clock) *Store {
	s := &Store{Faults: fault.New(clock), objects: map[string][]byte{}}
	s.handler = s.Handler(http.HandlerFunc(s.serve), isWrite, throttle)
	return s
}

// ServeHTTP serves the object protocol and the endpoints for faults and counters.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func isWrite(r *http.Request) bool { return r.Method == http.MethodPut }

func throttle(w http.ResponseWriter, _ *http.Request) {
	writeError(w, http.StatusServiceUnavailable, "SlowDown")
}

func writeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(failure{Code: code, Message: code})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.get(w, r)
	case http.MethodPut:
		s.put(w, r)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.RLock()
	body, ok := s.objects[r.URL.Path]
	s.mu.RUnlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	_, _ = w.Write(body)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	s.mu.Lock()
	s.objects[r.URL.Path] = body
	s.mu.Unlock()
}
