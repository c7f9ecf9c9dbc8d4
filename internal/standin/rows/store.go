// Package rows is a stand-in for the platform's store: tables of rows with a feed of changes, whose
// history can be dropped.
package rows

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is one row in the JSON form of the store's protocol.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// id identifies a row.
type id struct{ table, part, key string }

func (r Row) id() id { return id{r.Table, r.Part, r.Key} }

type response struct {
	Rows []Row `json:"rows"`
	More bool  `json:"has_more"`
	Ver  int64 `json:"ver"`
	Now  int64 `json:"now_ms"` // the store's monotonic clock
}

// Store is an http.Handler. It is safe for concurrent use.
type Store struct {
	started time.Time

	mu            sync.Mutex
	rows          map[id]Row
	history       []Row
	ver           int64
	oldest        int64         // changes up to this version are dropped
	changed       chan struct{} // closed and replaced at each change
	failStatus    int           // status of every response; zero serves normally
	calls         int
	loseResponses int  // number of next transactions whose responses are lost
	suppressed    bool // waiting feed calls see no changes
	engineFields  string
	streamTimeout time.Duration // zero for the default
	bodyLimit     int           // bytes; zero for the default
	unusedRoutes  int           // additional routes in each published version
	era           int           // number of restores plus one, unless SetEra changed it
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), rows: map[id]Row{}, changed: make(chan struct{}), era: 1}
}

// clockMillis returns the store's monotonic clock in milliseconds. It reads one second when the
// store is created.
func (s *Store) clockMillis() int64 { return time.Since(s.started).Milliseconds() + 1000 }

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.write(Row{Table: table, Key: key, Value: value})
}

// Remove deletes a row and writes a tombstone to the history.
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

// Compact drops the history: a feed call that starts at an older version gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.ver
	close(s.changed)
	s.changed = make(chan struct{})
}

// FailWith makes every call fail with that status; zero serves normally again. Feed calls that wait
// fail at once.
func (s *Store) FailWith(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = status
	close(s.changed)
	s.changed = make(chan struct{})
}

// SuppressChanges makes feed calls that wait return no changes until their wait ends.
func (s *Store) SuppressChanges(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressed = on
}

// Calls returns how many calls arrived.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves reads, feed calls and transactions.
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
	if s.failStatus != 0 {
		w.WriteHeader(s.failStatus)
		return
	}
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	a := response{Rows: []Row{}, Ver: s.ver, Now: s.clockMillis()}
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
		a := response{Rows: []Row{}, Ver: s.ver, Now: s.clockMillis()}
		for _, row := range s.history {
			if row.Ver > after && row.Table == r.URL.Query().Get("table") {
				a.Rows = append(a.Rows, row)
			}
		}
		status, changed, suppressed := s.failStatus, s.changed, s.suppressed && wait > 0
		if status == 0 && (after < s.oldest || after > s.ver) {
			status = http.StatusGone
		}
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if suppressed {
			a.Rows, a.Ver = []Row{}, after
		}
		if len(a.Rows) > 0 {
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			a.Now = s.clockMillis()
			_ = json.NewEncoder(w).Encode(a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// LoseAnswers makes the next n successful transactions take effect and closes their connections
// without a response.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = n
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
	if s.failStatus != 0 {
		w.WriteHeader(s.failStatus)
		return
	}
	for _, row := range tx.Expected {
		if s.rows[row.id()].Ver != row.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(response{Rows: []Row{}, Ver: s.ver, Now: s.clockMillis()})
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Tombstone = true
	}
	s.writeLocked(append(tx.Puts, tx.Remove...)...)
	if s.loseResponses > 0 {
		s.loseResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(response{Rows: []Row{}, Ver: s.ver, Now: s.clockMillis()})
}
