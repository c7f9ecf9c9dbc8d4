package instances

import (
	"encoding/json"
	"net/http"

	"carawayspread"
)

// listing is the JSON body of the list.
type listing struct {
	Instances []carawayspread.Instance `json:"instances"`
}

func isWrite(r *http.Request) bool { return r.Method != http.MethodGet }

func throttle(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "throttled", http.StatusTooManyRequests)
}

func (l *List) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("POST /instances", l.servePut)
	mux.HandleFunc("PUT /instances/{id}", l.servePut)
	mux.HandleFunc("DELETE /instances/{id}", l.serveRemove)
	return mux
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	v := l.visible()
	w.Header().Set("ETag", v.etag())
	if r.Header.Get("If-None-Match") == v.etag() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listing{Instances: v.sorted()})
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var instance carawayspread.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.PathValue("id"); id != "" {
		instance.ID = id
	}
	if instance.ID == "" {
		http.Error(w, "an instance needs an id", http.StatusBadRequest)
		return
	}
	l.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveRemove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
