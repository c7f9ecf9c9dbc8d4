// Package plain is a stand-in for a plain service, with records that can be read and receipts that
// must not be issued twice. It records the receipts issued, so that tests can find a request
// that ran twice.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const bodyLimit = 4 << 20

// Service is one endpoint of a plain service. It is safe for concurrent use.
type Service struct {
	mux   *http.ServeMux
	delay time.Duration

	mu       sync.Mutex
	receipts []string // bodies of the receipts issued, in order
}

// New returns a service that delays each read and each issue of a receipt.
func New(delay time.Duration) *Service {
	s := &Service{mux: http.NewServeMux(), delay: delay}
	s.mux.HandleFunc("GET /records/{id}", s.read)
	s.mux.HandleFunc("POST /receipts", s.issue)
	s.mux.HandleFunc("GET /receipts", s.list)
	s.mux.HandleFunc("GET /state", s.state)
	return s
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	s.mux.ServeHTTP(w, r)
}

// Receipts returns the bodies of the receipts issued, in order.
func (s *Service) Receipts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.receipts...)
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	writeJSON(w, http.StatusOK, map[string]string{"record": r.PathValue("id")})
}

func (s *Service) issue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "unreadable body"})
		return
	}
	s.mu.Lock()
	s.receipts = append(s.receipts, string(body))
	n := len(s.receipts)
	s.mu.Unlock()
	time.Sleep(s.delay)
	writeJSON(w, http.StatusCreated, map[string]int{"receipt": n})
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string][]string{"receipts": s.Receipts()})
}

func (s *Service) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
