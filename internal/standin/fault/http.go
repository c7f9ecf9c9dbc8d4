package fault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

const maxBody = 32 << 20

type counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Handler serves the faults at /faults and the counters at /counters, and passes every other request
// to next, subject to the active faults. isWrite tells writes from reads; throttle writes the
// throttling error in the protocol of next.
func (f *Faults) Handler(next http.Handler, isWrite func(*http.Request) bool, throttle http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", f.serveSet)
	mux.HandleFunc("GET /counters", f.serveCounters)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f.serve(w, r, next, isWrite(r), throttle)
	})
	return mux
}

func (f *Faults) serveSet(w http.ResponseWriter, r *http.Request) {
	var s state
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(func(current *state) { *current = s })
	w.WriteHeader(http.StatusNoContent)
}

func (f *Faults) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counters{Reads: f.Reads(), Writes: f.Writes()})
}

func (f *Faults) serve(w http.ResponseWriter, r *http.Request, next http.Handler, write bool, throttle http.HandlerFunc) {
	// The body is read first, so that a delayed request is executed even after its client has
	// disconnected, as in the real service.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s := f.current()
	if s.Down {
		panic(http.ErrAbortHandler)
	}
	if s.Throttled {
		throttle(w, r)
		return
	}
	if s.SlowMs > 0 {
		<-f.clock.After(time.Duration(s.SlowMs) * time.Millisecond)
	}
	f.execute(w, r, next, write)
}

func (f *Faults) execute(w http.ResponseWriter, r *http.Request, next http.Handler, write bool) {
	if !write {
		f.reads.Add(1)
		next.ServeHTTP(w, r)
		return
	}
	f.writes.Add(1)
	if f.takeLostAnswer() {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}
