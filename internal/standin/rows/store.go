// Package rows is a stand-in of the users' store: tables of rows with a feed of
// changes, of which the history can be dropped.
package rows

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is one row as the store speaks it.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// id is what names a row.
type id struct{ table, part, key string }

func (r Row) id() id { return id{r.Table, r.Part, r.Key} }

type answer struct {
	Rows []Row `json:"rows"`
	More bool  `json:"has_more"`
	Ver  int64 `json:"ver"`
	Now  int64 `json:"now_ms"` // the store's steady clock
}

// Store is an http.Handler. It is safe for concurrent use.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[id]Row
	history []Row
	ver     int64
	oldest  int64 // changes up to this version are dropped
	changed chan struct{}
	mode    int // answers with this status instead; zero serves
	calls   int
	lose    int // transactions whose answers are lost
	hushed  bool
	idle    int // routes that nobody uses
	era     int // how often the store came back from a copy, and one
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), rows: map[id]Row{}, changed: make(chan struct{}), era: 1}
}

// shows returns the store's steady clock, which began a second before the store.
func (s *Store) shows() int64 { return time.Since(s.started).Milliseconds() + 1000 }

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.write(Row{Table: table, Key: key, Value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) { s.write(Row{Table: table, Key: key, Tombstone: true}) }

func (s *Store) write(rows ...Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(rows...)
}

func (s *Store) writeLocked(rows ...Row) {
	s.ver++
	for _, row := range rows {
		row.Ver = s.ver
		s.history = append(s.history, row)
		if row.Tombstone {
			delete(s.rows, row.id())
		} else {
			s.rows[row.id()] = row
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.ver
	close(s.changed)
	s.changed = make(chan struct{})
}

// FailWith makes every call end with that status; zero serves again.
func (s *Store) FailWith(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = status
	close(s.changed)
	s.changed = make(chan struct{})
}

// SuppressChanges keeps calls that wait for changes from hearing of any until their wait ends.
func (s *Store) SuppressChanges(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hushed = on
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP answers the calls that read.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if s.era != 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	s.mu.Unlock()
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != 0 {
		w.WriteHeader(s.mode)
		return
	}
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	a := answer{Rows: []Row{}, Ver: s.ver, Now: s.shows()}
	for id, row := range s.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") &&
			(query.Get("to") == "" || id.key < query.Get("to")) {
			a.Rows = append(a.Rows, row)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if limit > 0 && len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a := answer{Rows: []Row{}, Ver: s.ver, Now: s.shows()}
		for _, row := range s.history {
			if row.Ver > after && row.Table == r.URL.Query().Get("table") {
				a.Rows = append(a.Rows, row)
			}
		}
		status, changed, hushed := s.mode, s.changed, s.hushed && wait > 0
		if status == 0 && (after < s.oldest || after > s.ver) {
			status = http.StatusGone
		}
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if hushed {
			a.Rows, a.Ver = []Row{}, after
		}
		if len(a.Rows) > 0 {
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			a.Now = s.shows()
			_ = json.NewEncoder(w).Encode(a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// LoseAnswers makes the next transactions take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []Row `json:"expected_rev"`
		Puts     []Row `json:"puts"`
		Remove   []Row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != 0 {
		w.WriteHeader(s.mode)
		return
	}
	for _, row := range tx.Expected {
		if s.rows[row.id()].Ver != row.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(answer{Rows: []Row{}, Ver: s.ver, Now: s.shows()})
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Tombstone = true
	}
	s.writeLocked(append(tx.Puts, tx.Remove...)...)
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(answer{Rows: []Row{}, Ver: s.ver, Now: s.shows()})
}
